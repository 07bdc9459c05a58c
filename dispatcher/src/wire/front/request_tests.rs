//! The parts of a request that the platform's front reads.

use super::figure;
use rstest::rstest;

/// Guards against jobs that seem to need no memory: the socket's name for it is not the simulator's.
#[rstest]
#[case("slots=1,memory=0.264", Some(0.264))]
#[case("memory = 2 , slots=1", Some(2.0))]
#[case("mem=1,slots=1", None)]
#[case("memory=NaN", None)]
#[case("memory=-1", None)]
#[case("", None)]
fn the_further_figures_go_by_their_names(#[case] info: &str, #[case] memory: Option<f64>) {
    assert_eq!(figure(info, "memory"), memory);
}
