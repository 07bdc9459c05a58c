use super::*;
use proptest::prelude::*;

/// Reads all complete lines; `None` stands for a line that is too long.
fn read_all(reader: &mut LineReader) -> Vec<Option<Vec<u8>>> {
    let mut lines = Vec::new();
    loop {
        match reader.next_line() {
            ReadLine::Line(line) => lines.push(Some(line.to_vec())),
            ReadLine::TooLong => lines.push(None),
            ReadLine::Incomplete => return lines,
        }
    }
}

#[test]
fn a_line_that_is_too_long_is_reported_once_and_the_next_one_is_read() {
    let mut reader = LineReader::default();
    reader.push(&[b'x'; 300]);
    assert_eq!(reader.next_line(), ReadLine::Incomplete);
    reader.push(&[b'y'; 300]);
    assert_eq!(reader.next_line(), ReadLine::Incomplete);
    reader.push(b"z\r\nSTATUS\r\nMETR");
    assert_eq!(reader.next_line(), ReadLine::TooLong);
    assert_eq!(reader.next_line(), ReadLine::Line(b"STATUS"));
    assert_eq!(reader.next_line(), ReadLine::Incomplete);
    assert!(reader.has_partial_line());
    reader.push(b"ICS\n");
    assert_eq!(reader.next_line(), ReadLine::Line(b"METRICS"));
    assert!(!reader.has_partial_line());
}

proptest! {
    /// However the bytes are split into reads, the lines are the same, and no more than one line and one read are buffered.
    #[test]
    fn any_split_gives_the_same_lines(text in "[A-Z \\r\\n]{0,600}", cut in 0usize..600) {
        let expected = {
            let mut reader = LineReader::default();
            reader.push(text.as_bytes());
            read_all(&mut reader)
        };
        let cut = cut.min(text.len());
        let mut reader = LineReader::default();
        reader.push(&text.as_bytes()[..cut]);
        let mut lines = read_all(&mut reader);
        prop_assert!(reader.buffer.len() <= MAX_LINE_BYTES + 1 + cut);
        reader.push(&text.as_bytes()[cut..]);
        lines.extend(read_all(&mut reader));
        prop_assert_eq!(expected, lines);
    }
}
