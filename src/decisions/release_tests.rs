//! Margins determine which job is sent, where and when.

use crate::api::*;
use crate::state::capacity::CapacityEstimate;
use crate::state::resources::SLOT;
use crate::state::timers::TICK_TOKEN;
use crate::test_support::*;

#[test]
fn prices_decide_where_a_job_is_sent() {
    for expensive in [0, 1] {
        let mut dispatcher = dispatcher(2);
        set_slot_price(&mut dispatcher, expensive, 0.4);
        let mut out = vec![];
        dispatcher.prices.updated_at = SECOND;
        dispatcher.step(SECOND, &[arrival(1, 1.0)], &mut out);
        assert_eq!(sends(&out), [(1, 1 - expensive as u64)]);
    }
}

#[test]
fn prices_decide_which_job_is_sent() {
    // There is capacity for one job. Weights are per unit of work, so at a price of 0 the longer job has the
    // higher margin, but a slot price reduces it by more.
    for (price, first) in [(0.0, 2), (0.8, 1)] {
        let mut dispatcher = dispatcher(1);
        dispatcher.workers[0].capacity[SLOT] = CapacityEstimate::new(1.0, 0);
        set_slot_price(&mut dispatcher, 0, price);
        let mut out = vec![];
        dispatcher.prices.updated_at = SECOND;
        dispatcher.step(SECOND, &[arrival(1, 0.5), arrival(2, 2.0)], &mut out);
        assert_eq!(sends(&out), [(first, 0)]);
    }
}

#[test]
fn prices_decide_when_a_job_is_sent() {
    let mut dispatcher = dispatcher(1);
    set_slot_price(&mut dispatcher, 0, 5.0);
    let mut out = vec![];
    dispatcher.prices.updated_at = SECOND;
    dispatcher.step(SECOND, &[arrival(1, 1.0)], &mut out);
    assert_eq!(sends(&out), [], "held while the price exceeds its payoff");
    // The capacity is unused, so each step lowers the price until the margin is positive.
    let mut now = SECOND;
    while sends(&out).is_empty() && now < 20 * SECOND {
        now += SECOND / 10;
        dispatcher.step(now, &[Event::TimerFired(TICK_TOKEN)], &mut out);
    }
    assert_eq!(sends(&out), [(1, 0)]);
    assert!(now > SECOND * 11 / 10);
}

#[test]
fn the_payoff_window_moves_on_and_margins_stay_positive() {
    let mut dispatcher = dispatcher(1);
    let mut out = vec![];
    dispatcher.step(200 * SECOND, &[arrival(1, 1.0)], &mut out);
    assert!(dispatcher.prices.window_end >= 400.0);
    assert_eq!(sends(&out), [(1, 0)]);
}

/// Regression test: a worker had 38 times the mean load, because jobs that it rejected while queued returned
/// to it at once, with four attempts each.
#[test]
fn no_job_queues_at_a_worker_for_a_mean_run_time_after_its_rejection() {
    let mut dispatcher = dispatcher(1);
    let report = LoadReport { free_slots: Some(0.0), ..LoadReport::default() };
    dispatcher.workers[0].capacity[SLOT].record(0.0, 0.0, 0);
    let mut out = vec![];
    let mut sent = vec![];
    for (tenths, expected) in [(0, 0), (20, 1), (21, 0), (25, 0)] {
        let now = 10 * SECOND + tenths * SECOND / 10;
        let slots = &mut dispatcher.workers[0].capacity[SLOT];
        slots.mean = 0.0;
        slots.total = 0.0;
        slots.latest = 0.0;
        let events = match tenths {
            0 => vec![arrival(1, 1.0)],
            21 => vec![first_attempt_ended(1, Outcome::Rejected, report)],
            _ => vec![],
        };
        out.clear();
        dispatcher.step(now, &events, &mut out);
        dispatcher.step(now + 1000, &[Event::TimerFired(TICK_TOKEN)], &mut out);
        sent.push((sends(&out).len(), expected));
    }
    assert!(sent.iter().all(|(count, expected)| count == expected), "{sent:?}");
}
