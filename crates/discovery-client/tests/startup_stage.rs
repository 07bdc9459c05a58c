//! Tests of the startup stages.

use roselock_discovery_client::startup_stage::{StartupProgress, StartupStage};
use rstest::rstest;

/// Guards against a stage that claims more than is known: a failed call confirms nothing, and a broken watch is not a new
/// startup.
#[rstest]
#[case(false, StartupStage::NoList)]
#[case(true, StartupStage::ListUnconfirmed)]
fn the_stages_follow_the_calls_to_the_list_service(
    #[case] has_cached_list: bool,
    #[case] initial_stage: StartupStage,
) {
    let mut startup = StartupProgress::new(1_000, has_cached_list);
    startup.record_call();
    startup.record_watch_end();
    assert_eq!((startup.stage(), startup.calls, startup.failed_calls), (initial_stage, 1, 1));
    startup.record_call();
    assert_eq!(startup.record_list(5_000), Some(4_000));
    assert_eq!((startup.stage(), startup.record_list(6_000)), (StartupStage::ListConfirmed, None));
    // A broken watch is not a failed call.
    startup.record_watch_end();
    assert_eq!((startup.stage(), startup.failed_calls), (StartupStage::WatchBroken, 1));
    startup.record_call();
    startup.record_list(9_000);
    assert_eq!(startup.stage(), StartupStage::ListConfirmed);
    assert_eq!(StartupStage::from_u8(StartupStage::WatchBroken as u8), StartupStage::WatchBroken);
}
