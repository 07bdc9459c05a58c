//! The lease on the list of workers, each rule by a case that fails without it.

use roselock_discovery_client::lease::ListLease;
use roselock_discovery_client::poll_schedule::{Micros, WatchEnd, WatchEndReason};
use rstest::rstest;

const SECOND: Micros = 1_000_000;
const CONNECT: Micros = SECOND / 5;

fn end(reason: WatchEndReason, as_of: Micros) -> WatchEnd {
    WatchEnd { reason, in_sync_until: as_of }
}

/// The first moment, in tenths of a second, at which the lease does not hold.
fn runs_out(lease: &ListLease) -> Option<Micros> {
    (0..1_000).find(|tenth| !lease.is_valid(tenth * SECOND / 10))
}

/// Guards against a list of before the start that is acted on though the service could tell of its changes: a refusal
/// shows that it cannot, a silence alone does not.
#[rstest]
#[case::nothing(&[], false)]
#[case::refused(&[WatchEndReason::Refused], true)]
#[case::unreachable(&[WatchEndReason::Unreachable], true)]
#[case::local(&[WatchEndReason::LocalFailure, WatchEndReason::LocalFailure, WatchEndReason::LocalFailure], false)]
#[case::silent(&[WatchEndReason::Silent], false)]
#[case::silent_twice(&[WatchEndReason::Silent, WatchEndReason::Silent], true)]
fn a_list_of_before_the_start_is_held_back(#[case] ends: &[WatchEndReason], #[case] holds: bool) {
    let mut lease = ListLease::unconfirmed(CONNECT);
    for reason in ends {
        lease.watch_ended(end(*reason, SECOND), 3 * SECOND);
    }
    assert_eq!(lease.is_valid(2 * SECOND), holds);
    lease.renew();
    assert!(lease.is_valid(Micros::MAX - 1), "an open watch tells of each change");
}

/// Guards against an installation that wants a list of before to be acted on with care, and is made to wait.
#[rstest]
fn a_trusted_list_serves_from_the_start() {
    let mut lease = ListLease::trusted(CONNECT);
    assert!(lease.is_valid(9 * SECOND));
    lease.watch_ended(end(WatchEndReason::Silent, 10 * SECOND), 14 * SECOND);
    assert_eq!(runs_out(&lease), Some(160));
}

/// Guards against a lease that outlasts what counts as told, and against one that ends the work while the service is down.
#[rstest]
fn a_lease_runs_out_six_seconds_after_the_list_was_in_step() {
    let mut lease = ListLease::unconfirmed(CONNECT);
    lease.renew();
    lease.watch_ended(end(WatchEndReason::Silent, 10 * SECOND), 14 * SECOND);
    assert_eq!(runs_out(&lease), Some(160));
    // A call that began later and was never answered, then one that was refused; an older sign shortens nothing.
    lease.watch_ended(end(WatchEndReason::Silent, 13 * SECOND), 17 * SECOND);
    assert_eq!(runs_out(&lease), Some(190));
    lease.watch_ended(end(WatchEndReason::Refused, 18 * SECOND), 20 * SECOND);
    lease.watch_ended(end(WatchEndReason::Refused, 17 * SECOND), 20 * SECOND);
    assert_eq!(runs_out(&lease), Some(240));
    // A service with too many callers is given time on purpose; the list serves until the next call is answered.
    lease.watch_ended(end(WatchEndReason::Refused, 20 * SECOND), 50 * SECOND);
    assert_eq!(runs_out(&lease), Some(510));
}

/// Guards against a move after which nothing is heard: what the service knows counts as told 4 s later, and one refusal
/// at the new address is no sign that nobody hears of changes there.
#[rstest]
fn a_move_shortens_the_lease() {
    let mut lease = ListLease::unconfirmed(CONNECT);
    lease.renew();
    lease.discovery_moved(10 * SECOND);
    assert_eq!(runs_out(&lease), Some(140));
    lease.watch_ended(end(WatchEndReason::Refused, 11 * SECOND), 13 * SECOND);
    assert_eq!(runs_out(&lease), Some(140));
    lease.watch_ended(end(WatchEndReason::Refused, 13 * SECOND), 15 * SECOND);
    assert_eq!(runs_out(&lease), Some(190));
}

/// Guards against a start that is believed to be older than the list has been out of step.
#[rstest]
fn the_list_was_in_step_up_to_the_first_end_of_its_watch() {
    let mut lease = ListLease::unconfirmed(CONNECT);
    lease.renew();
    assert_eq!(
        lease.in_sync_at(60 * SECOND),
        60 * SECOND - roselock_discovery_client::poll_schedule::WATCH_TIMEOUT
    );
    lease.watch_ended(end(WatchEndReason::Silent, 60 * SECOND), 62 * SECOND);
    lease.watch_ended(end(WatchEndReason::Refused, 65 * SECOND), 66 * SECOND);
    assert_eq!(lease.in_sync_at(70 * SECOND), 60 * SECOND);
    assert_eq!(ListLease::unlimited().in_sync_at(70 * SECOND), Micros::MIN);
}

/// Guards against a shortage of this machine's own that is taken for a service that cannot be reached: its changes count as
/// told all the same.
#[rstest]
fn a_local_failure_renews_nothing() {
    let mut lease = ListLease::unconfirmed(CONNECT);
    lease.renew();
    lease.watch_ended(end(WatchEndReason::Refused, 10 * SECOND), 11 * SECOND);
    for second in 11..30 {
        lease.watch_ended(end(WatchEndReason::LocalFailure, second * SECOND), (second + 1) * SECOND);
    }
    assert_eq!(runs_out(&lease), Some(160));
}

/// Guards against a send that arrives late because its connection came up late, and its dispatcher was held up for 0.15 s:
/// with 6 s after which a change counts as told, and 0.5 s to heed it.
#[rstest]
#[case::quick(SECOND / 5, 60)]
#[case::as_slow_as_may_be(3 * SECOND / 10, 60)]
#[case::half_a_second(SECOND / 2, 58)]
#[case::slow(7 * SECOND / 5, 49)]
#[case::without_end(60 * SECOND, 30)]
fn slow_connections_shorten_the_term(#[case] connect: Micros, #[case] tenths: Micros) {
    let mut lease = ListLease::unconfirmed(connect);
    lease.watch_ended(end(WatchEndReason::Refused, 0), SECOND);
    assert_eq!(runs_out(&lease), Some(tenths));
    // The same where a new configuration says so.
    let mut lease = ListLease::unconfirmed(0);
    lease.set_connect_timeout(connect);
    lease.watch_ended(end(WatchEndReason::Refused, 0), SECOND);
    assert_eq!(runs_out(&lease), Some(tenths));
}

/// Guards against a simulator or a fleet of hosts that come by themselves that are held to a watch which they don't have.
#[rstest]
fn without_a_term_nothing_runs_out() {
    let mut lease = ListLease::unlimited();
    lease.discovery_moved(SECOND);
    lease.watch_ended(end(WatchEndReason::Silent, SECOND), SECOND);
    assert_eq!(runs_out(&lease), None);
}
