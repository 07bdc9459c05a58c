//! The proving rig: real dispatchers as processes, each with an address of its own in 127/8, and around them a list
//! service, workers and clients as stand-ins, with faults between them. What the stand-ins saw goes into a ledger, and
//! the rules are judged from that alone, never from a dispatcher's own words.
//!
//! Every pair of parties but two dispatchers talks through a stand-in, so the rig owns each of these links without a
//! relay between: [`links`] says what passes. Loopback only; nothing is left running when a [`run::Run`] ends.

pub mod clients;
pub mod http;
pub mod ideal;
pub mod ledger;
pub mod links;
pub mod list;
pub mod node;
pub mod page;
pub mod process;
pub mod report;
pub mod run;
pub mod scenario;
pub mod worker;

use std::time::Instant;

/// A point in time since the rig started, or a span, in microseconds.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// The clock of a run.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts at 0.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }
    /// Now.
    pub fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }
    /// Waits until then, in a coroutine.
    pub fn sleep_until(&self, at: Micros) {
        let left = at - self.now();
        if left > 0 {
            may::coroutine::sleep(std::time::Duration::from_micros(left as u64));
        }
    }
}
