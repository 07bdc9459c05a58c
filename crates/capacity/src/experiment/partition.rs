//! The share of a worker's slow-start budget that members in three partitioned regions use in total, by the duration of the
//! partition (`crates/peers`, the count of members).

use super::Experiment;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::site::TARGET_DISPATCHERS;
use crate::{Micros, SECOND};
use roselock_peers::member_count::{Fleet, MemberCount};

/// Regions, which the partition separates.
const REGIONS: u32 = 3;
/// The default of the longest partition after which members still count as alive.
const LONGEST_PARTITION: Micros = 300 * SECOND;
/// How long all members are connected before the partition.
const CONNECTED: Micros = 60 * SECOND;

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
    let end = CONNECTED + Micros::from(seconds) * SECOND;
    let size = counted_in_a_region(end);
    // Each member uses its share of the budget, and a worker may be reached from each region.
    let budgets = f64::from(TARGET_DISPATCHERS) / f64::from(size);
    Ok(vec![
        Figure::counted("members counted in a region", "members", f64::from(size)),
        Figure::counted("budget given out, of one", "budgets", budgets),
    ])
}

fn name(member: u32) -> String {
    format!("dispatcher-{member:04}")
}

/// How many members a member of the first region counts.
fn counted_in_a_region(end: Micros) -> u32 {
    let configured = Fleet { size: TARGET_DISPATCHERS, me: 0 };
    let mut count = MemberCount::new(&name(0), configured, LONGEST_PARTITION, 0);
    for member in 1..TARGET_DISPATCHERS {
        count.member_up(&name(member), SECOND);
    }
    count.fleet(CONNECTED, true);
    for member in TARGET_DISPATCHERS / REGIONS..TARGET_DISPATCHERS {
        count.member_lost(&name(member), CONNECTED);
    }
    count.fleet(end, false).size
}
