//! The table of packet types, compared with the specification.

use roselock_gearman::{Kind, Packet};
use rstest::rstest;

/// Compares types with the specification, since a table with shifted numbers would still pass the round-trip tests.
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
    let kind = Kind::from_code(code).expect("an assigned type");
    assert_eq!((kind.label(), kind.arguments().len()), (label, args));
    assert_eq!(Kind::from_name(label), Some(kind));
    assert!([0, 5, 43].iter().all(|code| Kind::from_code(*code).is_none()));
    assert_eq!(Kind::ALL.len(), 41);
}

#[test]
fn parse_errors_list_the_expected_arguments() {
    let error = Packet::parse(Kind::SubmitJob, b"f\0u").expect_err("data is missing");
    assert_eq!(error.to_string(), "SUBMIT_JOB takes: function, unique, data");
    let without_data =
        Packet::parse(Kind::WorkComplete, b"H:1").expect("data may be omitted, as old workers do");
    assert_eq!(without_data, Packet::WorkComplete { handle: b"H:1", data: b"" });
}
