//! Tests of the dial limiter: each rule has a case that fails without it.

use roselock_dial_limiter::{DialLimiter, DialLimits, Micros, rejected_recently};
use rstest::rstest;

const SECOND: Micros = 1_000_000;

/// Dials as soon as the limiter allows, until `until`; returns the number of dials, at most 10000.
fn count_dials(limiter: &mut DialLimiter, limits: DialLimits, mut now: Micros, until: Micros) -> usize {
    let mut dials = 0;
    while now < until && dials < 10_000 {
        let next = limiter.next_dial_at(limits, now);
        if next <= now {
            limiter.record_dial(limits, now);
            dials += 1;
        }
        now = next.max(now + 1);
    }
    dials
}

/// Guards against too many dials, and against a starved dispatcher: it may open its share of the new connections, but at least
/// one every 2 s.
#[rstest]
#[case::equal_share(Some(600.0), 300, 10..=23)]
#[case::minimum_share(Some(20.0), 300, 5..=6)]
#[case::single_dispatcher(Some(3.0), 1, 30..=33)]
#[case::unlimited(None, 300, 10_000..=10_000)]
fn new_connections_stay_within_the_share(
    #[case] total_per_s: Option<f64>,
    #[case] dispatchers: u32,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let dials =
        count_dials(&mut DialLimiter::new(0), DialLimits::share_of(total_per_s, dispatchers), 0, 10 * SECOND);
    assert!(expected.contains(&dials), "{dials}");
}

/// Guards against accumulated tokens: after an hour without a dial, a burst is no larger than the share of one second.
#[rstest]
fn tokens_do_not_accumulate_beyond_one_second() {
    let limits = DialLimits::share_of(Some(1_500.0), 300);
    let hour = 3_600 * SECOND;
    assert_eq!(count_dials(&mut DialLimiter::new(0), limits, hour, hour + 100), 5);
}

/// Guards against continued dials to a worker without free connections, and against synchronized retries: the backoff doubles
/// up to 2 s, has jitter over its upper half, and halves when a connection is accepted.
#[rstest]
fn the_backoff_after_rejections_grows_and_has_jitter() {
    let mut limiter = DialLimiter::new(0);
    let limits = DialLimits::default();
    let mut now = 0;
    let mut backoffs_ms = Vec::new();
    for jitter in [0.0, 1.0, 0.0, 1.0, 0.0, 1.0, 0.0, 1.0] {
        limiter.record_rejected(now, jitter);
        backoffs_ms.push((limiter.next_dial_at(limits, now) - now) / 1000);
        now = limiter.next_dial_at(limits, now);
    }
    assert_eq!(backoffs_ms, [25, 100, 100, 400, 400, 1600, 1000, 2000]);
    limiter.record_accepted();
    limiter.record_accepted();
    limiter.record_rejected(now, 1.0);
    assert_eq!(limiter.next_dial_at(limits, now) - now, SECOND);
}

/// Guards against a rejection that counts as recent for ever, and against one that never does.
#[rstest]
#[case(None, false)]
#[case(Some(20 * SECOND), true)]
#[case(Some(12 * SECOND), true)]
#[case(Some(10 * SECOND), false)]
fn a_rejection_counts_as_recent_for_ten_seconds(#[case] latest: Option<Micros>, #[case] expected: bool) {
    assert_eq!(rejected_recently(latest, 20 * SECOND), expected);
}
