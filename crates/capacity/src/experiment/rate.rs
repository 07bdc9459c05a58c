//! The decision module by the requests a second that one dispatcher takes, at the target's number of workers.

use super::Experiment;
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::hollow::{Hollow, Load};
use crate::site::{Site, TARGET_WORKERS};

const RUN: i64 = SECOND / 2;
const BEGINNING: i64 = 10;
const SPAN: i64 = 30;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "rate",
    about: "decision module: requests a second at one dispatcher, tasks of half a second",
    size_is: "requests a second",
    sizes: &[1, 3, 10, 30, 100, 300],
    most: 1_000,
    play,
};

fn play(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let mut hollow = Hollow::listed(Site::target(TARGET_WORKERS), seed)?;
    hollow.set_load(Load::plain(f64::from(size), RUN));
    hollow.pass(BEGINNING * SECOND)?;
    let before = hollow.counts();
    hollow.pass(SPAN * SECOND)?;
    let after = hollow.counts();
    let spent = after.spent.processor - before.spent.processor;
    let each_second = |count: u64| count as f64 / SPAN as f64;
    Ok(vec![
        Figure::timed("processor", "us/s", spent.as_secs_f64() * 1e6 / SPAN as f64),
        Figure::counted("steps", "steps/s", each_second(after.steps - before.steps)),
        Figure::counted("sends", "sends/s", each_second(after.sends - before.sends)),
        Figure::counted("turned away", "requests/s", each_second(after.turned_away - before.turned_away)),
        Figure::counted("served", "requests/s", each_second(after.served - before.served)),
    ])
}
