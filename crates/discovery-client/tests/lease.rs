//! Tests of the lease on the endpoint list: each rule has a case that fails without it.

use roselock_discovery_client::lease::ListLease;
use roselock_discovery_client::poll_schedule::{Micros, WatchEnd, WatchEndReason};
use rstest::rstest;

const SECOND: Micros = 1_000_000;
const CONNECT_TIMEOUT: Micros = SECOND / 5;

fn end(reason: WatchEndReason, in_sync_until: Micros) -> WatchEnd {
    WatchEnd { reason, in_sync_until }
}

/// The first time, in tenths of a second, at which the lease is not valid; `None` if it is valid for 100 s.
fn expires_at_tenth(lease: &ListLease) -> Option<Micros> {
    (0..1_000).find(|tenth| !lease.is_valid(tenth * SECOND / 10))
}

/// Guards against a cached list that is acted on although the discovery service could notify of changes: a refused call shows
/// that it cannot, a single timeout does not.
#[rstest]
#[case::nothing(&[], false)]
#[case::refused(&[WatchEndReason::Refused], true)]
#[case::unreachable(&[WatchEndReason::Unreachable], true)]
#[case::local(&[WatchEndReason::LocalFailure, WatchEndReason::LocalFailure, WatchEndReason::LocalFailure], false)]
#[case::silent(&[WatchEndReason::TimedOut], false)]
#[case::silent_twice(&[WatchEndReason::TimedOut, WatchEndReason::TimedOut], true)]
fn a_cached_list_is_not_used_before_the_service_is_seen_to_be_down(
    #[case] ends: &[WatchEndReason],
    #[case] is_valid: bool,
) {
    let mut lease = ListLease::unconfirmed(CONNECT_TIMEOUT);
    for reason in ends {
        lease.watch_ended(end(*reason, SECOND), 3 * SECOND);
    }
    assert_eq!(lease.is_valid(2 * SECOND), is_valid);
    lease.renew();
    assert!(lease.is_valid(Micros::MAX - 1), "an open watch notifies of each change");
}

/// Guards against a deployment that trusts its cached list, but does not use it before the discovery service has answered.
#[rstest]
fn a_trusted_list_may_be_used_from_the_start() {
    let mut lease = ListLease::trusted(CONNECT_TIMEOUT);
    assert!(lease.is_valid(9 * SECOND));
    lease.watch_ended(end(WatchEndReason::TimedOut, 10 * SECOND), 14 * SECOND);
    assert_eq!(expires_at_tenth(&lease), Some(160));
}

/// Guards against a lease that outlasts the notification deadline, and against one that stops the work while the service
/// is down.
#[rstest]
fn a_lease_expires_six_seconds_after_the_list_was_in_sync() {
    let mut lease = ListLease::unconfirmed(CONNECT_TIMEOUT);
    lease.renew();
    lease.watch_ended(end(WatchEndReason::TimedOut, 10 * SECOND), 14 * SECOND);
    assert_eq!(expires_at_tenth(&lease), Some(160));
    // A later call that was never answered, then one that was refused. Older evidence does not shorten the lease.
    lease.watch_ended(end(WatchEndReason::TimedOut, 13 * SECOND), 17 * SECOND);
    assert_eq!(expires_at_tenth(&lease), Some(190));
    lease.watch_ended(end(WatchEndReason::Refused, 18 * SECOND), 20 * SECOND);
    lease.watch_ended(end(WatchEndReason::Refused, 17 * SECOND), 20 * SECOND);
    assert_eq!(expires_at_tenth(&lease), Some(240));
    // The next call to an overloaded service is delayed on purpose; the list may be used until that call is answered.
    lease.watch_ended(end(WatchEndReason::Refused, 20 * SECOND), 50 * SECOND);
    assert_eq!(expires_at_tenth(&lease), Some(510));
}

/// Guards against a list that stays in use after a move of the discovery service that no watch event follows: changes count as
/// notified 4 s later, and one refused call at the new address does not show that the service is down.
#[rstest]
fn a_move_of_the_list_service_shortens_the_lease() {
    let mut lease = ListLease::unconfirmed(CONNECT_TIMEOUT);
    lease.renew();
    lease.discovery_moved(10 * SECOND);
    assert_eq!(expires_at_tenth(&lease), Some(140));
    lease.watch_ended(end(WatchEndReason::Refused, 11 * SECOND), 13 * SECOND);
    assert_eq!(expires_at_tenth(&lease), Some(140));
    lease.watch_ended(end(WatchEndReason::Refused, 13 * SECOND), 15 * SECOND);
    assert_eq!(expires_at_tenth(&lease), Some(190));
}

/// Guards against a worker restart that is taken for an older one because the list was out of sync.
#[rstest]
fn the_list_was_in_sync_until_the_first_end_of_its_watch() {
    let mut lease = ListLease::unconfirmed(CONNECT_TIMEOUT);
    lease.renew();
    assert_eq!(
        lease.in_sync_at(60 * SECOND),
        60 * SECOND - roselock_discovery_client::poll_schedule::WATCH_TIMEOUT
    );
    lease.watch_ended(end(WatchEndReason::TimedOut, 60 * SECOND), 62 * SECOND);
    lease.watch_ended(end(WatchEndReason::Refused, 65 * SECOND), 66 * SECOND);
    assert_eq!(lease.in_sync_at(70 * SECOND), 60 * SECOND);
    assert_eq!(ListLease::unlimited().in_sync_at(70 * SECOND), Micros::MIN);
}

/// Guards against a shortage of local resources that is taken for an unreachable service: the service's changes count as
/// notified nevertheless.
#[rstest]
fn a_local_failure_does_not_renew_the_lease() {
    let mut lease = ListLease::unconfirmed(CONNECT_TIMEOUT);
    lease.renew();
    lease.watch_ended(end(WatchEndReason::Refused, 10 * SECOND), 11 * SECOND);
    for second in 11..30 {
        lease.watch_ended(end(WatchEndReason::LocalFailure, second * SECOND), (second + 1) * SECOND);
    }
    assert_eq!(expires_at_tenth(&lease), Some(160));
}

/// Guards against a request that is sent too late, on a connection that was established slowly by a dispatcher that was delayed
/// by 0.15 s: a change counts as notified after 6 s, and must be respected 0.5 s later.
#[rstest]
#[case::quick(SECOND / 5, 60)]
#[case::within_the_slack(3 * SECOND / 10, 60)]
#[case::half_a_second(SECOND / 2, 58)]
#[case::slow(7 * SECOND / 5, 49)]
#[case::a_minute(60 * SECOND, 30)]
fn slow_connections_shorten_the_term(#[case] connect_timeout: Micros, #[case] tenths: Micros) {
    let mut lease = ListLease::unconfirmed(connect_timeout);
    lease.watch_ended(end(WatchEndReason::Refused, 0), SECOND);
    assert_eq!(expires_at_tenth(&lease), Some(tenths));
    // The same after a reload of the configuration.
    let mut lease = ListLease::unconfirmed(0);
    lease.set_connect_timeout(connect_timeout);
    lease.watch_ended(end(WatchEndReason::Refused, 0), SECOND);
    assert_eq!(expires_at_tenth(&lease), Some(tenths));
}

/// Guards against a lease that expires where there is no watch: in a simulation, or where workers register themselves.
#[rstest]
fn an_unlimited_lease_never_expires() {
    let mut lease = ListLease::unlimited();
    lease.discovery_moved(SECOND);
    lease.watch_ended(end(WatchEndReason::TimedOut, SECOND), SECOND);
    assert_eq!(expires_at_tenth(&lease), None);
}
