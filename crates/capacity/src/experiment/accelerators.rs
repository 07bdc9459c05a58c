//! The decision module by the accelerators of one worker, at the target's number of workers.

use super::Experiment;
use crate::SECOND;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::hollow::{Hollow, Load};
use crate::meter::measure;
use crate::site::{Site, TARGET_WORKERS};

const LOAD: Load = Load::plain(1.0, 30 * SECOND);
const SPAN: i64 = 60;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "accelerators",
    about: "decision module: 2,900 workers with ever more accelerators each",
    size_is: "accelerators of a worker",
    sizes: &[1, 2, 4, 8, 16],
    most: 64,
    play,
};

fn play(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site { accelerators: size, ..Site::target(TARGET_WORKERS) };
    let (hollow, held) = measure(|| Hollow::listed(site, seed))?;
    let mut hollow = hollow?;
    hollow.set_load(LOAD);
    hollow.pass(SPAN * SECOND)?;
    let before = hollow.counts().spent;
    hollow.pass(SPAN * SECOND)?;
    let spent = hollow.counts().spent.processor - before.processor;
    Ok(vec![
        Figure::counted("memory held", "bytes", held.bytes_kept as f64),
        Figure::timed("one start a second", "us/s", spent.as_secs_f64() * 1e6 / SPAN as f64),
    ])
}
