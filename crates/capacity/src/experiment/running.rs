//! The cost of the decision logic by the number of running tasks of one dispatcher, each of which reports its progress every
//! second.

use super::Experiment;
use super::interval::Interval;
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::{Site, TARGET_WORKERS};

/// The expected time until the requested number of tasks have arrived, in seconds.
const ARRIVAL_INTERVAL_S: i64 = 20;
/// How long each task runs; none ends within the measured interval.
const TASK_DURATION: i64 = 120 * SECOND;
/// The time from the last request to the measured interval, in seconds.
const SETTLE_INTERVAL_S: i64 = 10;
/// The measured interval, in seconds.
const INTERVAL_S: i64 = 20;

/// The experiment `running`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "running",
    description: "decision module: running tasks of one dispatcher without new requests",
    size_label: "running tasks",
    sizes: &[9, 30, 100, 300, 600],
    max_size: 9_100,
    simulate,
};

fn simulate(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site { accelerators: 8, ..Site::target(TARGET_WORKERS) };
    let mut dispatcher = SimulatedDispatcher::with_endpoint_list(site, seed)?;
    let retained_before = dispatcher.counts().usage.bytes_retained;
    // Arrival times are random, so the load ends as soon as enough attempts are in flight.
    dispatcher.start_load(Load::without_urgent(f64::from(size) / ARRIVAL_INTERVAL_S as f64, TASK_DURATION));
    for _ in 0..4 * ARRIVAL_INTERVAL_S * 10 {
        dispatcher.advance(SECOND / 10)?;
        if dispatcher.attempts_in_flight() >= size as usize {
            break;
        }
    }
    if dispatcher.attempts_in_flight() < size as usize {
        return Err(CapacityError::StateNotReached {
            state: "the requested number of running tasks",
            at: dispatcher.now(),
        });
    }
    dispatcher.end_load();
    dispatcher.advance(SETTLE_INTERVAL_S * SECOND)?;
    let retained = dispatcher.counts().usage.bytes_retained - retained_before;
    let in_flight = dispatcher.attempts_in_flight() as f64;
    let interval = Interval::measure(&mut dispatcher, INTERVAL_S)?;
    Ok(vec![
        Figure::timed("processor", "us/s", interval.processor_us_per_second()),
        Figure::counted("steps", "steps/s", interval.per_second(interval.counts.steps)),
        Figure::counted("timers", "timers/s", interval.per_second(interval.counts.timers)),
        Figure::counted("tasks out", "tasks", in_flight),
        Figure::counted("memory held for tasks", "bytes", retained as f64),
    ])
}
