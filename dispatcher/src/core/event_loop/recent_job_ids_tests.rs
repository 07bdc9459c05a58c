//! The ids of jobs that finished a short while ago.

use super::*;
use rstest::rstest;

/// Guards against an id that is reused while a late repetition of its job may still arrive, and against one that stays
/// blocked.
#[rstest]
fn an_id_is_remembered_for_the_retention_time() {
    let mut recent = RecentJobIds::default();
    recent.insert("c1", 1_000);
    assert!(recent.contains("c1", 1_000 + RETENTION));
    assert!(!recent.contains("c2", 1_000));
    assert!(!recent.contains("c1", 1_001 + RETENTION));
}

/// Guards against memory that grows with the rate of requests: the oldest ids go first.
#[rstest]
fn at_most_so_many_ids_are_remembered() {
    let mut recent = RecentJobIds::default();
    for number in 0..=MAX_IDS {
        recent.insert(&format!("c{number}"), number as Micros);
    }
    let now = MAX_IDS as Micros;
    assert!(!recent.contains("c0", now));
    assert!(recent.contains("c1", now));
    assert_eq!((recent.by_age.len(), recent.hashes.len()), (MAX_IDS, MAX_IDS));
}
