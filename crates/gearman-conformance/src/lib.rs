//! A conformance suite for Gearman servers, defined by sequences of packets to send and to expect, with timeouts.
//!
//! Each [`Case`] is a TOML file under `cases/`. [`run_case`] runs it over loopback and returns the first difference.
//! [`defect`] is a relay that alters the responses of a server, to test that the suite detects faults.

pub mod case;
mod connection;
pub mod defect;
pub mod runner;

pub use case::{Case, all};
pub use runner::{Difference, run_case};

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The maximum number of cases that run in parallel.
const MAX_PARALLEL_CASES: usize = 8;

/// Runs cases in parallel and returns the result of each, sorted by name.
pub fn run<'a>(
    server: SocketAddr,
    cases: &'a [Case],
    run_id: &str,
) -> Vec<(&'a Case, Result<(), Difference>)> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(cases.len()));
    std::thread::scope(|scope| {
        for _ in 0..MAX_PARALLEL_CASES.min(cases.len()) {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let result = run_case(server, case, run_id);
                    results.lock().expect("lock is not poisoned").push((case, result));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("lock is not poisoned");
    results.sort_by(|(case, _), (other, _)| case.name.cmp(&other.name));
    results
}
