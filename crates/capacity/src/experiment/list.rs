//! The size of the endpoint list and of one change by the number of workers.

use super::{Experiment, MAX_WORKERS, WORKER_COUNTS};
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::payloads;

/// The experiment `list-bytes`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "list-bytes",
    description: "size of the endpoint list, of one change, and of the list as members exchange it",
    size_label: "workers",
    sizes: WORKER_COUNTS,
    max_size: MAX_WORKERS,
    simulate,
};

fn simulate(size: u32, _seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let complete = payloads::endpoint_list_json(true, 0..size).len();
    let change = payloads::endpoint_list_json(false, size - 1..size).len();
    let frame = payloads::peer_list_frame(size).len();
    Ok(vec![
        Figure::counted("whole list", "bytes", complete as f64),
        Figure::counted("change of one line", "bytes", change as f64),
        Figure::counted("whole list between members", "bytes", frame as f64),
    ])
}
