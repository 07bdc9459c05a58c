//! The dial limiter, each rule by a case that fails without it.

use roselock_dial_limiter::{DialLimiter, DialLimits, Micros, rejected_recently};
use rstest::rstest;

const SECOND: Micros = 1_000_000;

/// Dials as soon as it may, for so long.
fn dials(limiter: &mut DialLimiter, limits: DialLimits, mut now: Micros, until: Micros) -> usize {
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

/// Guards against a crowd of dials, and against a dispatcher that starves: its part of what the fleet may open, at least
/// one every 2 s.
#[rstest]
#[case::a_part(Some(600.0), 300, 10..=23)]
#[case::the_floor(Some(20.0), 300, 5..=6)]
#[case::alone(Some(3.0), 1, 30..=33)]
#[case::unbounded(None, 300, 10_000..=10_000)]
fn new_connections_keep_to_the_part(
    #[case] per_s: Option<f64>,
    #[case] all: u32,
    #[case] wanted: std::ops::RangeInclusive<usize>,
) {
    let made = dials(&mut DialLimiter::new(0), DialLimits::share_of(per_s, all), 0, 10 * SECOND);
    assert!(wanted.contains(&made), "{made}");
}

/// Guards against saving up: after an hour without a dial, no more than a second's part at once.
#[rstest]
fn an_idle_hour_saves_nothing_up() {
    let limits = DialLimits::share_of(Some(1_500.0), 300);
    let hour = 3_600 * SECOND;
    assert_eq!(dials(&mut DialLimiter::new(0), limits, hour, hour + 100), 5);
}

/// Guards against dials that go on at a full worker, and against all coming again in one instant: the pause doubles up
/// to 2 s, is drawn from its upper half, and halves once one is accepted.
#[rstest]
fn a_rejected_dispatcher_dials_more_slowly() {
    let (mut limiter, limits, mut now) = (DialLimiter::new(0), DialLimits::default(), 0);
    let mut pauses = Vec::new();
    for draw in [0.0, 1.0, 0.0, 1.0, 0.0, 1.0, 0.0, 1.0] {
        limiter.record_rejected(now, draw);
        pauses.push((limiter.next_dial_at(limits, now) - now) / 1000);
        now = limiter.next_dial_at(limits, now);
    }
    assert_eq!(pauses, [25, 100, 100, 400, 400, 1600, 1000, 2000]);
    limiter.record_accepted();
    limiter.record_accepted();
    limiter.record_rejected(now, 1.0);
    assert_eq!(limiter.next_dial_at(limits, now) - now, SECOND);
}

/// Guards against caution that never ends, and against none.
#[rstest]
#[case(None, false)]
#[case(Some(20 * SECOND), true)]
#[case(Some(12 * SECOND), true)]
#[case(Some(10 * SECOND), false)]
fn caution_lasts_for_a_while(#[case] latest: Option<Micros>, #[case] wanted: bool) {
    assert_eq!(rejected_recently(latest, 20 * SECOND), wanted);
}
