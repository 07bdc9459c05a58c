//! A conformance suite for Gearman servers: transcripts of packets that are sent and expected, in which order and within
//! which time.
//!
//! A [`Case`] is data: one TOML file under `cases/`. [`play`](fn@play) plays it over loopback and returns the first
//! difference. [`defect`] is a relay that breaks the responses of a server, to show that the suite finds that.

pub mod case;
mod connection;
pub mod defect;
pub mod play;

pub use case::{Case, all};
pub use play::{Difference, play};

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of cases that are played in parallel.
const PARALLEL_CASES: usize = 8;

/// Plays cases and returns the result of each, by the order of their names.
pub fn run<'a>(
    server: SocketAddr,
    cases: &'a [Case],
    run_id: &str,
) -> Vec<(&'a Case, Result<(), Difference>)> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(cases.len()));
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_CASES.min(cases.len()) {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let result = play(server, case, run_id);
                    results.lock().expect("no thread panics with the lock").push((case, result));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no thread panics with the lock");
    results.sort_by(|(case, _), (other, _)| case.name.cmp(&other.name));
    results
}
