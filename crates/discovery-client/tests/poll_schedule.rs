//! The pace of calls, each rule by a case that fails without it.

use roselock_discovery_client::poll_schedule::{
    Micros, PollParameters, PollSchedule, WATCH_TIMEOUT, WatchEnd, WatchEndReason,
};
use rstest::rstest;

const SECOND: Micros = 1_000_000;
const GUESS: Micros = 20_000;

fn round(me: u32) -> PollParameters {
    PollParameters { instance_count: 300, instance_index: me, poll_interval: 10 * SECOND }
}

/// The service answered a call with an error, or ended the watch, at that time.
fn refused(as_of: Micros) -> WatchEnd {
    WatchEnd { reason: WatchEndReason::Refused, in_sync_until: as_of }
}

/// Guards against calls that come in one moment: the first round has no second with more than its even part.
#[rstest]
fn the_first_calls_lie_evenly_in_a_round() {
    let mut at: Vec<Micros> = (0..300).map(|me| PollSchedule::new(GUESS).first_delay(round(me))).collect();
    at.sort_unstable();
    let widest = at.windows(2).map(|w| w[1] - w[0]).max();
    assert!(at[299] < 6 * SECOND && widest < Some(3 * GUESS), "{widest:?}");
}

/// Guards against a constant: what a call shows draws the estimate to it, down to a quick service and up to a slow one.
#[rstest]
#[case::quick(5_000, 4_000..8_000)]
#[case::as_guessed(16_000, 10_000..25_000)]
#[case::queued(1_500_000, 25_000..40_000)]
fn an_answered_call_draws_the_estimate(#[case] waited: Micros, #[case] wanted: std::ops::Range<Micros>) {
    let mut pace = PollSchedule::new(GUESS);
    // Half of the others are ahead of it.
    let me = (0..300)
        .min_by_key(|me| (PollSchedule::new(GUESS).first_delay(round(*me)) - 3 * SECOND).abs())
        .expect("some");
    pace.first_delay(round(me));
    pace.begin_poll(0);
    pace.record_answer(waited);
    assert!(wanted.contains(&pace.call_time()), "{}", pace.call_time());
}

/// Guards against news of a watch that are taken for the answer to a call.
#[rstest]
fn news_between_calls_say_nothing_of_the_service() {
    let mut pace = PollSchedule::new(GUESS);
    pace.begin_poll(0);
    pace.record_answer(16_000);
    let before = pace.call_time();
    pace.record_answer(9 * SECOND);
    assert_eq!(pace.call_time(), before);
}

/// Guards against a collapse that keeps itself up, and against a dispatcher that is told too late. A service that is down
/// keeps callers waiting, too: after the first calls that waited in vain the next one is in time to be told within 6 s of
/// the failure. Each later failure leaves the service twice the time, four times as long as else where that binds, and no
/// longer.
#[rstest]
fn failures_spread_the_calls_further() {
    let (mut pace, mut now) = (PollSchedule::new(GUESS), 0);
    let mut latest = Vec::new();
    pace.first_delay(round(7));
    for _ in 0..8 {
        pace.begin_poll(now);
        now += 2 * SECOND;
        let after = pace.delay_after_end(now, round(7), 0.999, refused(now));
        latest.push(after / SECOND);
        now += after;
    }
    assert!(latest[..3].iter().all(|l| *l < 5), "{latest:?}");
    assert!(latest[3..].iter().all(|l| (35..40).contains(l)), "{latest:?}");
}

/// Guards against a herd when a service restarts and all watches break at once: nobody fails, and all come in turn.
#[rstest]
fn a_broken_watch_is_met_by_the_learned_round_in_turn() {
    let mut at: Vec<Micros> = (0..300)
        .map(|me| {
            let mut pace = PollSchedule::new(GUESS);
            pace.first_delay(round(me));
            pace.begin_poll(0);
            pace.record_answer(5_000);
            pace.delay_after_end(SECOND, round(me), 0.5, refused(SECOND))
        })
        .collect();
    at.sort_unstable();
    let busiest = at.iter().map(|t| at.iter().filter(|u| (0..SECOND / 2).contains(&(*u - t))).count()).max();
    assert!(at[299] < 5 * SECOND / 2, "a quick service is used at once: {}", at[299]);
    assert!(busiest < Some(100), "{busiest:?} in half a second");
}

/// Guards against a service that is back and not asked: while it was down, calls failed at once.
#[rstest]
fn a_service_that_is_down_is_asked_as_often_as_before() {
    let (mut pace, mut now) = (PollSchedule::new(GUESS), 0);
    for _ in 0..8 {
        pace.begin_poll(now);
        now += 1_000;
        let after = pace.delay_after_end(now, round(7), 0.999, refused(now));
        assert!(after < 8 * SECOND, "{after}");
        now += after;
    }
}

/// Guards against a few dispatchers that wait like hundreds: one call that waits in vain says little of a queue where
/// there are three. Found as calls up to 3 s after the first failure, on a day of three dispatchers.
#[rstest]
fn a_few_dispatchers_come_again_soon() {
    let few = PollParameters { instance_count: 3, instance_index: 1, poll_interval: 10 * SECOND };
    let mut pace = PollSchedule::new(83_000);
    pace.first_delay(few);
    pace.begin_poll(0);
    assert!(pace.delay_after_end(2 * SECOND, few, 0.999, refused(2 * SECOND)) <= SECOND * 3 / 4);
    pace.begin_poll(3 * SECOND);
    pace.record_answer(5 * SECOND);
    assert!(pace.delay_after_end(9 * SECOND, few, 0.999, refused(9 * SECOND)) <= SECOND * 3 / 2);
}

/// Guards against a dispatcher that is told too late: what changes while the service can be reached counts as told 6 s
/// later, and a watch that fell silent is found after up to 2.5 s, a call answered after up to a second. With the rounds
/// of before, the last of 300 called 7.4 s after the silence was found, and 8 s after its start.
#[rstest]
fn who_can_reach_the_service_is_told_within_six_seconds() {
    for me in 0..300 {
        let mut pace = PollSchedule::new(83_000);
        assert!(pace.first_delay(round(me)) <= 5 * SECOND);
        assert!(pace.begin_poll(0));
        pace.record_answer(30_000);
        let silence = WatchEnd { reason: WatchEndReason::Silent, in_sync_until: 9 * SECOND - WATCH_TIMEOUT };
        let silent = pace.delay_after_end(9 * SECOND, round(me), 0.999, silence);
        assert!(silent <= 6 * SECOND - WATCH_TIMEOUT - SECOND, "{me}: {silent}");
        // A service that is down, one that cannot be reached, and one that never answers: from the moment it is back.
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
            assert!(pace.begin_poll(now));
            let began = now;
            now += waited;
            let as_of = if reason == WatchEndReason::Refused { now } else { began };
            now += pace.delay_after_end(now, round(me), 0.999, WatchEnd { reason, in_sync_until: as_of });
            assert!(now - as_of <= 5 * SECOND, "{me}: {reason:?}: {}", now - as_of);
        }
    }
}

/// Guards against a service that is down and pressed by hundreds: no second has more than 150 calls of 300 dispatchers,
/// each of which it refuses at once.
#[rstest]
fn a_service_that_is_down_is_not_pressed() {
    let mut calls = Vec::new();
    for me in 0..300 {
        let (mut pace, mut now, mut draw) = (PollSchedule::new(83_000), 0, me as f64);
        now += pace.first_delay(round(me));
        while now < 20 * SECOND {
            assert!(pace.begin_poll(now));
            calls.push(now);
            draw = (draw * 7.31 + 0.37).fract();
            now += 1_000;
            now += pace.delay_after_end(now, round(me), draw, refused(now));
        }
    }
    let busiest = (5..20).map(|s| calls.iter().filter(|at| **at / SECOND == s).count()).max();
    assert!(busiest < Some(150), "{busiest:?} calls in a second");
}

/// Guards against calls that nobody needs: a wait that news or a later wait has overtaken ends in no call.
#[rstest]
fn a_wait_that_was_overtaken_ends_in_no_call() {
    let mut pace = PollSchedule::new(GUESS);
    // The list that one starts with is no word of the service.
    pace.record_answer(0);
    assert!(pace.begin_poll(SECOND) && !pace.begin_poll(SECOND));
    let after = pace.delay_after_end(SECOND, round(7), 0.5, refused(SECOND));
    assert!(!pace.begin_poll(SECOND + after - 1));
    // A watch that was moved meanwhile has been answered.
    pace.record_answer(SECOND + after - 1);
    assert!(!pace.begin_poll(SECOND + after));
    let first = pace.delay_after_end(9 * SECOND, round(7), 0.9, refused(9 * SECOND));
    let second = pace.delay_after_end(9 * SECOND + 1, round(7), 0.1, refused(9 * SECOND + 1));
    assert_eq!(
        [9 * SECOND + first.min(second), 9 * SECOND + 1 + first.max(second)]
            .map(|at| pace.begin_poll(at))
            .iter()
            .filter(|c| **c)
            .count(),
        1
    );
}
