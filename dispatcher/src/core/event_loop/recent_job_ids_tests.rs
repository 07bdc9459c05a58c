//! Tests of the ids of recently finished jobs.

use super::*;
use rstest::rstest;

/// Guards against accepting an id again while a late repetition of its job may still arrive, and against blocking it
/// forever.
#[rstest]
fn an_id_is_remembered_for_the_retention_time() {
    let mut recent = RecentJobIds::default();
    recent.insert("c1", 1_000);
    assert!(recent.contains("c1", 1_000 + RETENTION));
    assert!(!recent.contains("c2", 1_000));
    assert!(!recent.contains("c1", 1_001 + RETENTION));
}

/// Guards against memory use that grows with the request rate: beyond the limit the oldest ids are dropped.
#[rstest]
fn the_number_of_remembered_ids_is_limited() {
    let mut recent = RecentJobIds::default();
    for number in 0..=MAX_IDS {
        recent.insert(&format!("c{number}"), number as Micros);
    }
    let now = MAX_IDS as Micros;
    assert!(!recent.contains("c0", now));
    assert!(recent.contains("c1", now));
    assert_eq!((recent.by_age.len(), recent.hashes.len()), (MAX_IDS, MAX_IDS));
}
