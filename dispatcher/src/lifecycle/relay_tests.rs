//! Tests for the files through which callbacks are relayed.

use super::file_prefix;
use super::reader::{ParsedRecords, parse_records};

#[test]
fn complete_records_are_parsed_and_a_partial_one_is_left() {
    let parsed = parse_records(b"3\nabc\n5\nhello\n4\nha");
    assert_eq!(parsed.bodies, [b"abc".to_vec(), b"hello".to_vec()]);
    assert_eq!(parsed.consumed, 14);
    // Parsing stops at a malformed record, so that no part of it is taken for a record.
    assert_eq!(parse_records(b"x\nabc\n"), ParsedRecords { bodies: Vec::new(), consumed: 6 });
}

/// Guards against one customer's dispatcher reading another's callbacks, with their results, in a shared
/// directory: dispatchers shared files if their names were the same or differed only in punctuation.
#[test]
fn each_dispatcher_has_its_own_files() {
    let dispatchers = [("n-1", "acme"), ("n_1", "acme"), ("n-1", "other")];
    let prefixes =
        dispatchers.map(|(name, tenant)| file_prefix(name, &[&["look".to_owned()], &[tenant.to_owned()]]));
    assert!(prefixes.iter().all(|prefix| prefix.starts_with("roselock-n_1-") && prefix.ends_with(".relay.")));
    assert!(prefixes[0] != prefixes[1] && prefixes[0] != prefixes[2] && prefixes[1] != prefixes[2]);
}
