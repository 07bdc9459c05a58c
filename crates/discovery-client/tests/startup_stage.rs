//! The stages of a start.

use roselock_discovery_client::startup_stage::{StartupProgress, StartupStage};
use rstest::rstest;

/// Guards against a stage that claims more than is known: a failed call confirms nothing, and a broken watch is no new start.
#[rstest]
#[case(false, StartupStage::WaitingForTurn)]
#[case(true, StartupStage::ListUnconfirmed)]
fn the_stages_follow_the_calls_to_the_list_service(
    #[case] has_cached_list: bool,
    #[case] first: StartupStage,
) {
    let mut start = StartupProgress::new(1_000, has_cached_list);
    start.record_call();
    start.record_watch_end();
    assert_eq!((start.stage(), start.calls, start.failed_calls), (first, 1, 1));
    start.record_call();
    assert_eq!(start.record_list(5_000), Some(4_000));
    assert_eq!((start.stage(), start.record_list(6_000)), (StartupStage::ListConfirmed, None));
    // A watch that breaks is no failed call.
    start.record_watch_end();
    assert_eq!((start.stage(), start.failed_calls), (StartupStage::WatchBroken, 1));
    start.record_call();
    start.record_list(9_000);
    assert_eq!(start.stage(), StartupStage::ListConfirmed);
    assert_eq!(StartupStage::from_number(StartupStage::WatchBroken as u8), StartupStage::WatchBroken);
}
