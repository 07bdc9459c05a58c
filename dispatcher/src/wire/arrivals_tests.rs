//! The times at which bytes were read.

use super::{Arrivals, MOST, TOGETHER};
use rstest::rstest;

const SECOND: i64 = 1_000_000;

/// Guards against the time of a neighbour: each byte keeps the time of its own read.
#[rstest]
#[case(4, 1)]
#[case(5, 2)]
#[case(9, 2)]
#[case(10, 3)]
fn what_leaves_keeps_its_time(#[case] bytes: usize, #[case] second: i64) {
    let mut arrivals = Arrivals::default();
    for (len, at) in [(4, 1), (9, 2), (20, 3)] {
        arrivals.extend(len, at * SECOND);
    }
    arrivals.consume(bytes);
    assert_eq!(arrivals.consumed(), second * SECOND);
    arrivals.consume(20 - bytes);
    assert_eq!((arrivals.consumed(), arrivals.first()), (3 * SECOND, None));
}

/// Guards against a list of times without bound, and against a time later than the read.
#[rstest]
fn times_are_bounded_and_never_late() {
    let mut arrivals = Arrivals::default();
    let many = 5 * MOST;
    (1..=many).for_each(|len| arrivals.extend(len, len as i64 * TOGETHER));
    assert!(arrivals.times.len() <= MOST);
    for byte in 1..=many {
        arrivals.consume(1);
        assert!(arrivals.consumed() <= byte as i64 * TOGETHER);
    }
    assert!(arrivals.times.is_empty());
}
