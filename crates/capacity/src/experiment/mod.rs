//! The experiments, each of which measures how a cost scales with one parameter of the installation, its size.

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

/// The default numbers of workers: up to the target of 2,900, and 5,000 beyond it.
const WORKER_COUNTS: &[u32] = &[60, 300, 725, 1_450, 2_900, 5_000];
/// The largest number of workers that can be requested.
const MAX_WORKERS: u32 = 20_000;

/// An experiment, which simulates one size at a time.
pub struct Experiment {
    /// The name on the command line.
    pub name: &'static str,
    /// What the experiment measures.
    pub description: &'static str,
    /// What a size counts.
    pub size_label: &'static str,
    /// The default sizes.
    pub sizes: &'static [u32],
    /// The largest size that can be requested.
    pub max_size: u32,
    /// Simulates a size with a seed; returns the measured figures.
    pub simulate: fn(u32, u64) -> Result<Vec<Figure>, CapacityError>,
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
    discovery_load::WATCHES_END,
    members::EXPERIMENT,
    members::BY_WORKERS,
    partition::EXPERIMENT,
];

/// An experiment by its name.
pub fn find(name: &str) -> Option<&'static Experiment> {
    ALL.iter().find(|experiment| experiment.name == name)
}
