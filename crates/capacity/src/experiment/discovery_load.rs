//! The load of the discovery service by the number of dispatchers: all start at once, and all watches break at once.

use super::Experiment;
use crate::SECOND;
use crate::discovery_service::{DiscoveryService, Scenario};
use crate::figure::Figure;
use crate::listing;
use crate::site::TARGET_WORKERS;

/// The time that a call takes at the service without the transfer of its bytes.
const CALL_DURATION: i64 = SECOND / 200;
/// Bandwidth of the service: 1 Gbit/s.
const LINK_BYTES_PER_S: u64 = 125_000_000;
/// Workers that changed in the hour in which the watches were broken: 450 workers a day leave and return.
const CHANGED_WORKERS: u32 = 2 * 450 / 24;
/// The default numbers of dispatchers.
const SIZES: &[u32] = &[50, 100, 200, 300, 600, 1_000];
/// The largest number of dispatchers that can be requested.
const MAX_DISPATCHERS: u32 = 4_000;

/// All dispatchers start, each fetches the complete list.
pub const COLD_START: Experiment = Experiment {
    name: "cold-start",
    about: "list service: all dispatchers start at once, each fetches the list of 2,900 workers",
    size_is: "dispatchers",
    sizes: SIZES,
    most: MAX_DISPATCHERS,
    play: |size, seed| Ok(play(Scenario::Start, size, complete_list_bytes(), seed)),
};

/// All watches break, each resumes from its version.
pub const WATCHES_BREAK: Experiment = Experiment {
    name: "watches-break",
    about: "list service: all watches break at once, each resumes by version after an hour's changes",
    size_is: "dispatchers",
    sizes: SIZES,
    most: MAX_DISPATCHERS,
    play: |size, seed| Ok(play(Scenario::WatchesBreak, size, changes(), seed)),
};

/// Bytes of the complete list.
fn complete_list_bytes() -> u64 {
    listing::json_list(true, 0..TARGET_WORKERS).len() as u64
}

/// Bytes of the changes since the watches broke.
fn changes() -> u64 {
    listing::json_list(false, 0..CHANGED_WORKERS).len() as u64
}

fn play(scenario: Scenario, dispatchers: u32, bytes: u64, seed: u64) -> Vec<Figure> {
    let service = DiscoveryService {
        dispatchers,
        call_duration: CALL_DURATION,
        bytes,
        bytes_per_second: LINK_BYTES_PER_S,
    };
    let calls = service.play(scenario, seed);
    let seconds = |share| calls.answered_by(share) as f64 / SECOND as f64;
    vec![
        Figure::counted("calls", "calls", calls.started as f64),
        Figure::counted("failed calls", "calls", calls.failed as f64),
        Figure::counted("longest queue", "calls", calls.longest_queue as f64),
        Figure::counted("answered p50", "s", seconds(0.5)),
        Figure::counted("answered p99", "s", seconds(0.99)),
        Figure::counted("answered last", "s", seconds(1.0)),
        Figure::counted("bytes of all answers", "bytes", calls.bytes() as f64),
        Figure::counted("bytes in the fullest second", "bytes/s", calls.bytes_in_fullest_second() as f64),
    ]
}
