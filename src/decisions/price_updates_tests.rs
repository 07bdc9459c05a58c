//! Price steps against results calculated by hand.

use crate::api::*;
use crate::state::prices::HORIZON_TICKS;
use crate::state::resources::{MEMORY, SLOT};
use crate::test_support::*;

#[test]
fn a_step_without_profitable_columns_lowers_the_price_by_eta_d() {
    let mut dispatcher = dispatcher(1);
    // With a latency objective of 1 s the tick is 0.5 s and the mean run time 1 s, so eta is 0.1 x 0.5 =
    // 0.05. With capacity 2 and one expected start, d = 2, which is all of the capacity, and two steps lower
    // the price by 2 x 0.05.
    set_slot_price(&mut dispatcher, 0, 1.0);
    dispatcher.prices.history.push_front(full_horizon_column(0, -1.0));
    dispatcher.update_prices();
    for price in dispatcher.workers[0].prices.price[SLOT] {
        assert!((price - 0.9).abs() < 1e-9, "{price}");
    }
}

#[test]
fn a_step_never_makes_a_price_negative() {
    let mut dispatcher = dispatcher(1);
    set_slot_price(&mut dispatcher, 0, 0.08);
    dispatcher.prices.history.push_front(full_horizon_column(0, -1.0));
    dispatcher.update_prices();
    assert_eq!(dispatcher.workers[0].prices.price[SLOT], [0.0; HORIZON_TICKS]);
}

#[test]
fn a_profitable_column_raises_the_price_of_a_full_worker_until_it_has_capacity_again() {
    let mut dispatcher = dispatcher(1);
    dispatcher.workers[0].capacity[SLOT].latest = 0.0;
    dispatcher.prices.history.push_front(full_horizon_column(0, 1e6));
    dispatcher.update_prices();
    // d = 0 and S/n = 1, which is half of the capacity, from the column's start tick on. The last tick is in
    // the columns of both steps.
    let price = dispatcher.workers[0].prices.price;
    assert!((price[SLOT][HORIZON_TICKS - 1] - 0.05).abs() < 1e-9, "{price:?}");
    dispatcher.workers[0].capacity[SLOT].latest = 2.0;
    dispatcher.prices.history.clear();
    dispatcher.prices.history.push_front(full_horizon_column(0, -1.0));
    dispatcher.update_prices();
    assert_eq!(dispatcher.workers[0].prices.price[SLOT][HORIZON_TICKS - 1], 0.0);
}

#[test]
fn the_cost_of_a_column_includes_memory_and_slots() {
    let mut dispatcher = dispatcher(1);
    let prices = &mut dispatcher.workers[0].prices;
    prices.price[SLOT] = [0.5; HORIZON_TICKS];
    prices.price[MEMORY] = [0.25; HORIZON_TICKS];
    prices.update_price_sums();
    // Slots 2 x 0.5 x 3 ticks plus memory 1 x 0.25 x 3 ticks; then half a tick more of each.
    assert!((prices.column_cost([2.0, 1.0], 0, 3.0) - 3.75).abs() < 1e-9);
    assert!((prices.column_cost([2.0, 1.0], 4, 3.5) - 4.375).abs() < 1e-9);
}

#[test]
fn a_report_without_free_slots_raises_the_price() {
    let mut dispatcher = dispatcher(1);
    dispatcher.workers[0].capacity[SLOT].record(0.0, 0.0, SECOND);
    for i in 0..20 {
        let now = SECOND + i * SECOND / 10;
        dispatcher.workers[0].capacity[SLOT].record(0.0, 0.0, now);
        dispatcher.step(now, &[arrival(i as u32, 1.0)], &mut vec![]);
    }
    assert!(dispatcher.workers[0].prices.price[SLOT][0] > 0.0);
}

#[test]
fn a_large_backlog_does_not_keep_the_price_of_an_idle_worker_high() {
    let mut dispatcher = dispatcher(1);
    set_slot_price(&mut dispatcher, 0, 0.5);
    dispatcher.prices.history.push_front(full_horizon_column(0, -1.0));
    dispatcher.jobs.waiting = (0..1000).map(JobId).collect();
    for _ in 0..6 {
        dispatcher.update_prices();
    }
    assert_eq!(dispatcher.workers[0].prices.price[SLOT], [0.0; HORIZON_TICKS]);
}
