//! Tests of the poll schedule: each rule has a case that fails without it.

use roselock_discovery_client::poll_schedule::{
    Micros, PollParameters, PollSchedule, WATCH_TIMEOUT, WatchEnd, WatchEndReason,
};
use rstest::rstest;

const SECOND: Micros = 1_000_000;
const INITIAL_CALL_TIME: Micros = 20_000;

/// The parameters of one of 300 dispatchers.
fn parameters(index: u32) -> PollParameters {
    PollParameters { instance_count: 300, instance_index: index, poll_interval: 10 * SECOND }
}

/// The service answered a call with an error, or ended the watch, at `in_sync_until`.
fn refused(in_sync_until: Micros) -> WatchEnd {
    WatchEnd { reason: WatchEndReason::Refused, in_sync_until }
}

/// Guards against calls that coincide: consecutive first calls are less than three service times apart.
#[rstest]
fn the_first_calls_are_evenly_distributed_over_a_round() {
    let mut delays: Vec<Micros> =
        (0..300).map(|index| PollSchedule::new(INITIAL_CALL_TIME).first_delay(parameters(index))).collect();
    delays.sort_unstable();
    let widest_gap = delays.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(delays[299] < 6 * SECOND && widest_gap < Some(3 * INITIAL_CALL_TIME), "{widest_gap:?}");
}

/// Guards against an estimate that does not adapt: it follows the duration of a call, down for a fast service and up for a
/// slow one.
#[rstest]
#[case::fast(5_000, 4_000..8_000)]
#[case::as_estimated(16_000, 10_000..25_000)]
#[case::queued(1_500_000, 25_000..40_000)]
fn an_answered_call_updates_the_estimate(#[case] waited: Micros, #[case] expected: std::ops::Range<Micros>) {
    let mut schedule = PollSchedule::new(INITIAL_CALL_TIME);
    // The dispatcher in the middle of the round: half of the other calls are ahead of its call.
    let index = (0..300)
        .min_by_key(|index| {
            (PollSchedule::new(INITIAL_CALL_TIME).first_delay(parameters(*index)) - 3 * SECOND).abs()
        })
        .expect("300 dispatchers");
    schedule.first_delay(parameters(index));
    schedule.begin_poll(0);
    schedule.record_answer(waited);
    assert!(expected.contains(&schedule.call_time()), "{}", schedule.call_time());
}

/// Guards against later watch events that are taken for the answer to a call and change the estimate.
#[rstest]
fn watch_events_between_calls_do_not_change_the_estimate() {
    let mut schedule = PollSchedule::new(INITIAL_CALL_TIME);
    schedule.begin_poll(0);
    schedule.record_answer(16_000);
    let before = schedule.call_time();
    schedule.record_answer(9 * SECOND);
    assert_eq!(schedule.call_time(), before);
}

/// Guards against congestion collapse, and against a dispatcher that is notified too late. Calls to a service that is down may
/// fail slowly, too: after each of the first slow failures, the next call is early enough to be notified within 6 s of the
/// failure. Each later one doubles the time per call, so calls are up to four times the poll interval apart.
#[rstest]
fn repeated_slow_failures_spread_the_calls_further() {
    let mut schedule = PollSchedule::new(INITIAL_CALL_TIME);
    let mut now = 0;
    let mut delays_s = Vec::new();
    schedule.first_delay(parameters(7));
    for _ in 0..8 {
        schedule.begin_poll(now);
        now += 2 * SECOND;
        let delay = schedule.delay_after_watch_end(now, parameters(7), 0.999, refused(now));
        delays_s.push(delay / SECOND);
        now += delay;
    }
    assert!(delays_s[..3].iter().all(|delay_s| *delay_s < 5), "{delays_s:?}");
    assert!(delays_s[3..].iter().all(|delay_s| (35..40).contains(delay_s)), "{delays_s:?}");
}

/// Guards against requests to workers that begin to drain at the end of a long outage (issue 53): few dispatchers cannot overload the
/// service, but their calls were spread as those of many, so a dispatcher could be notified 9 s after the end of the outage. A change
/// counts as notified 6 s after it, which may come right after a call that waits in vain begins; a call takes up to 1.5 s.
#[rstest]
#[case::handful(5)]
#[case::most(30)]
fn few_dispatchers_call_in_time_after_an_outage_of_any_length(#[case] instance_count: u32) {
    let instance_index = instance_count - 1;
    let parameters = PollParameters { instance_count, instance_index, poll_interval: 10 * SECOND };
    let mut schedule = PollSchedule::new(SECOND / 12);
    let mut now = 0;
    schedule.first_delay(parameters);
    for _ in 0..20 {
        let started_at = now;
        schedule.begin_poll(now);
        now += 2 * SECOND;
        now += schedule.delay_after_watch_end(now, parameters, 0.999, refused(started_at));
        assert!(now - started_at <= 6 * SECOND - 3 * SECOND / 2, "{} µs", now - started_at);
    }
}

/// Guards against a thundering herd when the service restarts and all watches break at once: the calls are spread over a
/// round.
#[rstest]
fn calls_after_a_broken_watch_are_spread_over_the_estimated_round() {
    let mut delays: Vec<Micros> = (0..300)
        .map(|index| {
            let mut schedule = PollSchedule::new(INITIAL_CALL_TIME);
            schedule.first_delay(parameters(index));
            schedule.begin_poll(0);
            schedule.record_answer(5_000);
            schedule.delay_after_watch_end(SECOND, parameters(index), 0.5, refused(SECOND))
        })
        .collect();
    delays.sort_unstable();
    let peak = delays
        .iter()
        .map(|first| delays.iter().filter(|delay| (0..SECOND / 2).contains(&(*delay - first))).count())
        .max();
    assert!(delays[299] < 5 * SECOND / 2, "the last call to a fast service comes after {} µs", delays[299]);
    assert!(peak < Some(100), "{peak:?} calls in half a second");
}

/// Guards against a recovered service that is not polled soon, as its calls failed immediately while it was down.
#[rstest]
fn a_service_that_is_down_is_polled_as_often_as_before() {
    let mut schedule = PollSchedule::new(INITIAL_CALL_TIME);
    let mut now = 0;
    for _ in 0..8 {
        schedule.begin_poll(now);
        now += 1_000;
        let delay = schedule.delay_after_watch_end(now, parameters(7), 0.999, refused(now));
        assert!(delay < 8 * SECOND, "{delay}");
        now += delay;
    }
}

/// Guards against a few dispatchers whose delays are those of hundreds: with three dispatchers, one slow failure is little
/// evidence of a queue. The fault: three dispatchers retried up to 3 s after the first failure.
#[rstest]
fn a_few_dispatchers_retry_soon() {
    let parameters = PollParameters { instance_count: 3, instance_index: 1, poll_interval: 10 * SECOND };
    let mut schedule = PollSchedule::new(83_000);
    schedule.first_delay(parameters);
    schedule.begin_poll(0);
    assert!(
        schedule.delay_after_watch_end(2 * SECOND, parameters, 0.999, refused(2 * SECOND)) <= SECOND * 3 / 4
    );
    schedule.begin_poll(3 * SECOND);
    schedule.record_answer(5 * SECOND);
    assert!(
        schedule.delay_after_watch_end(9 * SECOND, parameters, 0.999, refused(9 * SECOND)) <= SECOND * 3 / 2
    );
}

/// Guards against a dispatcher that is notified too late: a change counts as notified after 6 s while the service can be
/// reached, a silent watch is detected within 2.5 s, and a call is answered within 1 s. With rounds that ignored these limits,
/// the last of 300 dispatchers called 7.4 s after the silence was detected, and 8 s after its start.
#[rstest]
fn a_dispatcher_that_can_reach_the_service_is_notified_within_six_seconds() {
    for index in 0..300 {
        let mut schedule = PollSchedule::new(83_000);
        assert!(schedule.first_delay(parameters(index)) <= 5 * SECOND);
        assert!(schedule.begin_poll(0));
        schedule.record_answer(30_000);
        let silence =
            WatchEnd { reason: WatchEndReason::TimedOut, in_sync_until: 9 * SECOND - WATCH_TIMEOUT };
        let silent = schedule.delay_after_watch_end(9 * SECOND, parameters(index), 0.999, silence);
        assert!(silent <= 6 * SECOND - WATCH_TIMEOUT - SECOND, "{index}: {silent}");
        // A service that is down, one that cannot be reached, and one that never answers: each call is made in time, counted
        // from when the service may have recovered.
        let mut now = 9 * SECOND + silent;
        let failures = [
            (WatchEndReason::Refused, 10_000),
            (WatchEndReason::Unreachable, SECOND),
            (WatchEndReason::Refused, 2 * SECOND),
            (WatchEndReason::Unreachable, SECOND),
            (WatchEndReason::TimedOut, 3 * SECOND),
            (WatchEndReason::Refused, 10_000),
        ];
        for (reason, waited) in failures {
            assert!(schedule.begin_poll(now));
            let started_at = now;
            now += waited;
            let in_sync_until = if reason == WatchEndReason::Refused { now } else { started_at };
            now += schedule.delay_after_watch_end(
                now,
                parameters(index),
                0.999,
                WatchEnd { reason, in_sync_until },
            );
            let out_of_sync = now - in_sync_until;
            assert!(out_of_sync <= 5 * SECOND, "{index}: {reason:?}: {out_of_sync}");
        }
    }
}

/// Guards against hundreds of dispatchers that overload a service that is down and refuses each call immediately: 300
/// dispatchers make fewer than 150 calls in any second.
#[rstest]
fn a_service_that_is_down_is_not_overloaded() {
    let mut calls = Vec::new();
    for index in 0..300 {
        let mut schedule = PollSchedule::new(83_000);
        let mut now = 0;
        let mut random = index as f64;
        now += schedule.first_delay(parameters(index));
        while now < 20 * SECOND {
            assert!(schedule.begin_poll(now));
            calls.push(now);
            random = (random * 7.31 + 0.37).fract();
            now += 1_000;
            now += schedule.delay_after_watch_end(now, parameters(index), random, refused(now));
        }
    }
    let peak = (5..20).map(|second| calls.iter().filter(|at| **at / SECOND == second).count()).max();
    assert!(peak < Some(150), "{peak:?} calls in a second");
}

/// Guards against unnecessary calls: a delay that a watch event or a later delay has superseded leads to no call.
#[rstest]
fn a_superseded_delay_leads_to_no_call() {
    let mut schedule = PollSchedule::new(INITIAL_CALL_TIME);
    // A list cached before the start is not an answer of the service.
    schedule.record_answer(0);
    assert!(schedule.begin_poll(SECOND) && !schedule.begin_poll(SECOND));
    let delay = schedule.delay_after_watch_end(SECOND, parameters(7), 0.5, refused(SECOND));
    assert!(!schedule.begin_poll(SECOND + delay - 1));
    // Meanwhile, the watch has been answered at the address that the service moved to.
    schedule.record_answer(SECOND + delay - 1);
    assert!(!schedule.begin_poll(SECOND + delay));
    let first = schedule.delay_after_watch_end(9 * SECOND, parameters(7), 0.9, refused(9 * SECOND));
    let second = schedule.delay_after_watch_end(9 * SECOND + 1, parameters(7), 0.1, refused(9 * SECOND + 1));
    assert_eq!(
        [9 * SECOND + first.min(second), 9 * SECOND + 1 + first.max(second)]
            .map(|at| schedule.begin_poll(at))
            .iter()
            .filter(|was_due| **was_due)
            .count(),
        1
    );
}
