//! The calls of the admin address: one line each, answered by one line that begins with `+OK` or `-ERR`.

/// The longest line that is read, in bytes, without its end.
pub const MAX_LINE_BYTES: usize = 256;
/// The longest worker id, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// What a caller asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Whether this process can serve.
    Status,
    /// The figures, then a line `.`.
    Metrics,
    /// Leave this worker out.
    Suspend(&'a str),
    /// Use that worker again.
    Restore(&'a str),
}

/// Why a line is no call; the text after `-ERR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// Nothing but blanks.
    Empty,
    /// Beyond [`MOST`] bytes.
    TooLong,
    /// Not printable ASCII.
    NotPrintable,
    /// No such verb.
    Unknown,
    /// A verb that needs a worker's id without one.
    MissingId,
    /// More words than the verb takes.
    TooManyWords,
    /// An id of other bytes, or too long.
    InvalidId,
}

impl CommandError {
    /// The answer's line, without its end.
    pub fn response(self) -> &'static str {
        match self {
            CommandError::Empty => "-ERR empty line: say STATUS, METRICS, SUSPEND ID or RESTORE ID",
            CommandError::TooLong => "-ERR line too long: at most 256 bytes",
            CommandError::NotPrintable => "-ERR not text: calls are printable ASCII",
            CommandError::Unknown => "-ERR unknown call: say STATUS, METRICS, SUSPEND ID or RESTORE ID",
            CommandError::MissingId => "-ERR no worker id: say SUSPEND ID or RESTORE ID",
            CommandError::TooManyWords => "-ERR too many words",
            CommandError::InvalidId => "-ERR not a worker id: at most 128 bytes of letters, digits and -_.:",
        }
    }
}

/// Reads one line, without its end; verbs in any case, words apart by spaces or tabs.
pub fn parse(line: &[u8]) -> Result<Command<'_>, CommandError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(CommandError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| CommandError::NotPrintable)?;
    if text.bytes().any(|b| !(b == b' ' || b == b'\t' || b.is_ascii_graphic())) {
        return Err(CommandError::NotPrintable);
    }
    let mut words = text.split_ascii_whitespace();
    let verb = words.next().ok_or(CommandError::Empty)?;
    let id = words.next();
    if words.next().is_some() {
        return Err(CommandError::TooManyWords);
    }
    let with_id = |make: fn(&str) -> Command<'_>| {
        let id: &str = id.ok_or(CommandError::MissingId)?;
        let fit = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
        if id.len() > MAX_ID_BYTES || !id.bytes().all(fit) {
            return Err(CommandError::InvalidId);
        }
        Ok(make(id))
    };
    let alone =
        |call: Command<'static>| if id.is_some() { Err(CommandError::TooManyWords) } else { Ok(call) };
    match verb.to_ascii_uppercase().as_str() {
        "STATUS" => alone(Command::Status),
        "METRICS" => alone(Command::Metrics),
        "SUSPEND" => with_id(|id| Command::Suspend(id)),
        "RESTORE" => with_id(|id| Command::Restore(id)),
        _ => Err(CommandError::Unknown),
    }
}

/// Gathers the bytes of a connection into lines; a line beyond [`MOST`] is given as too long once its end comes,
/// and what it held is not kept: at most [`MOST`] and one read are held.
#[derive(Default)]
pub struct LineReader {
    buffer: Vec<u8>,
    /// Bytes at the front that were given out and go with the next call.
    consumed: usize,
    skipping_long_line: bool,
}

/// What [`Lines::line`] found.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadLine<'a> {
    /// A whole line, without its end (`\n` or `\r\n`).
    Line(&'a [u8]),
    /// A line that was too long has ended.
    TooLong,
    /// More is needed.
    Incomplete,
}

impl LineReader {
    /// Takes bytes that came; then [`Lines::line`] until it says [`Next::More`].
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        self.buffer.extend_from_slice(bytes);
    }
    /// Whether part of a line is held.
    pub fn has_partial_line(&self) -> bool {
        self.buffer.len() > self.consumed || self.skipping_long_line
    }
    /// The next line. What it returns is valid until the next call.
    pub fn next_line(&mut self) -> ReadLine<'_> {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        let Some(end) = self.buffer.iter().position(|&b| b == b'\n') else {
            if self.buffer.len() > MAX_LINE_BYTES + 1 {
                self.buffer.clear();
                self.skipping_long_line = true;
            }
            return ReadLine::Incomplete;
        };
        self.consumed = end + 1;
        let line_end = if end > 0 && self.buffer[end - 1] == b'\r' { end - 1 } else { end };
        if std::mem::take(&mut self.skipping_long_line) || line_end > MAX_LINE_BYTES {
            return ReadLine::TooLong;
        }
        ReadLine::Line(&self.buffer[..line_end])
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use rstest::rstest;

    #[rstest]
    #[case(b"STATUS", Ok(Command::Status))]
    #[case(b"status", Ok(Command::Status))]
    #[case(b"  METRICS ", Ok(Command::Metrics))]
    #[case(b"SUSPEND s-1cafd624", Ok(Command::Suspend("s-1cafd624")))]
    #[case(b"RESTORE\ts-1", Ok(Command::Restore("s-1")))]
    #[case(b"", Err(CommandError::Empty))]
    #[case(b"   ", Err(CommandError::Empty))]
    #[case(b"HELLO", Err(CommandError::Unknown))]
    #[case(b"SUSPEND", Err(CommandError::MissingId))]
    #[case(b"SUSPEND a b", Err(CommandError::TooManyWords))]
    #[case(b"STATUS now", Err(CommandError::TooManyWords))]
    #[case(b"SUSPEND a/b", Err(CommandError::InvalidId))]
    #[case(b"SUSPEND \xff", Err(CommandError::NotPrintable))]
    #[case(b"STATUS\x00", Err(CommandError::NotPrintable))]
    fn lines_are_read_as_calls(#[case] line: &[u8], #[case] call: Result<Command<'static>, CommandError>) {
        assert_eq!(parse(line), call);
    }

    #[test]
    fn an_over_long_line_is_told_once_and_the_next_one_is_read() {
        let mut lines = LineReader::default();
        lines.push(&[b'x'; 300]);
        assert_eq!(lines.next_line(), ReadLine::Incomplete);
        lines.push(&[b'y'; 300]);
        assert_eq!(lines.next_line(), ReadLine::Incomplete);
        lines.push(b"z\r\nSTATUS\r\nMETR");
        assert_eq!(lines.next_line(), ReadLine::TooLong);
        assert_eq!(lines.next_line(), ReadLine::Line(b"STATUS"));
        assert_eq!(lines.next_line(), ReadLine::Incomplete);
        assert!(lines.has_partial_line());
        lines.push(b"ICS\n");
        assert_eq!(lines.next_line(), ReadLine::Line(b"METRICS"));
        assert!(!lines.has_partial_line());
    }

    proptest! {
        /// However the bytes are split, the same lines come out, and no more than a line and a read is held.
        #[test]
        fn any_split_gives_the_same_lines(text in "[A-Z \\r\\n]{0,600}", cut in 0usize..600) {
            let whole = {
                let mut lines = LineReader::default();
                lines.push(text.as_bytes());
                drain(&mut lines)
            };
            let cut = cut.min(text.len());
            let mut lines = LineReader::default();
            lines.push(&text.as_bytes()[..cut]);
            let mut parts = drain(&mut lines);
            prop_assert!(lines.buffer.len() <= MAX_LINE_BYTES + 1 + cut);
            lines.push(&text.as_bytes()[cut..]);
            parts.extend(drain(&mut lines));
            prop_assert_eq!(whole, parts);
        }

        #[test]
        fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            let _ = parse(&bytes);
        }
    }

    fn drain(lines: &mut LineReader) -> Vec<Option<Vec<u8>>> {
        let mut out = Vec::new();
        loop {
            match lines.next_line() {
                ReadLine::Line(line) => out.push(Some(line.to_vec())),
                ReadLine::TooLong => out.push(None),
                ReadLine::Incomplete => return out,
            }
        }
    }
}
