//! The cost of the decision logic by the number of workers that have all just started, as after a power cut.

use super::interval::Interval;
use super::{Experiment, MAX_WORKERS, WORKER_COUNTS};
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::{Site, TARGET_WORKERS};

/// The request rate of one dispatcher, which is its share of the target rate.
const REQUESTS_PER_SECOND: f64 = 1.0;
/// How long each task runs.
const TASK_DURATION: i64 = SECOND / 2;
/// The measured interval after the start, in seconds.
const INTERVAL_S: i64 = 10;

/// The experiment `cold-workers`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "cold-workers",
    description: "decision module: one request per second while all workers are in slow start",
    size_label: "workers, all just started",
    sizes: WORKER_COUNTS,
    max_size: MAX_WORKERS,
    simulate,
};

/// The experiment `cold-rate`: the same by the request rate, at the target number of workers.
pub const BY_RATE: Experiment = Experiment {
    name: "cold-rate",
    description: "decision module: request rate of one dispatcher while all 2,900 workers are in slow start",
    size_label: "requests a second",
    sizes: &[1, 2, 4, 8, 16],
    max_size: 100,
    simulate: |size, seed| {
        let site = Site { warming_up: true, ..Site::target(TARGET_WORKERS) };
        cost_after_start(site, f64::from(size), seed)
    },
};

fn simulate(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    cost_after_start(Site { warming_up: true, ..Site::target(size) }, REQUESTS_PER_SECOND, seed)
}

/// The cost in the first seconds after an endpoint list of workers that have all just started.
///
/// # Errors
/// As [`SimulatedDispatcher::new`] and [`SimulatedDispatcher::advance`].
pub(super) fn cost_after_start(site: Site, per_second: f64, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let mut dispatcher = SimulatedDispatcher::new(site, seed)?;
    dispatcher.step(&[])?;
    dispatcher.step(&[site.complete_list(dispatcher.now())])?;
    dispatcher.start_load(Load::without_urgent(per_second, TASK_DURATION));
    let interval = Interval::measure(&mut dispatcher, INTERVAL_S)?;
    let counts = interval.counts;
    Ok(vec![
        Figure::timed("processor while cold", "us/s", interval.processor_us_per_second()),
        Figure::counted("steps", "steps/s", interval.per_second(counts.steps)),
        Figure::counted("requests", "requests/s", interval.per_second(counts.requests)),
        Figure::counted("sends", "sends/s", interval.per_second(counts.sends)),
    ])
}
