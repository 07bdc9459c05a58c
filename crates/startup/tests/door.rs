//! The door, each rule by a case that fails without it.

use roselock_startup::door::{Door, Terms, wary};
use roselock_startup::pace::Micros;
use rstest::rstest;

const SECOND: Micros = 1_000_000;

/// Dials as soon as it may, for so long.
fn dials(door: &mut Door, terms: Terms, mut now: Micros, until: Micros) -> usize {
    let mut made = 0;
    while now < until && made < 10_000 {
        let opens = door.opens(terms, now);
        if opens <= now {
            door.dialled(terms, now);
            made += 1;
        }
        now = opens.max(now + 1);
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
    let made = dials(&mut Door::new(0), Terms::part_of(per_s, all), 0, 10 * SECOND);
    assert!(wanted.contains(&made), "{made}");
}

/// Guards against saving up: after an hour without a dial, no more than a second's part at once.
#[rstest]
fn an_idle_hour_saves_nothing_up() {
    let terms = Terms::part_of(Some(1_500.0), 300);
    let hour = 3_600 * SECOND;
    assert_eq!(dials(&mut Door::new(0), terms, hour, hour + 100), 5);
}

/// Guards against dials that go on at a full worker, and against all coming again in one instant: the pause doubles up
/// to 2 s, is drawn from its upper half, and halves once one is let in.
#[rstest]
fn who_is_turned_away_comes_again_more_slowly() {
    let (mut door, terms, mut now) = (Door::new(0), Terms::default(), 0);
    let mut pauses = Vec::new();
    for draw in [0.0, 1.0, 0.0, 1.0, 0.0, 1.0, 0.0, 1.0] {
        door.turned_away(now, draw);
        pauses.push((door.opens(terms, now) - now) / 1000);
        now = door.opens(terms, now);
    }
    assert_eq!(pauses, [25, 100, 100, 400, 400, 1600, 1000, 2000]);
    door.let_in();
    door.let_in();
    door.turned_away(now, 1.0);
    assert_eq!(door.opens(terms, now) - now, SECOND);
}

/// Guards against wariness that never ends, and against none.
#[rstest]
#[case(None, false)]
#[case(Some(20 * SECOND), true)]
#[case(Some(12 * SECOND), true)]
#[case(Some(10 * SECOND), false)]
fn wariness_lasts_for_a_while(#[case] latest: Option<Micros>, #[case] wanted: bool) {
    assert_eq!(wary(latest, 20 * SECOND), wanted);
}
