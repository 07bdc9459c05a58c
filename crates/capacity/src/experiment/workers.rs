//! The cost of the decision module by the number of workers: memory, idle time, changes of the endpoint list, requests.

use super::interval::Interval;
use super::{Experiment, MOST_WORKERS, WORKERS};
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::meter::{ResourceUsage, measure};
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::Site;
use roselock::EndpointState;

/// Measured changes of the endpoint list.
const CHANGES: u32 = 100;
/// Measured complete lists.
const COMPLETE_LISTS: u32 = 10;
/// One request per second; each task runs for 30 s.
const LOAD: Load = Load::plain(1.0, 30 * SECOND);
/// The measured interval with that load and the equally long warm-up before it, in seconds.
const INTERVAL_S: i64 = 60;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "workers",
    about: "decision module: memory, idle time, changes of the list, one request a second",
    size_is: "workers",
    sizes: WORKERS,
    most: MOST_WORKERS,
    play,
};

fn play(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site::target(size);
    let (dispatcher, usage) = measure(|| SimulatedDispatcher::with_endpoint_list(site, seed))?;
    let mut dispatcher = dispatcher?;
    let idle = idle_actions(&mut dispatcher)?;
    let change = changes(&mut dispatcher, &site)?;
    let complete = complete_lists(&mut dispatcher, &site)?;
    dispatcher.start_load(LOAD);
    dispatcher.advance(INTERVAL_S * SECOND)?;
    let loaded = Interval::measure(&mut dispatcher, INTERVAL_S)?;
    Ok(vec![
        Figure::counted("memory held", "bytes", usage.bytes_retained as f64),
        Figure::counted("actions in an idle minute", "actions", idle as f64),
        Figure::timed("change of one line", "us", change.processor_us() / f64::from(CHANGES)),
        Figure::counted(
            "allocations of a change",
            "allocations",
            change.allocations as f64 / f64::from(CHANGES),
        ),
        Figure::timed("whole list again", "us", complete.processor_us() / f64::from(COMPLETE_LISTS)),
        Figure::timed("one start a second", "us/s", loaded.processor_us_per_second()),
        Figure::counted(
            "allocations at one start a second",
            "allocations/s",
            loaded.per_second(loaded.counts.usage.allocations),
        ),
    ])
}

fn idle_actions(dispatcher: &mut SimulatedDispatcher) -> Result<u64, CapacityError> {
    let before = dispatcher.counts().actions;
    dispatcher.advance(60 * SECOND)?;
    Ok(dispatcher.counts().actions - before)
}

/// Every second one worker begins to drain or becomes ready again.
fn changes(dispatcher: &mut SimulatedDispatcher, site: &Site) -> Result<ResourceUsage, CapacityError> {
    let mut usage = ResourceUsage::default();
    for change in 0..CHANGES {
        dispatcher.advance(SECOND)?;
        let state = if change % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
        usage += dispatcher.step(&[site.change(change / 2 % site.workers, state)])?;
    }
    Ok(usage)
}

fn complete_lists(dispatcher: &mut SimulatedDispatcher, site: &Site) -> Result<ResourceUsage, CapacityError> {
    let mut usage = ResourceUsage::default();
    for _ in 0..COMPLETE_LISTS {
        dispatcher.advance(SECOND)?;
        usage += dispatcher.step(&[site.complete_list(0)])?;
    }
    Ok(usage)
}
