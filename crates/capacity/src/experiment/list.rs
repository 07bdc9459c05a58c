//! The bytes of the endpoint list and of a change of it, by the number of workers.

use super::{Experiment, MOST_WORKERS, WORKERS};
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::listing;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "list-bytes",
    about: "bytes of the list, of a change, and of the list as members pass it on",
    size_is: "workers",
    sizes: WORKERS,
    most: MOST_WORKERS,
    play,
};

fn play(size: u32, _seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let complete = listing::json_list(true, 0..size).len();
    let change = listing::json_list(false, size - 1..size).len();
    let frame = listing::peer_frame(size).len();
    Ok(vec![
        Figure::counted("whole list", "bytes", complete as f64),
        Figure::counted("change of one line", "bytes", change as f64),
        Figure::counted("whole list between members", "bytes", frame as f64),
    ])
}
