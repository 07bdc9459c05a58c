//! What members of three regions that are cut off from each other give out of a cold worker's budget, by the length of the
//! cut (`crates/peers`, the count of members).

use super::Experiment;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::site::TARGET_DISPATCHERS;
use crate::{Micros, SECOND};
use roselock_peers::count::{Count, Fleet};

const REGIONS: u32 = 3;
/// The longest cut that an installation reckons with, where nothing is said.
const HEAL: Micros = 300 * SECOND;
/// All know all for so long before the cut.
const TOGETHER: Micros = 60 * SECOND;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "cut",
    about: "crates/peers: a cold worker's budget as given out by three regions of 100 members that are cut apart",
    size_is: "seconds of the cut",
    sizes: &[60, 240, 299, 301, 900, 3_600],
    most: 86_400,
    play,
};

fn play(seconds: u32, _seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let until = TOGETHER + Micros::from(seconds) * SECOND;
    let size = counted_in_a_region(until);
    // Each member gives out its part of a budget, and a worker may be reached from each region.
    let given = f64::from(TARGET_DISPATCHERS) / f64::from(size);
    Ok(vec![
        Figure::counted("members counted in a region", "members", f64::from(size)),
        Figure::counted("budget given out, of one", "budgets", given),
    ])
}

fn name(member: u32) -> String {
    format!("dispatcher-{member:04}")
}

/// How many members one of the first region counts.
fn counted_in_a_region(until: Micros) -> u32 {
    let told = Fleet { size: TARGET_DISPATCHERS, me: 0 };
    let mut count = Count::new(&name(0), told, HEAL, 0);
    (1..TARGET_DISPATCHERS).for_each(|member| count.up(&name(member), SECOND));
    count.fleet(TOGETHER, true);
    let beyond = TARGET_DISPATCHERS / REGIONS..TARGET_DISPATCHERS;
    beyond.for_each(|member| count.lost(&name(member), TOGETHER));
    count.fleet(until, false).size
}
