//! The decision module by the tasks that run for one dispatcher, each with a word of its progress a second.

use super::Experiment;
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::hollow::{Hollow, Load};
use crate::site::{Site, TARGET_WORKERS};

/// Requests come for so long, and run so long that none ends while it is measured.
const ARRIVAL: i64 = 20;
const RUN: i64 = 120 * SECOND;
/// From the last request to the span that is measured, and the span.
const PAUSE: i64 = 10;
const SPAN: i64 = 20;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "running",
    about: "decision module: tasks that run for one dispatcher while nothing else happens",
    size_is: "running tasks",
    sizes: &[9, 30, 100, 300, 600],
    most: 9_100,
    play,
};

fn play(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site { accelerators: 8, ..Site::target(TARGET_WORKERS) };
    let mut hollow = Hollow::listed(site, seed)?;
    let empty = hollow.counts().spent.bytes_kept;
    // A little more than the size, as arrivals are drawn; the load ends when as many are out.
    hollow.set_load(Load::plain(f64::from(size) / ARRIVAL as f64, RUN));
    let patience = 4 * ARRIVAL;
    for _ in 0..patience * 10 {
        hollow.pass(SECOND / 10)?;
        if hollow.attempts_out() >= size as usize {
            break;
        }
    }
    if hollow.attempts_out() < size as usize {
        return Err(CapacityError::NotReached { state: "as many running tasks", by: hollow.now() });
    }
    hollow.end_load();
    hollow.pass(PAUSE * SECOND)?;
    let (before, out) = (hollow.counts(), hollow.attempts_out() as f64);
    hollow.pass(SPAN * SECOND)?;
    let after = hollow.counts();
    let spent = after.spent.processor - before.spent.processor;
    let each_second = |count: u64| count as f64 / SPAN as f64;
    Ok(vec![
        Figure::timed("processor", "us/s", spent.as_secs_f64() * 1e6 / SPAN as f64),
        Figure::counted("steps", "steps/s", each_second(after.steps - before.steps)),
        Figure::counted("timers", "timers/s", each_second(after.timers - before.timers)),
        Figure::counted("tasks out", "tasks", out),
        Figure::counted("memory held for tasks", "bytes", (before.spent.bytes_kept - empty) as f64),
    ])
}
