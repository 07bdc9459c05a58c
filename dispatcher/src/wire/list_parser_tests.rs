//! Tests of the parser of endpoint lists.

use super::*;
use rstest::rstest;

const COMPLETE: &str =
    r#"{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","state":"ready"}]}"#;
const CHANGES: &str = r#"{"rev":42,"all":false,"targets":[]}"#;

/// The revisions of the parsed lists, with 0 for skipped input, when the bytes are received in pieces of
/// `piece_size`.
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

/// The same list, spread over several indented lines.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("JSON");
    serde_json::to_string_pretty(&value).expect("text")
}

/// Lists are parsed regardless of line breaks: a line-based parser skipped each line of an indented list as
/// malformed. Truncated or malformed input is skipped once, without skipping the list after it.
#[rstest]
#[case::lines(format!("{COMPLETE}\n\n{CHANGES}\n"), &[41, 42])]
#[case::without_line_end(format!("{COMPLETE}{CHANGES}"), &[41, 42])]
#[case::indented(format!("{}\n\n{}\n\n{COMPLETE}\n", indented(COMPLETE), indented(CHANGES)), &[41, 42, 41])]
#[case::malformed(format!("nonsense\n{COMPLETE}\n"), &[0, 41])]
#[case::indented_malformed(format!("{}\n{CHANGES}\n", indented(COMPLETE).replace("41", "4x1")), &[0, 42])]
#[case::truncated(format!("{}\n{CHANGES}\n{COMPLETE}\n", &COMPLETE[..30]), &[0, 42, 41])]
#[case::truncated_in_a_word(format!("{}\n{CHANGES}\n", &COMPLETE[..42]), &[0, 42])]
#[case::truncated_in_a_list(format!("{}\n{CHANGES}\n", &indented(COMPLETE)[..60]), &[0, 42])]
#[case::not_a_list(format!("{{\"error\":\"x\"}}\n[1]\n{CHANGES}\n"), &[0, 0, 42])]
#[case::wrong_types(format!("{}\n{CHANGES}\n", COMPLETE.replace("41", "\"41\"")), &[0, 42])]
fn lists_are_parsed_in_any_layout(
    #[case] bytes: String,
    #[case] revisions: &[u64],
    #[values(1, 7, 1 << 20)] piece_size: usize,
) {
    assert_eq!(parsed_revisions(&bytes, piece_size), revisions);
}

/// The buffered size includes the bytes of an incomplete list, so that the size limit applies to a list that
/// never ends.
#[test]
fn incomplete_list_stays_buffered() {
    let mut parser = ListParser::default();
    parser.push(b"\n\n");
    assert!(parser.next_list().is_none());
    assert_eq!(parser.buffered(), 0);
    parser.push(&COMPLETE.as_bytes()[..40]);
    assert!(parser.next_list().is_none());
    assert_eq!(parser.buffered(), 40);
    parser.push(&COMPLETE.as_bytes()[40..]);
    assert_eq!(parser.next_list().expect("a list").expect("complete").revision, 41);
    assert_eq!(parser.buffered(), 0);
    parser.push(b"x");
    assert!(parser.next_list().expect("skipped").is_err());
    assert_eq!(parser.buffered(), 1);
}
