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
    let changes = suspensions.wait_for_unsaved(Duration::ZERO);
    suspensions.mark_saved(&changes, suspensions.workers().with_changes(&changes));
    let old = SuspendedWorkers { ids: BTreeSet::new(), sequence: 1 };
    assert!(!suspensions.adopt(old), "not newer than the set here");
    let newer = SuspendedWorkers { ids: ["s-9".to_owned()].into(), sequence: 5 };
    assert!(suspensions.adopt(newer.clone()));
    assert_eq!(suspensions.workers(), newer);
    // A worker that another process has suspended may be restored here.
    assert_eq!(suspensions.set("s-9", false), Ok(SetResult::Changed(3)));
}

/// Guards against a change that is lost when the other process of an upgrade writes the file first: it stays in force,
/// and is added to what the other one has written.
#[test]
fn a_change_is_added_to_what_the_other_process_has_written() {
    let [old, new] = [(); 2].map(|()| Suspensions::default());
    for suspensions in [&old, &new] {
        suspensions.record_listed(["s-1", "s-2"].into_iter());
    }
    old.set("s-1", true).expect("the worker is listed");
    new.set("s-2", true).expect("the worker is listed");
    let changes = old.wait_for_unsaved(Duration::ZERO);
    let written = SuspendedWorkers::default().with_changes(&changes);
    assert!(!old.mark_saved(&changes, written.clone()), "it holds what was in force");
    assert!(new.adopt(written.clone()));
    assert_eq!(new.saved(), Err(UnsavedError::NotWritten));
    assert_eq!(new.workers().ids.len(), 2, "both workers are suspended");
    let changes = new.wait_for_unsaved(Duration::ZERO);
    let written = written.with_changes(&changes);
    new.mark_saved(&changes, written.clone());
    assert_eq!(new.saved(), Ok(()));
    assert!(old.adopt(written));
    assert_eq!(old.workers(), new.workers());
}

/// Guards against a change that counts as saved although it was made after the write had begun.
#[test]
fn a_worker_that_is_restored_during_a_write_is_still_unsaved() {
    let suspensions = Suspensions::default();
    suspensions.record_listed(["s-1"].into_iter());
    suspensions.set("s-1", true).expect("the worker is listed");
    let changes = suspensions.wait_for_unsaved(Duration::ZERO);
    let written = suspensions.workers().with_changes(&changes);
    suspensions.set("s-1", false).expect("the worker is listed");
    assert!(!suspensions.mark_saved(&changes, written));
    assert_eq!(suspensions.saved(), Err(UnsavedError::NotWritten));
    assert!(suspensions.workers().ids.is_empty());
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
