//! Tests of the deadlines of streams and attempts.

use super::*;
use rstest::rstest;

/// Guards against deadlines that fire early or out of order: the earliest fires first, and at the same time attempts
/// precede streams.
#[rstest]
fn deadlines_fire_in_order_once_they_are_due() {
    let mut deadlines = Deadlines::default();
    deadlines.add(200, Deadline::Attempt(1));
    deadlines.add(100, Deadline::Stream(2));
    deadlines.add(100, Deadline::DialQueue(3));
    deadlines.add(100, Deadline::Attempt(4));
    assert_eq!(deadlines.next_at(), Some(100));
    assert!(deadlines.pop_due(99).is_none());
    let expected = [Deadline::Attempt(4), Deadline::DialQueue(3), Deadline::Stream(2)];
    for deadline in expected {
        assert!(deadlines.pop_due(150) == Some(deadline));
    }
    assert!(deadlines.pop_due(199).is_none());
    assert!(deadlines.pop_due(200) == Some(Deadline::Attempt(1)));
    assert_eq!(deadlines.next_at(), None);
}
