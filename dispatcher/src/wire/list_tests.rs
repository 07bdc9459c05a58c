//! Lists in the bytes of a watch.

use super::*;
use rstest::rstest;

const ONE: &str =
    r#"{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","state":"ready"}]}"#;
const TWO: &str = r#"{"rev":42,"all":false,"targets":[]}"#;

/// The versions of the lists that are found, 0 for what was dropped, with the bytes coming in pieces of this size.
fn found(bytes: &str, piece: usize) -> Vec<u64> {
    let (mut lists, mut found) = (Lists::default(), Vec::new());
    for piece in bytes.as_bytes().chunks(piece) {
        lists.push(piece);
        while let Some(list) = lists.next() {
            found.push(list.map_or(0, |l| l.rev));
        }
    }
    found
}

/// A list over many indented lines, the same data.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("JSON");
    serde_json::to_string_pretty(&value).expect("text")
}

/// Guards against lists that are looked for line by line: an indented one was dropped as so many lines of nonsense.
/// What is cut or spoilt is dropped, once, and takes no other list along.
#[rstest]
#[case::lines(format!("{ONE}\n\n{TWO}\n"), &[41, 42])]
#[case::no_end_of_line(format!("{ONE}{TWO}"), &[41, 42])]
#[case::indented(format!("{}\n\n{}\n\n{ONE}\n", indented(ONE), indented(TWO)), &[41, 42, 41])]
#[case::nonsense(format!("nonsense\n{ONE}\n"), &[0, 41])]
#[case::indented_nonsense(format!("{}\n{TWO}\n", indented(ONE).replace("41", "4x1")), &[0, 42])]
#[case::cut(format!("{}\n{TWO}\n{ONE}\n", &ONE[..30]), &[0, 42, 41])]
#[case::cut_in_a_word(format!("{}\n{TWO}\n", &ONE[..42]), &[0, 42])]
#[case::cut_in_a_list(format!("{}\n{TWO}\n", &indented(ONE)[..60]), &[0, 42])]
#[case::no_list(format!("{{\"error\":\"x\"}}\n[1]\n{TWO}\n"), &[0, 0, 42])]
#[case::wrong_kinds(format!("{}\n{TWO}\n", ONE.replace("41", "\"41\"")), &[0, 42])]
fn lists_are_found_however_they_are_written(
    #[case] bytes: String,
    #[case] revs: &[u64],
    #[values(1, 7, 1 << 20)] piece: usize,
) {
    assert_eq!(found(&bytes, piece), revs);
}

/// Guards against a list that never ends and counts as nothing: it is held, and how much of it is known.
#[test]
fn what_is_not_whole_is_held() {
    let mut lists = Lists::default();
    lists.push(b"\n\n");
    assert!(lists.next().is_none());
    assert_eq!(lists.held(), 0);
    lists.push(&ONE.as_bytes()[..40]);
    assert!(lists.next().is_none());
    assert_eq!(lists.held(), 40);
    lists.push(&ONE.as_bytes()[40..]);
    assert_eq!(lists.next().expect("a list").expect("whole").rev, 41);
    assert_eq!(lists.held(), 0);
    lists.push(b"x");
    assert!(lists.next().expect("dropped").is_err());
    assert_eq!(lists.held(), 1);
}
