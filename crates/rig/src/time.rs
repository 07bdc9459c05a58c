//! The clock of a run.

use std::time::Instant;

/// A time since the start of a clock, or a duration, in microseconds.
pub type Micros = i64;

/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;

/// The clock of a run.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at 0.
    #[must_use]
    pub fn start() -> Clock {
        Clock(Instant::now())
    }
    /// The time since the clock was started, in microseconds.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }
    /// Suspends the calling coroutine until a time of this clock.
    #[allow(clippy::disallowed_methods, reason = "the only use, followed by a yield")]
    pub fn sleep_until(&self, at: Micros) {
        let time_left = at - self.now();
        if time_left > 0 {
            may::coroutine::sleep(std::time::Duration::from_micros(time_left as u64));
            // The runtime resumes a sleeping coroutine on its timer thread, while its worker thread handles the socket
            // events of the same coroutine: a connect that begins on the timer thread can be resumed before its wait is
            // set up, and panics ("no data to deref for OptionCell", may 0.3.51). Yielding moves the coroutine to the worker
            // thread.
            may::coroutine::yield_now();
        }
    }
}
