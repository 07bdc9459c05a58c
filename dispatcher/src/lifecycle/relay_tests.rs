//! The files through which call-backs pass.

use super::{prefix, records};

#[test]
fn whole_records_are_read_and_a_part_waits() {
    let bytes = b"3\nabc\n5\nhello\n4\nha";
    let (read, used) = records(bytes);
    assert_eq!(read, [b"abc".to_vec(), b"hello".to_vec()]);
    assert_eq!(used, 14);
    // Nonsense ends the file's reading rather than taking a part for a whole.
    assert_eq!(records(b"x\nabc\n"), (Vec::new(), 6));
}

/// Guards against call-backs, with their results, that another's dispatcher reads where both share a folder: names that
/// differ in a sign only had the same files, and so had all of one name.
#[test]
fn each_dispatcher_has_files_of_its_own() {
    let whose = [("n-1", "acme"), ("n_1", "acme"), ("n-1", "other")];
    let prefixes = whose.map(|(name, tenant)| prefix(name, &[&["look".to_owned()], &[tenant.to_owned()]]));
    assert!(prefixes.iter().all(|p| p.starts_with("roselock-n_1-") && p.ends_with(".relay.")));
    assert!(prefixes[0] != prefixes[1] && prefixes[0] != prefixes[2] && prefixes[1] != prefixes[2]);
}
