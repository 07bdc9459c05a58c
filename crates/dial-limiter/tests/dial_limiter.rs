//! The dial limiter, each rule by a case that fails without it.

use roselock_dial_limiter::{DialLimiter, DialLimits, Micros, rejected_recently};
use rstest::rstest;

const SECOND: Micros = 1_000_000;

/// Dials as soon as it is allowed to until `until`; returns the number of dials, 10000 at most.
fn count_dials(limiter: &mut DialLimiter, limits: DialLimits, mut now: Micros, until: Micros) -> usize {
    let mut made = 0;
    while now < until && made < 10_000 {
        let next = limiter.next_dial_at(limits, now);
        if next <= now {
            limiter.record_dial(limits, now);
            made += 1;
        }
        now = next.max(now + 1);
    }
    made
}

/// Guards against too many dials, and against a dispatcher that starves: its share of what the fleet may open, at least
/// one every 2 s.
#[rstest]
#[case::a_share(Some(600.0), 300, 10..=23)]
#[case::the_minimum(Some(20.0), 300, 5..=6)]
#[case::alone(Some(3.0), 1, 30..=33)]
#[case::unlimited(None, 300, 10_000..=10_000)]
fn new_connections_stay_within_the_share(
    #[case] per_s: Option<f64>,
    #[case] dispatchers: u32,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let made =
        count_dials(&mut DialLimiter::new(0), DialLimits::share_of(per_s, dispatchers), 0, 10 * SECOND);
    assert!(expected.contains(&made), "{made}");
}

/// Guards against accumulated tokens: after an hour without a dial, no more than a second's share at once.
#[rstest]
fn tokens_do_not_accumulate_beyond_one_second() {
    let limits = DialLimits::share_of(Some(1_500.0), 300);
    let hour = 3_600 * SECOND;
    assert_eq!(count_dials(&mut DialLimiter::new(0), limits, hour, hour + 100), 5);
}

/// Guards against dials that go on at a full worker, and against all coming back at the same time: the backoff doubles up
/// to 2 s, has jitter over its upper half, and halves when a connection is accepted.
#[rstest]
fn the_backoff_after_rejections_grows_and_has_jitter() {
    let mut limiter = DialLimiter::new(0);
    let limits = DialLimits::default();
    let mut now = 0;
    let mut backoffs = Vec::new();
    for jitter in [0.0, 1.0, 0.0, 1.0, 0.0, 1.0, 0.0, 1.0] {
        limiter.record_rejected(now, jitter);
        backoffs.push((limiter.next_dial_at(limits, now) - now) / 1000);
        now = limiter.next_dial_at(limits, now);
    }
    assert_eq!(backoffs, [25, 100, 100, 400, 400, 1600, 1000, 2000]);
    limiter.record_accepted();
    limiter.record_accepted();
    limiter.record_rejected(now, 1.0);
    assert_eq!(limiter.next_dial_at(limits, now) - now, SECOND);
}

/// Guards against caution after a rejection that never ends, and against none.
#[rstest]
#[case(None, false)]
#[case(Some(20 * SECOND), true)]
#[case(Some(12 * SECOND), true)]
#[case(Some(10 * SECOND), false)]
fn a_rejection_counts_as_recent_for_ten_seconds(#[case] latest: Option<Micros>, #[case] expected: bool) {
    assert_eq!(rejected_recently(latest, 20 * SECOND), expected);
}
