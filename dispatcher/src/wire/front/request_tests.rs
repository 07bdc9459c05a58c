//! Tests of request parsing in the HTTP front end.

use super::parse_call_info_value;
use rstest::rstest;

/// The memory of a job is named `memory` in the header, unlike in the simulator. With another name, jobs
/// would be parsed as needing no memory.
#[rstest]
#[case("slots=1,memory=0.264", Some(0.264))]
#[case("memory = 2 , slots=1", Some(2.0))]
#[case("mem=1,slots=1", None)]
#[case("memory=NaN", None)]
#[case("memory=-1", None)]
#[case("", None)]
fn call_info_value_is_found_by_exact_name(#[case] info: &str, #[case] memory: Option<f64>) {
    assert_eq!(parse_call_info_value(info, "memory"), memory);
}
