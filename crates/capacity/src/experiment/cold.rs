//! The decision module by the number of workers that have all just started, as after a power cut.

use super::{Experiment, MOST_WORKERS, WORKERS};
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::hollow::{Hollow, Load};
use crate::site::{Site, TARGET_WORKERS};

/// Each dispatcher's part of the target's starts a second, and how long a task runs.
const PER_SECOND: f64 = 1.0;
const RUN: i64 = SECOND / 2;
/// The cold seconds that are measured.
const SPAN: i64 = 10;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "cold-workers",
    about: "decision module: one request a second while all workers are cold",
    size_is: "workers, all just started",
    sizes: WORKERS,
    most: MOST_WORKERS,
    play,
};

/// By the requests a second.
pub const BY_RATE: Experiment = Experiment {
    name: "cold-rate",
    about: "decision module: requests a second at one dispatcher while all 2,900 workers are cold",
    size_is: "requests a second",
    sizes: &[1, 2, 4, 8, 16],
    most: 100,
    play: |size, seed| {
        let site = Site { cold: true, ..Site::target(TARGET_WORKERS) };
        seconds_after_start(site, f64::from(size), seed)
    },
};

fn play(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    seconds_after_start(Site { cold: true, ..Site::target(size) }, PER_SECOND, seed)
}

/// The first seconds after a list of workers that have just started.
pub(super) fn seconds_after_start(
    site: Site,
    per_second: f64,
    seed: u64,
) -> Result<Vec<Figure>, CapacityError> {
    let mut hollow = Hollow::new(site, seed)?;
    hollow.give(&[])?;
    hollow.give(&[site.whole_list(hollow.now())])?;
    let before = hollow.counts();
    hollow.set_load(Load::plain(per_second, RUN));
    hollow.pass(SPAN * SECOND)?;
    let after = hollow.counts();
    let spent = after.spent.processor - before.spent.processor;
    let each_second = |count: u64| count as f64 / SPAN as f64;
    Ok(vec![
        Figure::timed("processor while cold", "us/s", spent.as_secs_f64() * 1e6 / SPAN as f64),
        Figure::counted("steps", "steps/s", each_second(after.steps - before.steps)),
        Figure::counted("requests", "requests/s", each_second(after.requests - before.requests)),
        Figure::counted("sends", "sends/s", each_second(after.sends - before.sends)),
    ])
}
