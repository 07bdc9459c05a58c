//! Tests of the recorded read times.

use super::{Arrivals, MAX_ARRIVALS, MERGE_WINDOW};
use rstest::rstest;

const SECOND: i64 = 1_000_000;

/// A consumed byte has the time of its own read, not that of an adjacent one.
#[rstest]
#[case(4, 1)]
#[case(5, 2)]
#[case(9, 2)]
#[case(10, 3)]
fn each_byte_keeps_the_time_of_its_own_read(#[case] bytes: usize, #[case] second: i64) {
    let mut arrivals = Arrivals::default();
    for (length, at) in [(4, 1), (9, 2), (20, 3)] {
        arrivals.extend(length, at * SECOND);
    }
    arrivals.consume(bytes);
    assert_eq!(arrivals.last_consumed_at(), second * SECOND);
    arrivals.consume(20 - bytes);
    assert_eq!((arrivals.last_consumed_at(), arrivals.first()), (3 * SECOND, None));
}

/// The number of arrivals is bounded, and merging adjacent arrivals never makes a byte's read time later.
#[rstest]
fn arrivals_are_bounded_and_never_later_than_the_read() {
    let mut arrivals = Arrivals::default();
    let count = 5 * MAX_ARRIVALS;
    for length in 1..=count {
        arrivals.extend(length, length as i64 * MERGE_WINDOW);
    }
    assert!(arrivals.arrivals.len() <= MAX_ARRIVALS);
    for byte in 1..=count {
        arrivals.consume(1);
        assert!(arrivals.last_consumed_at() <= byte as i64 * MERGE_WINDOW);
    }
    assert!(arrivals.arrivals.is_empty());
}
