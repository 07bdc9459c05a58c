//! The schedule of calls to the list service, each rule by a case that fails without it.

use roselock_discovery_client::poll_schedule::{
    Micros, PollParameters, PollSchedule, WATCH_TIMEOUT, WatchEnd, WatchEndReason,
};
use rstest::rstest;

const SECOND: Micros = 1_000_000;
const GUESS: Micros = 20_000;

/// One of 300 dispatchers.
fn parameters(index: u32) -> PollParameters {
    PollParameters { instance_count: 300, instance_index: index, poll_interval: 10 * SECOND }
}

/// The service answered a call with an error, or ended the watch, at this time.
fn refused(in_sync_until: Micros) -> WatchEnd {
    WatchEnd { reason: WatchEndReason::Refused, in_sync_until }
}

/// Guards against calls that come at the same time: no two first calls are further apart than three calls take.
#[rstest]
fn the_first_calls_are_evenly_distributed_over_a_round() {
    let mut at: Vec<Micros> =
        (0..300).map(|index| PollSchedule::new(GUESS).first_delay(parameters(index))).collect();
    at.sort_unstable();
    let widest = at.windows(2).map(|w| w[1] - w[0]).max();
    assert!(at[299] < 6 * SECOND && widest < Some(3 * GUESS), "{widest:?}");
}

/// Guards against a constant estimate: it follows the duration of a call, down to a fast service and up to a slow one.
#[rstest]
#[case::fast(5_000, 4_000..8_000)]
#[case::as_guessed(16_000, 10_000..25_000)]
#[case::queued(1_500_000, 25_000..40_000)]
fn an_answered_call_updates_the_estimate(#[case] waited: Micros, #[case] expected: std::ops::Range<Micros>) {
    let mut schedule = PollSchedule::new(GUESS);
    // Half of the other calls are ahead of it.
    let index = (0..300)
        .min_by_key(|index| (PollSchedule::new(GUESS).first_delay(parameters(*index)) - 3 * SECOND).abs())
        .expect("some");
    schedule.first_delay(parameters(index));
    schedule.begin_poll(0);
    schedule.record_answer(waited);
    assert!(expected.contains(&schedule.call_time()), "{}", schedule.call_time());
}

/// Guards against later watch events that are taken for the answer to a call.
#[rstest]
fn watch_events_between_calls_do_not_change_the_estimate() {
    let mut schedule = PollSchedule::new(GUESS);
    schedule.begin_poll(0);
    schedule.record_answer(16_000);
    let before = schedule.call_time();
    schedule.record_answer(9 * SECOND);
    assert_eq!(schedule.call_time(), before);
}

/// Guards against a congestion collapse, and against a dispatcher that is notified too late. A service that is down makes
/// callers wait, too: after the first timeouts the next call is early enough to be notified within 6 s of the failure. Each
/// later timeout leaves the service twice the time, up to four times the poll interval.
#[rstest]
fn repeated_timeouts_spread_the_calls_further() {
    let mut schedule = PollSchedule::new(GUESS);
    let mut now = 0;
    let mut latest = Vec::new();
    schedule.first_delay(parameters(7));
    for _ in 0..8 {
        schedule.begin_poll(now);
        now += 2 * SECOND;
        let delay = schedule.delay_after_end(now, parameters(7), 0.999, refused(now));
        latest.push(delay / SECOND);
        now += delay;
    }
    assert!(latest[..3].iter().all(|l| *l < 5), "{latest:?}");
    assert!(latest[3..].iter().all(|l| (35..40).contains(l)), "{latest:?}");
}

/// Guards against a thundering herd when a service restarts and all watches break at once: the calls are spread over a round.
#[rstest]
fn calls_after_a_broken_watch_are_spread_over_the_estimated_round() {
    let mut at: Vec<Micros> = (0..300)
        .map(|index| {
            let mut schedule = PollSchedule::new(GUESS);
            schedule.first_delay(parameters(index));
            schedule.begin_poll(0);
            schedule.record_answer(5_000);
            schedule.delay_after_end(SECOND, parameters(index), 0.5, refused(SECOND))
        })
        .collect();
    at.sort_unstable();
    let busiest = at.iter().map(|t| at.iter().filter(|u| (0..SECOND / 2).contains(&(*u - t))).count()).max();
    assert!(at[299] < 5 * SECOND / 2, "a fast service is used at once: {}", at[299]);
    assert!(busiest < Some(100), "{busiest:?} in half a second");
}

/// Guards against a service that is back and not polled: while it was down, calls failed at once.
#[rstest]
fn a_service_that_is_down_is_polled_as_often_as_before() {
    let mut schedule = PollSchedule::new(GUESS);
    let mut now = 0;
    for _ in 0..8 {
        schedule.begin_poll(now);
        now += 1_000;
        let delay = schedule.delay_after_end(now, parameters(7), 0.999, refused(now));
        assert!(delay < 8 * SECOND, "{delay}");
        now += delay;
    }
}

/// Guards against a few dispatchers that wait like hundreds: one timeout says little about a queue where there are three.
/// Found as calls up to 3 s after the first failure, on a day of three dispatchers.
#[rstest]
fn a_few_dispatchers_retry_soon() {
    let few = PollParameters { instance_count: 3, instance_index: 1, poll_interval: 10 * SECOND };
    let mut schedule = PollSchedule::new(83_000);
    schedule.first_delay(few);
    schedule.begin_poll(0);
    assert!(schedule.delay_after_end(2 * SECOND, few, 0.999, refused(2 * SECOND)) <= SECOND * 3 / 4);
    schedule.begin_poll(3 * SECOND);
    schedule.record_answer(5 * SECOND);
    assert!(schedule.delay_after_end(9 * SECOND, few, 0.999, refused(9 * SECOND)) <= SECOND * 3 / 2);
}

/// Guards against a dispatcher that is notified too late: a change counts as notified after 6 s while the service can be
/// reached, a silent watch is detected after up to 2.5 s, and a call is answered after up to a second. With the former
/// rounds, the last of 300 dispatchers called 7.4 s after the silence was detected, and 8 s after its start.
#[rstest]
fn a_dispatcher_that_can_reach_the_service_is_notified_within_six_seconds() {
    for index in 0..300 {
        let mut schedule = PollSchedule::new(83_000);
        assert!(schedule.first_delay(parameters(index)) <= 5 * SECOND);
        assert!(schedule.begin_poll(0));
        schedule.record_answer(30_000);
        let silence = WatchEnd { reason: WatchEndReason::Silent, in_sync_until: 9 * SECOND - WATCH_TIMEOUT };
        let silent = schedule.delay_after_end(9 * SECOND, parameters(index), 0.999, silence);
        assert!(silent <= 6 * SECOND - WATCH_TIMEOUT - SECOND, "{index}: {silent}");
        // A service that is down, one that cannot be reached, and one that never answers: from the time at which it is back.
        let mut now = 9 * SECOND + silent;
        let failures = [
            (WatchEndReason::Refused, 10_000),
            (WatchEndReason::Unreachable, SECOND),
            (WatchEndReason::Refused, 2 * SECOND),
            (WatchEndReason::Unreachable, SECOND),
            (WatchEndReason::Silent, 3 * SECOND),
            (WatchEndReason::Refused, 10_000),
        ];
        for (reason, waited) in failures {
            assert!(schedule.begin_poll(now));
            let started_at = now;
            now += waited;
            let in_sync_until = if reason == WatchEndReason::Refused { now } else { started_at };
            now +=
                schedule.delay_after_end(now, parameters(index), 0.999, WatchEnd { reason, in_sync_until });
            let out_of_sync = now - in_sync_until;
            assert!(out_of_sync <= 5 * SECOND, "{index}: {reason:?}: {out_of_sync}");
        }
    }
}

/// Guards against hundreds of dispatchers that overload a service that is down: no second has 150 calls or more of 300
/// dispatchers, each of which it refuses at once.
#[rstest]
fn a_service_that_is_down_is_not_overloaded() {
    let mut calls = Vec::new();
    for index in 0..300 {
        let mut schedule = PollSchedule::new(83_000);
        let mut now = 0;
        let mut draw = index as f64;
        now += schedule.first_delay(parameters(index));
        while now < 20 * SECOND {
            assert!(schedule.begin_poll(now));
            calls.push(now);
            draw = (draw * 7.31 + 0.37).fract();
            now += 1_000;
            now += schedule.delay_after_end(now, parameters(index), draw, refused(now));
        }
    }
    let busiest = (5..20).map(|s| calls.iter().filter(|at| **at / SECOND == s).count()).max();
    assert!(busiest < Some(150), "{busiest:?} calls in a second");
}

/// Guards against needless calls: a wait that a watch event or a later wait has superseded ends in no call.
#[rstest]
fn a_superseded_wait_ends_in_no_call() {
    let mut schedule = PollSchedule::new(GUESS);
    // A list cached before the start is no answer of the service.
    schedule.record_answer(0);
    assert!(schedule.begin_poll(SECOND) && !schedule.begin_poll(SECOND));
    let delay = schedule.delay_after_end(SECOND, parameters(7), 0.5, refused(SECOND));
    assert!(!schedule.begin_poll(SECOND + delay - 1));
    // The watch has been answered meanwhile, at the address that it was moved to.
    schedule.record_answer(SECOND + delay - 1);
    assert!(!schedule.begin_poll(SECOND + delay));
    let first = schedule.delay_after_end(9 * SECOND, parameters(7), 0.9, refused(9 * SECOND));
    let second = schedule.delay_after_end(9 * SECOND + 1, parameters(7), 0.1, refused(9 * SECOND + 1));
    assert_eq!(
        [9 * SECOND + first.min(second), 9 * SECOND + 1 + first.max(second)]
            .map(|at| schedule.begin_poll(at))
            .iter()
            .filter(|c| **c)
            .count(),
        1
    );
}
