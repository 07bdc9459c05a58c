//! Tests of the parser of endpoint lists.

use super::*;
use rstest::rstest;

const ONE: &str =
    r#"{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","state":"ready"}]}"#;
const TWO: &str = r#"{"rev":42,"all":false,"targets":[]}"#;

/// The revisions of the lists that are found, 0 for what is skipped, with the bytes received in pieces of this size.
fn parsed_revisions(bytes: &str, piece_size: usize) -> Vec<u64> {
    let mut parser = ListParser::default();
    let mut revisions = Vec::new();
    for piece in bytes.as_bytes().chunks(piece_size) {
        parser.push(piece);
        while let Some(list) = parser.next_list() {
            revisions.push(list.map_or(0, |list| list.revision));
        }
    }
    revisions
}

/// The same list over many indented lines.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("JSON");
    serde_json::to_string_pretty(&value).expect("text")
}

/// Guards against a parser that goes line by line: it skipped an indented list as so many malformed lines. What is
/// truncated or malformed is skipped once, and no other list with it.
#[rstest]
#[case::lines(format!("{ONE}\n\n{TWO}\n"), &[41, 42])]
#[case::without_line_end(format!("{ONE}{TWO}"), &[41, 42])]
#[case::indented(format!("{}\n\n{}\n\n{ONE}\n", indented(ONE), indented(TWO)), &[41, 42, 41])]
#[case::malformed(format!("nonsense\n{ONE}\n"), &[0, 41])]
#[case::indented_malformed(format!("{}\n{TWO}\n", indented(ONE).replace("41", "4x1")), &[0, 42])]
#[case::truncated(format!("{}\n{TWO}\n{ONE}\n", &ONE[..30]), &[0, 42, 41])]
#[case::truncated_in_a_word(format!("{}\n{TWO}\n", &ONE[..42]), &[0, 42])]
#[case::truncated_in_a_list(format!("{}\n{TWO}\n", &indented(ONE)[..60]), &[0, 42])]
#[case::not_a_list(format!("{{\"error\":\"x\"}}\n[1]\n{TWO}\n"), &[0, 0, 42])]
#[case::wrong_types(format!("{}\n{TWO}\n", ONE.replace("41", "\"41\"")), &[0, 42])]
fn lists_are_parsed_in_any_layout(
    #[case] bytes: String,
    #[case] revisions: &[u64],
    #[values(1, 7, 1 << 20)] piece_size: usize,
) {
    assert_eq!(parsed_revisions(&bytes, piece_size), revisions);
}

/// Guards against a list that never ends and is not counted: an incomplete list is buffered, and its size is known.
#[test]
fn incomplete_list_stays_buffered() {
    let mut parser = ListParser::default();
    parser.push(b"\n\n");
    assert!(parser.next_list().is_none());
    assert_eq!(parser.buffered(), 0);
    parser.push(&ONE.as_bytes()[..40]);
    assert!(parser.next_list().is_none());
    assert_eq!(parser.buffered(), 40);
    parser.push(&ONE.as_bytes()[40..]);
    assert_eq!(parser.next_list().expect("a list").expect("complete").revision, 41);
    assert_eq!(parser.buffered(), 0);
    parser.push(b"x");
    assert!(parser.next_list().expect("skipped").is_err());
    assert_eq!(parser.buffered(), 1);
}
