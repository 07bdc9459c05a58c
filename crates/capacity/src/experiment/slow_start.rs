//! The cost of the decision module by the number of workers that have all just started, as after a power cut.

use super::interval::Interval;
use super::{Experiment, MOST_WORKERS, WORKERS};
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::{Site, TARGET_WORKERS};

/// Requests per second at one dispatcher: its part of those of the target.
const PER_SECOND: f64 = 1.0;
/// How long each task runs.
const TASK_DURATION: i64 = SECOND / 2;
/// The measured interval from the start on, in seconds.
const INTERVAL_S: i64 = 10;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "cold-workers",
    about: "decision module: one request a second while all workers are cold",
    size_is: "workers, all just started",
    sizes: WORKERS,
    most: MOST_WORKERS,
    play,
};

/// The same by the request rate, at the target number of workers.
pub const BY_RATE: Experiment = Experiment {
    name: "cold-rate",
    about: "decision module: requests a second at one dispatcher while all 2,900 workers are cold",
    size_is: "requests a second",
    sizes: &[1, 2, 4, 8, 16],
    most: 100,
    play: |size, seed| {
        let site = Site { warming_up: true, ..Site::target(TARGET_WORKERS) };
        seconds_after_start(site, f64::from(size), seed)
    },
};

fn play(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    seconds_after_start(Site { warming_up: true, ..Site::target(size) }, PER_SECOND, seed)
}

/// The cost in the first seconds after an endpoint list of workers that have all just started.
///
/// # Errors
/// As [`SimulatedDispatcher::new`] and [`SimulatedDispatcher::advance`].
pub(super) fn seconds_after_start(
    site: Site,
    per_second: f64,
    seed: u64,
) -> Result<Vec<Figure>, CapacityError> {
    let mut dispatcher = SimulatedDispatcher::new(site, seed)?;
    dispatcher.step(&[])?;
    dispatcher.step(&[site.complete_list(dispatcher.now())])?;
    dispatcher.start_load(Load::plain(per_second, TASK_DURATION));
    let interval = Interval::measure(&mut dispatcher, INTERVAL_S)?;
    let counts = interval.counts;
    Ok(vec![
        Figure::timed("processor while cold", "us/s", interval.processor_us_per_second()),
        Figure::counted("steps", "steps/s", interval.per_second(counts.steps)),
        Figure::counted("requests", "requests/s", interval.per_second(counts.requests)),
        Figure::counted("sends", "sends/s", interval.per_second(counts.sends)),
    ])
}
