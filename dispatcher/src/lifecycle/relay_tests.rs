//! Tests for the files through which callbacks are relayed.

use super::reader::{ParsedRecords, parse_records};
use super::{file_prefix, start};
use crate::core::{Inbox, Input};
use roselock::settings::Options;
use std::sync::Arc;
use std::time::Duration;

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

/// Guards against a callback that is lost at the start of the second process of an upgrade: what the other process
/// appended before the relay thread ran for the first time was skipped.
#[test]
fn a_callback_that_is_appended_right_after_the_start_is_read() {
    let options = r#"{"fleetSize":1,"lanes":[{"name":"look","promiseS":9,"giveUpS":60,"effect":"safe"}],"tickS":0.005}"#;
    let options: Options = serde_json::from_str(options).expect("valid options");
    let site = Arc::new(options.site().expect("valid settings"));
    for round in 0..5 {
        let name = format!("relay-test-{}-{round}", std::process::id());
        let prefix = file_prefix(&name, &[site.classes.names(), site.tenants.names()]);
        let other_path = std::env::temp_dir().join(format!("{prefix}other"));
        let (inbox, inputs) = Inbox::new();
        let _relay = start(&name, site.clone(), inbox);
        let body = r#"{"id":"c1","from":"s-1","state":"started"}"#;
        std::fs::write(&other_path, format!("{}\n{body}\n", body.len())).expect("cannot write file");
        let input = inputs.recv_timeout(Duration::from_secs(5));
        std::fs::remove_file(&other_path).expect("cannot remove file");
        assert!(matches!(input, Ok(Input::Callback { id, .. }) if id == "c1"), "round {round}");
    }
}
