//! The cost of the decision module and of its settings by the number of teams with quotas.

use super::interval::Interval;
use super::{Experiment, slow_start};
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::listing;
use crate::meter::measure;
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::{Site, TARGET_WORKERS};

/// One request per second; each task runs for 30 s.
const LOAD: Load = Load::plain(1.0, 30 * SECOND);
/// The measured interval and the equally long warm-up before it, in seconds.
const INTERVAL_S: i64 = 60;
/// How often new settings are applied in the measurement.
const SETTINGS_UPDATES: u32 = 20;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "teams",
    about: "decision module and settings: teams with quotas, 2,900 workers",
    size_is: "teams",
    sizes: &[8, 55, 110, 220, 440],
    most: 4_000,
    play,
};

fn play(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site { teams: size, ..Site::target(TARGET_WORKERS) };
    let mut dispatcher = SimulatedDispatcher::with_endpoint_list(site, seed)?;
    dispatcher.start_load(LOAD);
    dispatcher.advance(INTERVAL_S * SECOND)?;
    let interval = Interval::measure(&mut dispatcher, INTERVAL_S)?;
    let slow_start =
        slow_start::seconds_after_start(Site { warming_up: true, ..site }, LOAD.per_second, seed)?;
    let settings_us = new_settings_us(&mut dispatcher, &site)?;
    let json_bytes = listing::json_settings(size).len();
    let mut figures = vec![
        Figure::timed("one start a second", "us/s", interval.processor_us_per_second()),
        Figure::timed("new settings", "us", settings_us),
        Figure::counted("settings as JSON", "bytes", json_bytes as f64),
    ];
    figures.extend(slow_start.into_iter().take(1));
    Ok(figures)
}

/// Processor time of applying new settings, in microseconds.
fn new_settings_us(dispatcher: &mut SimulatedDispatcher, site: &Site) -> Result<f64, CapacityError> {
    let settings = site.settings();
    let dispatcher = dispatcher.dispatcher();
    let (applied, usage) =
        measure(|| (0..SETTINGS_UPDATES).try_for_each(|_| dispatcher.update_settings(&settings)))?;
    applied?;
    Ok(usage.processor_us() / f64::from(SETTINGS_UPDATES))
}
