//! Scripted transcripts against a Gearman server: who sends which packet, what must come, in what order, within what.
//!
//! A [`Case`] is data: one TOML file under `cases/`. [`play`](fn@play) plays it over loopback and tells the first packet that
//! differs. [`defect`] stands between the suite and a server and breaks it on purpose, to show that this is found.

pub mod case;
pub mod defect;
pub mod play;

pub use case::{Case, all};
pub use play::{Differs, play};

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Cases that are played at the same time.
const TOGETHER: usize = 8;

/// Plays cases and returns what became of each, in their order.
pub fn run<'a>(at: SocketAddr, cases: &'a [Case], run_id: &str) -> Vec<(&'a Case, Result<(), Differs>)> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::with_capacity(cases.len()));
    std::thread::scope(|scope| {
        for _ in 0..TOGETHER.min(cases.len()) {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let result = play(at, case, run_id);
                    done.lock().expect("not poisoned").push((case, result));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("not poisoned");
    done.sort_by(|a, b| a.0.name.cmp(&b.0.name));
    done
}
