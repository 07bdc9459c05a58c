//! Tests of the pool of idle connections, and of the estimate of how long they stay usable.

use super::*;
use crate::core::{UpstreamId, UpstreamRequest};
use rstest::rstest;

/// Guards against sending requests that must not be repeated on connections that their hosts close while idle. One
/// failure lowers the limit for all connections at once; only successful reuse raises it again.
#[rstest]
fn a_failure_lowers_the_limit_at_once_and_success_raises_it_again() {
    let mut estimate = IdleTimeoutEstimate::new(10_000_000);
    let max_idle = |estimate: &IdleTimeoutEstimate, connection_use, now| {
        now - estimate.oldest_usable(now, connection_use)
    };
    assert_eq!(max_idle(&estimate, ConnectionUse::Repeatable, 0), 10_000_000);
    assert_eq!(max_idle(&estimate, ConnectionUse::Once, 0), 2 * INITIAL_PROVEN_IDLE + MIN_HOST_IDLE_TIMEOUT);
    estimate.record_success(1_500_000, 0);
    assert_eq!(max_idle(&estimate, ConnectionUse::Once, 0), 3_000_000 + MIN_HOST_IDLE_TIMEOUT);
    estimate.record_failure(MIN_HOST_IDLE_TIMEOUT / 2, 0);
    assert_eq!(max_idle(&estimate, ConnectionUse::Repeatable, 0), 10_000_000);
    estimate.record_failure(400_000, 0);
    assert_eq!(max_idle(&estimate, ConnectionUse::Repeatable, 0), 300_000);
    assert_eq!(max_idle(&estimate, ConnectionUse::Once, 0), 300_000);
    let frozen_until = LIMIT_FREEZE_AFTER_FAILURE;
    estimate.record_success(800_000, frozen_until);
    assert_eq!(max_idle(&estimate, ConnectionUse::Repeatable, frozen_until), 300_000);
    estimate.record_success(800_000, frozen_until + 1);
    assert_eq!(max_idle(&estimate, ConnectionUse::Once, frozen_until + 1), 800_000);
    assert_eq!(max_idle(&estimate, ConnectionUse::Control, frozen_until + 1), 10_000_000);
}

struct OpenConnection;

impl UpstreamConnection for OpenConnection {
    fn start(&self, _: UpstreamRequest) -> bool {
        true
    }
    fn abort(&self, _: UpstreamId) {}
    fn cancel_unsent(&self, _: UpstreamId) -> bool {
        false
    }
}

/// Guards against a duplicate answer that is taken for the answer to the next request: a connection is not reused for a
/// while after an answer that would end the next attempt if it were sent twice. Other connections are used in the
/// meantime.
#[rstest]
#[case::repeatable(ConnectionUse::Repeatable, &[300, 100])]
#[case::once(ConnectionUse::Once, &[300, 100])]
#[case::control(ConnectionUse::Control, &[100, 300])]
fn a_connection_is_not_reused_right_after_an_answer_that_may_be_sent_twice(
    #[case] connection_use: ConnectionUse,
    #[case] order: &[Micros],
) {
    let mut pool = Pool::default();
    pool.put(Arc::new(OpenConnection), 100, 0);
    pool.put(Arc::new(OpenConnection), 200, REUSE_DELAY_AFTER_ANSWER);
    pool.put(Arc::new(OpenConnection), 300, 0);
    let mut take = |now| pool.take(now, 0, connection_use).map(|idle| idle.idle_since);
    assert_eq!([take(400), take(400), take(400)], [Some(order[0]), Some(order[1]), None]);
    assert_eq!(
        [take(199 + REUSE_DELAY_AFTER_ANSWER), take(200 + REUSE_DELAY_AFTER_ANSWER)],
        [None, Some(200)]
    );
}

/// Guards against reusing connections that have been idle for longer than a newly configured idle timeout.
#[rstest]
#[case::shorter(3_000_000, 3_000_000, 300_000)]
#[case::longer(20_000_000, 20_000_000, 300_000)]
#[case::shorter_than_learned(200_000, 200_000, 200_000)]
fn a_new_idle_timeout_bounds_the_estimate(
    #[case] configured: Micros,
    #[case] without_failure: Micros,
    #[case] after_failure: Micros,
) {
    let max_idle = |estimate: &IdleTimeoutEstimate| -estimate.oldest_usable(0, ConnectionUse::Repeatable);
    let mut estimate = IdleTimeoutEstimate::new(10_000_000);
    estimate.set_idle_timeout(configured);
    assert_eq!(max_idle(&estimate), without_failure);
    let mut estimate = IdleTimeoutEstimate::new(10_000_000);
    estimate.record_failure(400_000, 0);
    estimate.set_idle_timeout(configured);
    assert_eq!(max_idle(&estimate), after_failure);
    assert_eq!(-estimate.oldest_usable(0, ConnectionUse::Control), configured);
}
