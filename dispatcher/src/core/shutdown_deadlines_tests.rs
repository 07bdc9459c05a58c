//! Tests of the deadlines of a graceful shutdown.

use super::*;
use rstest::rstest;

const REQUESTED_AT: Micros = 1_000_000_000;

/// Guards against an answer or an exit that comes after the process may be killed: 0.7 s after the client timeout, of
/// which at most 3 s count.
#[rstest]
#[case::no_settings_known(0, 500_000)]
#[case::short(1_000_000, 1_500_000)]
#[case::longest_that_counts(3_000_000, 3_500_000)]
#[case::longer(60_000_000, 3_500_000)]
fn answers_and_exit_precede_the_kill(#[case] client_timeout: Micros, #[case] drain: Micros) {
    let deadlines = ShutdownDeadlines::new(REQUESTED_AT, client_timeout);
    let kill_at = REQUESTED_AT + client_timeout.min(3_000_000) + 700_000;
    assert_eq!(drain_timeout(client_timeout), drain);
    assert_eq!(deadlines.answer_by(), REQUESTED_AT + drain);
    assert_eq!(deadlines.answer_by(), kill_at - 200_000);
    assert_eq!(deadlines.exit_by(), kill_at - 100_000);
    assert!(!deadlines.is_drain_over(REQUESTED_AT + drain - 1));
    assert!(deadlines.is_drain_over(REQUESTED_AT + drain));
}

/// Guards against closing connections before their clients can use another dispatcher, and against never closing them.
#[rstest]
#[case(3_000_000, 1_800_000)]
#[case(0, 257_142)]
fn connections_close_after_a_little_more_than_half_of_the_drain_timeout(
    #[case] client_timeout: Micros,
    #[case] linger: Micros,
) {
    let deadlines = ShutdownDeadlines::new(REQUESTED_AT, client_timeout);
    assert!(!deadlines.is_closing_connections(REQUESTED_AT));
    assert!(!deadlines.is_closing_connections(REQUESTED_AT + linger - 1));
    assert!(deadlines.is_closing_connections(REQUESTED_AT + linger));
}

/// Guards against a late stream that would be answered only after the kill, and against a shortened deadline of an
/// early one.
#[rstest]
fn only_late_arrivals_are_bound_by_the_shutdown() {
    let deadlines = ShutdownDeadlines::new(REQUESTED_AT, 3_000_000);
    assert_eq!(deadlines.arrival_deadline(REQUESTED_AT + 600_000), None);
    assert_eq!(deadlines.arrival_deadline(REQUESTED_AT + 600_001), Some(REQUESTED_AT + 3_500_000));
}
