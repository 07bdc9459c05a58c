//! The cost of a change of many workers at once, as when a rack, a zone or a region fails, at the target number of workers.

use super::Experiment;
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::payloads;
use crate::simulated_dispatcher::SimulatedDispatcher;
use crate::site::{Site, TARGET_WORKERS};
use roselock::EndpointState;

/// The number of state changes of the workers, alternately to draining and to ready.
const STATE_CHANGES: u32 = 10;

/// The experiment `batch`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "batch",
    description: "decision module and bytes: workers in one change of the endpoint list, 2,900 workers",
    size_label: "lines changed at once",
    sizes: &[1, 40, 145, 290, 967, 2_900],
    max_size: TARGET_WORKERS,
    simulate,
};

fn simulate(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site::target(TARGET_WORKERS);
    let mut dispatcher = SimulatedDispatcher::with_endpoint_list(site, seed)?;
    let mut processor = 0.0;
    for change in 0..STATE_CHANGES {
        dispatcher.advance(SECOND)?;
        let state = if change % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
        processor += dispatcher.step(&[site.changes(0..size, state)])?.processor_us();
    }
    let bytes = payloads::endpoint_list_json(false, 0..size).len();
    Ok(vec![
        Figure::timed("change", "us", processor / f64::from(STATE_CHANGES)),
        Figure::counted("change as JSON", "bytes", bytes as f64),
    ])
}
