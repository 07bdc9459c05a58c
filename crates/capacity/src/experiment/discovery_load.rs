//! The load of the discovery service by the number of dispatchers that start, or whose watches end, at the same time.

use super::Experiment;
use crate::SECOND;
use crate::discovery_service::{DiscoveryService, Scenario};
use crate::figure::Figure;
use crate::payloads;
use crate::site::TARGET_WORKERS;

/// The service time of a call without the transfer of its response.
const CALL_DURATION: i64 = SECOND / 200;
/// The bandwidth of the service: 1 Gbit/s.
const LINK_BYTES_PER_S: u64 = 125_000_000;
/// Workers that changed in the hour without watches: 450 workers a day leave and return.
const CHANGED_WORKERS: u32 = 2 * 450 / 24;
/// The default numbers of dispatchers.
const SIZES: &[u32] = &[50, 100, 200, 300, 600, 1_000];
/// The largest number of dispatchers that can be requested.
const MAX_DISPATCHERS: u32 = 4_000;

/// The experiment `cold-start`: all dispatchers start, and each fetches the complete list.
pub const COLD_START: Experiment = Experiment {
    name: "cold-start",
    description: "discovery service: all dispatchers start at once and fetch the list of 2,900 workers",
    size_label: "dispatchers",
    sizes: SIZES,
    max_size: MAX_DISPATCHERS,
    simulate: |size, seed| Ok(simulate(Scenario::ColdStart, size, complete_list_bytes(), seed)),
};

/// The experiment `watches-break`: all watches end, and each resumes from its version.
pub const WATCHES_END: Experiment = Experiment {
    name: "watches-break",
    description: "discovery service: all watches end at once and resume from their version, with an hour's changes",
    size_label: "dispatchers",
    sizes: SIZES,
    max_size: MAX_DISPATCHERS,
    simulate: |size, seed| Ok(simulate(Scenario::WatchesEnd, size, changed_list_bytes(), seed)),
};

/// The size of the complete list.
fn complete_list_bytes() -> u64 {
    payloads::endpoint_list_json(true, 0..TARGET_WORKERS).len() as u64
}

/// The size of the changes since the watches ended.
fn changed_list_bytes() -> u64 {
    payloads::endpoint_list_json(false, 0..CHANGED_WORKERS).len() as u64
}

fn simulate(scenario: Scenario, dispatchers: u32, bytes: u64, seed: u64) -> Vec<Figure> {
    let service = DiscoveryService {
        dispatchers,
        call_duration: CALL_DURATION,
        response_bytes: bytes,
        bytes_per_second: LINK_BYTES_PER_S,
    };
    let calls = service.simulate_scenario(scenario, seed);
    let seconds = |fraction| calls.answer_time_quantile(fraction) as f64 / SECOND as f64;
    vec![
        Figure::counted("calls", "calls", calls.started as f64),
        Figure::counted("failed calls", "calls", calls.failed as f64),
        Figure::counted("longest queue", "calls", calls.longest_queue as f64),
        Figure::counted("answered p50", "s", seconds(0.5)),
        Figure::counted("answered p99", "s", seconds(0.99)),
        Figure::counted("answered last", "s", seconds(1.0)),
        Figure::counted("bytes of all answers", "bytes", calls.total_response_bytes() as f64),
        Figure::counted("bytes in the fullest second", "bytes/s", calls.peak_bytes_per_second() as f64),
    ]
}
