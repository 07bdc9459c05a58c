//! Tests of the parts of a request that the platform's front parses.

use super::parse_figure;
use rstest::rstest;

/// The header calls the memory of a job `memory`, unlike the simulator. Looking for another name would make
/// jobs seem to need none.
#[rstest]
#[case("slots=1,memory=0.264", Some(0.264))]
#[case("memory = 2 , slots=1", Some(2.0))]
#[case("mem=1,slots=1", None)]
#[case("memory=NaN", None)]
#[case("memory=-1", None)]
#[case("", None)]
fn a_figure_is_found_by_its_exact_name(#[case] info: &str, #[case] memory: Option<f64>) {
    assert_eq!(parse_figure(info, "memory"), memory);
}
