//! Tests of the set of suspended workers.

use super::*;

/// Guards against a repeated call that counts as a change, and against suspensions of workers that do not exist.
#[test]
fn changes_are_idempotent_and_only_for_listed_ids() {
    let suspensions = Suspensions::default();
    assert_eq!(suspensions.set("s-1", true), Err(SuspensionError::NeverListed));
    suspensions.record_listed(["s-1", "s-2"].into_iter());
    assert_eq!(suspensions.set("s-1", true), Ok(SetResult::Changed(1)));
    assert_eq!(suspensions.set("s-1", true), Ok(SetResult::Unchanged));
    let change = suspensions.changed_since(0).expect("a change");
    assert_eq!((change.generation, change.suspended.len()), (1, 1));
    assert_eq!(suspensions.changed_since(change.generation), None);
    assert_eq!(suspensions.set("s-1", false), Ok(SetResult::Changed(2)));
    assert_eq!(suspensions.set("s-2", false), Ok(SetResult::Unchanged));
}

/// Guards against an older set that replaces a newer one in an upgrade.
#[test]
fn the_newer_set_wins_between_processes() {
    let suspensions = Suspensions::default();
    suspensions.record_listed(["s-1"].into_iter());
    suspensions.set("s-1", true).expect("the worker is listed");
    let old = SuspendedWorkers { ids: BTreeSet::new(), sequence: 1 };
    assert!(!suspensions.adopt(old), "not newer than the set here");
    let newer = SuspendedWorkers { ids: ["s-9".to_owned()].into(), sequence: 5 };
    assert!(suspensions.adopt(newer.clone()));
    assert_eq!(suspensions.workers(), newer);
    // A worker that another process has suspended may be restored here.
    assert_eq!(suspensions.set("s-9", false), Ok(SetResult::Changed(3)));
}

/// Guards against changed replies of the admin address, which contain these texts.
#[test]
fn errors_have_the_texts_of_the_admin_replies() {
    assert_eq!(SuspensionError::NeverListed.to_string(), "never listed");
    assert_eq!(SuspensionError::TooMany.to_string(), "too many workers out by hand");
    assert_eq!(UnsavedError::NotWritten.to_string(), "the file is not written yet");
    assert_eq!(UnsavedError::WriteFailed("no space".to_owned()).to_string(), "no space");
}

/// Guards against a set that grows without bound.
#[test]
fn the_number_of_suspended_workers_is_limited() {
    let suspensions = Suspensions::default();
    suspensions.record_listed(["s-1"].into_iter());
    let ids = (0..MAX_SUSPENDED).map(|number| format!("w-{number}")).collect();
    suspensions.adopt(SuspendedWorkers { ids, sequence: 1 });
    assert_eq!(suspensions.set("s-1", true), Err(SuspensionError::TooMany));
}
