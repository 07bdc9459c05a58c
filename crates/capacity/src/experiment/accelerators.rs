//! The cost of the decision logic by the number of accelerators per worker, at the target number of workers.

use super::Experiment;
use super::interval::Interval;
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::meter::measure;
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::{Site, TARGET_WORKERS};

/// One request per second; each task runs for 30 s.
const LOAD: Load = Load::without_urgent(1.0, 30 * SECOND);
/// The measured interval and the equally long warm-up before it, in seconds.
const INTERVAL_S: i64 = 60;

/// The experiment `accelerators`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "accelerators",
    description: "decision module: number of accelerators per worker, 2,900 workers",
    size_label: "accelerators of a worker",
    sizes: &[1, 2, 4, 8, 16],
    max_size: 64,
    simulate,
};

fn simulate(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site { accelerators: size, ..Site::target(TARGET_WORKERS) };
    let (dispatcher, usage) = measure(|| SimulatedDispatcher::with_endpoint_list(site, seed))?;
    let mut dispatcher = dispatcher?;
    dispatcher.start_load(LOAD);
    dispatcher.advance(INTERVAL_S * SECOND)?;
    let interval = Interval::measure(&mut dispatcher, INTERVAL_S)?;
    Ok(vec![
        Figure::counted("memory held", "bytes", usage.bytes_retained as f64),
        Figure::timed("one start a second", "us/s", interval.processor_us_per_second()),
    ])
}
