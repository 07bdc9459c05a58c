//! Suspensions of workers.

use super::*;

#[test]
fn calls_are_idempotent_and_only_for_listed_ids() {
    let suspensions = Suspensions::default();
    assert_eq!(suspensions.set("s-1", true), Err("never listed"));
    suspensions.note_listed(["s-1", "s-2"].into_iter());
    assert_eq!(suspensions.set("s-1", true), Ok(SetResult::Changed(1)));
    assert_eq!(suspensions.set("s-1", true), Ok(SetResult::Unchanged));
    let (generation, out) = suspensions.changed_since(0).unwrap();
    assert_eq!((generation, out.len()), (1, 1));
    assert_eq!(suspensions.changed_since(generation), None);
    assert_eq!(suspensions.set("s-1", false), Ok(SetResult::Changed(2)));
    assert_eq!(suspensions.set("s-2", false), Ok(SetResult::Unchanged));
}

#[test]
fn the_newer_change_holds_between_processes() {
    let suspensions = Suspensions::default();
    suspensions.note_listed(["s-1"].into_iter());
    suspensions.set("s-1", true).unwrap();
    let old = SuspendedWorkers { ids: BTreeSet::new(), sequence: 1 };
    assert!(!suspensions.adopt(old), "as old as what is here");
    let newer = SuspendedWorkers { ids: ["s-9".to_owned()].into(), sequence: 5 };
    assert!(suspensions.adopt(newer.clone()));
    assert_eq!(suspensions.workers(), newer);
    // What another process took out may be given back here.
    assert_eq!(suspensions.set("s-9", false), Ok(SetResult::Changed(3)));
}
