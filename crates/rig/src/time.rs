//! Times of a run, and its clock.

use std::time::Instant;

/// A point in time since the rig started, or a span, in microseconds.
pub type Micros = i64;

/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;

/// The clock of a run.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts at 0 now.
    #[must_use]
    pub fn start() -> Clock {
        Clock(Instant::now())
    }
    /// The time since its start, in microseconds.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }
    /// Lets a coroutine wait until a time of this clock.
    pub fn sleep_until(&self, at: Micros) {
        let left = at - self.now();
        if left > 0 {
            may::coroutine::sleep(std::time::Duration::from_micros(left as u64));
            // The runtime's timer thread runs a coroutine that wakes, while its worker thread handles the socket events of the
            // same coroutine: a connect that begins there can be resumed before its wait is set up, and panics ("no data
            // to deref for OptionCell", may 0.3.51). Yielding continues on the worker thread.
            may::coroutine::yield_now();
        }
    }
}
