//! The experiments: what grows, by what.

mod accelerators;
mod batch;
mod calls;
mod cold;
mod cut;
mod list;
mod members;
mod rate;
mod running;
mod teams;
mod urgent;
mod workers;

use crate::error::CapacityError;
use crate::figure::Figure;

/// Sizes where workers are counted: to the target, and 5,000 as a look beyond.
const WORKERS: &[u32] = &[60, 300, 725, 1_450, 2_900, 5_000];
/// Most workers that can be asked for.
const MOST_WORKERS: u32 = 20_000;

/// Plays one size in simulated time.
pub struct Experiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it shows.
    pub about: &'static str,
    /// What a size counts.
    pub size_is: &'static str,
    /// The sizes where none are asked for.
    pub sizes: &'static [u32],
    /// The largest size that can be asked for.
    pub most: u32,
    /// Plays a size from a seed.
    pub play: fn(u32, u64) -> Result<Vec<Figure>, CapacityError>,
}

/// All experiments.
pub const ALL: &[Experiment] = &[
    workers::EXPERIMENT,
    cold::EXPERIMENT,
    cold::BY_RATE,
    accelerators::EXPERIMENT,
    rate::EXPERIMENT,
    running::EXPERIMENT,
    teams::EXPERIMENT,
    urgent::EXPERIMENT,
    list::EXPERIMENT,
    batch::EXPERIMENT,
    calls::COLD_START,
    calls::RETURN,
    members::EXPERIMENT,
    members::JOIN,
    cut::EXPERIMENT,
];

/// An experiment by its name.
pub fn find(name: &str) -> Option<&'static Experiment> {
    ALL.iter().find(|experiment| experiment.name == name)
}
