//! The experiments: each measures how the cost grows with one kind of size.

mod accelerators;
mod batch;
mod discovery_load;
mod interval;
mod list;
mod members;
mod partition;
mod rate;
mod running;
mod slow_start;
mod teams;
mod urgent;
mod workers;

use crate::error::CapacityError;
use crate::figure::Figure;

/// Sizes of experiments by the number of workers: up to the target of 2,900, and 5,000 beyond it.
const WORKERS: &[u32] = &[60, 300, 725, 1_450, 2_900, 5_000];
/// The largest number of workers that can be requested.
const MOST_WORKERS: u32 = 20_000;

/// An experiment: it plays one size at a time in simulated time.
pub struct Experiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it shows.
    pub about: &'static str,
    /// What a size counts.
    pub size_is: &'static str,
    /// The default sizes.
    pub sizes: &'static [u32],
    /// The largest size that can be requested.
    pub most: u32,
    /// Plays one size with a seed.
    pub play: fn(u32, u64) -> Result<Vec<Figure>, CapacityError>,
}

/// All experiments.
pub const ALL: &[Experiment] = &[
    workers::EXPERIMENT,
    slow_start::EXPERIMENT,
    slow_start::BY_RATE,
    accelerators::EXPERIMENT,
    rate::EXPERIMENT,
    running::EXPERIMENT,
    teams::EXPERIMENT,
    urgent::EXPERIMENT,
    list::EXPERIMENT,
    batch::EXPERIMENT,
    discovery_load::COLD_START,
    discovery_load::WATCHES_BREAK,
    members::EXPERIMENT,
    members::JOIN,
    partition::EXPERIMENT,
];

/// An experiment by its name.
pub fn find(name: &str) -> Option<&'static Experiment> {
    ALL.iter().find(|experiment| experiment.name == name)
}
