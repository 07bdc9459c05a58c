//! The cost of a change of many workers at once, as when a rack, a zone or a region fails, at the target number of workers.

use super::Experiment;
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::listing;
use crate::simulated_dispatcher::SimulatedDispatcher;
use crate::site::{Site, TARGET_WORKERS};
use roselock::EndpointState;

/// How often the workers change their state: they drain and become ready again in turn.
const CHANGES: u32 = 10;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "batch",
    about: "decision module and bytes: lines that change at once, 2,900 workers",
    size_is: "lines changed at once",
    sizes: &[1, 40, 145, 290, 967, 2_900],
    most: TARGET_WORKERS,
    play,
};

fn play(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site::target(TARGET_WORKERS);
    let mut dispatcher = SimulatedDispatcher::with_endpoint_list(site, seed)?;
    let mut processor = 0.0;
    for time in 0..CHANGES {
        dispatcher.advance(SECOND)?;
        let state = if time % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
        processor += dispatcher.step(&[site.changes(0..size, state)])?.processor_us();
    }
    let bytes = listing::json_list(false, 0..size).len();
    Ok(vec![
        Figure::timed("change", "us", processor / f64::from(CHANGES)),
        Figure::counted("change as JSON", "bytes", bytes as f64),
    ])
}
