//! Packet types against the specification.

use roselock_gearman::{Kind, Packet};
use rstest::rstest;

/// The numbers are those of the specification: a shifted table would still read back what it wrote.
#[rstest]
#[case(7, "SUBMIT_JOB", 3)]
#[case(20, "STATUS_RES", 5)]
#[case(35, "SUBMIT_JOB_SCHED", 8)]
#[case(40, "JOB_ASSIGN_ALL", 5)]
#[case(42, "STATUS_RES_UNIQUE", 6)]
fn types_have_the_numbers_names_and_arguments_of_the_specification(
    #[case] code: u32,
    #[case] label: &str,
    #[case] args: usize,
) {
    let kind = Kind::of(code).expect("known");
    assert_eq!((kind.label(), kind.arguments().len()), (label, args));
    assert_eq!(Kind::named(label), Some(kind));
    assert!([0, 5, 43].iter().all(|c| Kind::of(*c).is_none()));
    assert_eq!(Kind::ALL.len(), 41);
}

#[test]
fn an_error_names_the_arguments_of_the_type() {
    let bad = Packet::parse(Kind::SubmitJob, b"f\0u").expect_err("data is missing");
    assert_eq!(bad.to_string(), "SUBMIT_JOB takes: function, unique, data");
    let bare = Packet::parse(Kind::WorkComplete, b"H:1").expect("old workers");
    assert_eq!(bare, Packet::WorkComplete { handle: b"H:1", data: b"" });
}
