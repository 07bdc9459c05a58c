//! The list service by the number of dispatchers: all start at once, and all watches break at once.

use super::Experiment;
use crate::SECOND;
use crate::figure::Figure;
use crate::listing;
use crate::service::{Occasion, Service};
use crate::site::TARGET_WORKERS;

/// What a call takes the service beside its bytes, and its link of 1 Gbit/s.
const CALL: i64 = SECOND / 200;
const LINK: u64 = 125_000_000;
/// Lines that changed while watches were broken for an hour: 450 workers a day go and come back.
const CHANGED: u32 = 2 * 450 / 24;
const SIZES: &[u32] = &[50, 100, 200, 300, 600, 1_000];
const MOST: u32 = 4_000;

/// All dispatchers start, each fetches the whole list.
pub const COLD_START: Experiment = Experiment {
    name: "cold-start",
    about: "list service: all dispatchers start at once, each fetches the list of 2,900 workers",
    size_is: "dispatchers",
    sizes: SIZES,
    most: MOST,
    play: |size, seed| Ok(play(Occasion::Start, size, whole_list(), seed)),
};

/// All watches break, each resumes by version.
pub const RETURN: Experiment = Experiment {
    name: "watches-break",
    about: "list service: all watches break at once, each resumes by version after an hour's changes",
    size_is: "dispatchers",
    sizes: SIZES,
    most: MOST,
    play: |size, seed| Ok(play(Occasion::WatchesBreak, size, changes(), seed)),
};

fn whole_list() -> u64 {
    listing::json_list(true, 0..TARGET_WORKERS).len() as u64
}

fn changes() -> u64 {
    listing::json_list(false, 0..CHANGED).len() as u64
}

fn play(occasion: Occasion, dispatchers: u32, bytes: u64, seed: u64) -> Vec<Figure> {
    let service = Service { dispatchers, call: CALL, bytes, bytes_per_second: LINK };
    let calls = service.play(occasion, seed);
    let seconds = |share| calls.answered_by(share) as f64 / SECOND as f64;
    vec![
        Figure::counted("calls", "calls", calls.made as f64),
        Figure::counted("failed calls", "calls", calls.failed as f64),
        Figure::counted("longest queue", "calls", calls.longest_queue as f64),
        Figure::counted("answered p50", "s", seconds(0.5)),
        Figure::counted("answered p99", "s", seconds(0.99)),
        Figure::counted("answered last", "s", seconds(1.0)),
        Figure::counted("bytes of all answers", "bytes", calls.bytes() as f64),
        Figure::counted("bytes in the fullest second", "bytes/s", calls.bytes_in_fullest_second() as f64),
    ]
}
