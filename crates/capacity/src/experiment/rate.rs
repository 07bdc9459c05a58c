//! The cost of the decision logic by the request rate of one dispatcher, at the target number of workers.

use super::Experiment;
use super::interval::Interval;
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::{Site, TARGET_WORKERS};

/// How long each task runs.
const TASK_DURATION: i64 = SECOND / 2;
/// The warm-up before the measured interval, in seconds.
const WARM_UP_S: i64 = 10;
/// The measured interval, in seconds.
const INTERVAL_S: i64 = 30;

/// The experiment `rate`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "rate",
    description: "decision module: request rate of one dispatcher, tasks of half a second",
    size_label: "requests a second",
    sizes: &[1, 3, 10, 30, 100, 300],
    max_size: 1_000,
    simulate,
};

fn simulate(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let mut dispatcher = SimulatedDispatcher::with_endpoint_list(Site::target(TARGET_WORKERS), seed)?;
    dispatcher.start_load(Load::without_urgent(f64::from(size), TASK_DURATION));
    dispatcher.advance(WARM_UP_S * SECOND)?;
    let interval = Interval::measure(&mut dispatcher, INTERVAL_S)?;
    let counts = interval.counts;
    Ok(vec![
        Figure::timed("processor", "us/s", interval.processor_us_per_second()),
        Figure::counted("steps", "steps/s", interval.per_second(counts.steps)),
        Figure::counted("sends", "sends/s", interval.per_second(counts.sends)),
        Figure::counted("turned away", "requests/s", interval.per_second(counts.rejected)),
        Figure::counted("served", "requests/s", interval.per_second(counts.served)),
    ])
}
