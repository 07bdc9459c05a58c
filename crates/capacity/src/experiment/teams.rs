//! The cost of the decision logic and of its settings by the number of teams with quotas.

use super::interval::Interval;
use super::{Experiment, slow_start};
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::meter::measure;
use crate::payloads;
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::{Site, TARGET_WORKERS};

/// One request per second; each task runs for 30 s.
const LOAD: Load = Load::without_urgent(1.0, 30 * SECOND);
/// The measured interval and the equally long warm-up before it, in seconds.
const INTERVAL_S: i64 = 60;
/// The number of measured settings updates.
const SETTINGS_UPDATES: u32 = 20;

/// The experiment `teams`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "teams",
    description: "decision module and settings: number of teams with quotas, 2,900 workers",
    size_label: "teams",
    sizes: &[8, 55, 110, 220, 440],
    max_size: 4_000,
    simulate,
};

fn simulate(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site { teams: size, ..Site::target(TARGET_WORKERS) };
    let mut dispatcher = SimulatedDispatcher::with_endpoint_list(site, seed)?;
    dispatcher.start_load(LOAD);
    dispatcher.advance(INTERVAL_S * SECOND)?;
    let interval = Interval::measure(&mut dispatcher, INTERVAL_S)?;
    let slow_start = slow_start::cost_after_start(Site { warming_up: true, ..site }, LOAD.per_second, seed)?;
    let settings_us = settings_update_us(&mut dispatcher, &site)?;
    let json_bytes = payloads::settings_json(size).len();
    let mut figures = vec![
        Figure::timed("one start a second", "us/s", interval.processor_us_per_second()),
        Figure::timed("new settings", "us", settings_us),
        Figure::counted("settings as JSON", "bytes", json_bytes as f64),
    ];
    figures.extend(slow_start.into_iter().take(1));
    Ok(figures)
}

/// The processor time of a settings update, in microseconds.
fn settings_update_us(dispatcher: &mut SimulatedDispatcher, site: &Site) -> Result<f64, CapacityError> {
    let settings = site.settings();
    let dispatcher = dispatcher.dispatcher();
    let (applied, usage) =
        measure(|| (0..SETTINGS_UPDATES).try_for_each(|_| dispatcher.update_settings(&settings)))?;
    applied?;
    Ok(usage.processor_us() / f64::from(SETTINGS_UPDATES))
}
