//! The cost of the decision logic by the number of workers: memory, idle operation, changes of the endpoint list, requests.

use super::interval::Interval;
use super::{Experiment, MAX_WORKERS, WORKER_COUNTS};
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::meter::{ResourceUsage, measure};
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::Site;
use roselock::EndpointState;

/// The number of measured changes of the endpoint list.
const MEASURED_CHANGES: u32 = 100;
/// The number of measured complete lists.
const MEASURED_COMPLETE_LISTS: u32 = 10;
/// One request per second; each task runs for 30 s.
const LOAD: Load = Load::without_urgent(1.0, 30 * SECOND);
/// The measured interval with that load and the equally long warm-up before it, in seconds.
const INTERVAL_S: i64 = 60;

/// The experiment `workers`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "workers",
    description: "decision module: memory, idle operation, changes of the list, one request per second",
    size_label: "workers",
    sizes: WORKER_COUNTS,
    max_size: MAX_WORKERS,
    simulate,
};

fn simulate(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site::target(size);
    let (dispatcher, usage) = measure(|| SimulatedDispatcher::with_endpoint_list(site, seed))?;
    let mut dispatcher = dispatcher?;
    let idle = count_idle_actions(&mut dispatcher)?;
    let change = measure_changes(&mut dispatcher, &site)?;
    let complete = measure_complete_lists(&mut dispatcher, &site)?;
    dispatcher.start_load(LOAD);
    dispatcher.advance(INTERVAL_S * SECOND)?;
    let loaded = Interval::measure(&mut dispatcher, INTERVAL_S)?;
    Ok(vec![
        Figure::counted("memory held", "bytes", usage.bytes_retained as f64),
        Figure::counted("actions in an idle minute", "actions", idle as f64),
        Figure::timed("change of one line", "us", change.processor_us() / f64::from(MEASURED_CHANGES)),
        Figure::counted(
            "allocations of a change",
            "allocations",
            change.allocations as f64 / f64::from(MEASURED_CHANGES),
        ),
        Figure::timed("whole list again", "us", complete.processor_us() / f64::from(MEASURED_COMPLETE_LISTS)),
        Figure::timed("one start a second", "us/s", loaded.processor_us_per_second()),
        Figure::counted(
            "allocations at one start a second",
            "allocations/s",
            loaded.per_second(loaded.counts.usage.allocations),
        ),
    ])
}

fn count_idle_actions(dispatcher: &mut SimulatedDispatcher) -> Result<u64, CapacityError> {
    let before = dispatcher.counts().actions;
    dispatcher.advance(60 * SECOND)?;
    Ok(dispatcher.counts().actions - before)
}

/// Measures changes of one worker per second, alternately to draining and to ready.
fn measure_changes(
    dispatcher: &mut SimulatedDispatcher,
    site: &Site,
) -> Result<ResourceUsage, CapacityError> {
    let mut usage = ResourceUsage::default();
    for change in 0..MEASURED_CHANGES {
        dispatcher.advance(SECOND)?;
        let state = if change % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
        usage += dispatcher.step(&[site.change(change / 2 % site.workers, state)])?;
    }
    Ok(usage)
}

fn measure_complete_lists(
    dispatcher: &mut SimulatedDispatcher,
    site: &Site,
) -> Result<ResourceUsage, CapacityError> {
    let mut usage = ResourceUsage::default();
    for _ in 0..MEASURED_COMPLETE_LISTS {
        dispatcher.advance(SECOND)?;
        usage += dispatcher.step(&[site.complete_list(0)])?;
    }
    Ok(usage)
}
