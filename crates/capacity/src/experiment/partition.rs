//! The slow-start budget of a worker that members in three partitioned regions use in total, as a multiple of one budget, by
//! the duration of the partition (member count of `crates/peers`).

use super::Experiment;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::site::TARGET_DISPATCHERS;
use crate::{Micros, SECOND};
use roselock_peers::member_count::{Fleet, MemberCount};

/// The number of regions that the partition separates.
const REGION_COUNT: u32 = 3;
/// The default of the longest partition during which unreachable members still count as alive.
const LONGEST_PARTITION: Micros = 300 * SECOND;
/// The time before the partition, in which all members are connected.
const CONNECTED_DURATION: Micros = 60 * SECOND;

/// The experiment `cut`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "cut",
    description: "crates/peers: slow-start budget that three partitioned regions of 100 members use for one worker",
    size_label: "seconds of the cut",
    sizes: &[60, 240, 299, 301, 900, 3_600],
    max_size: 86_400,
    simulate,
};

fn simulate(seconds: u32, _seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let end = CONNECTED_DURATION + Micros::from(seconds) * SECOND;
    let size = members_counted_per_region(end);
    // Each member uses its share of the budget, and each region may reach the worker.
    let budgets = f64::from(TARGET_DISPATCHERS) / f64::from(size);
    Ok(vec![
        Figure::counted("members counted in a region", "members", f64::from(size)),
        Figure::counted("budget given out, of one", "budgets", budgets),
    ])
}

fn member_name(member: u32) -> String {
    format!("dispatcher-{member:04}")
}

/// The number of members that a member of the first region counts.
fn members_counted_per_region(end: Micros) -> u32 {
    let configured = Fleet { size: TARGET_DISPATCHERS, index: 0 };
    let mut count = MemberCount::new(&member_name(0), configured, LONGEST_PARTITION, 0);
    for member in 1..TARGET_DISPATCHERS {
        count.member_up(&member_name(member), SECOND);
    }
    count.fleet(CONNECTED_DURATION, true);
    for member in TARGET_DISPATCHERS / REGION_COUNT..TARGET_DISPATCHERS {
        count.member_lost(&member_name(member), CONNECTED_DURATION);
    }
    count.fleet(end, false).size
}
