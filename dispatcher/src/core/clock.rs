//! The clock of the process, and waiting on it: microseconds since the Unix epoch. The system time is read once; from then on the
//! monotonic clock advances it.

use roselock::Micros;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<(Instant, Micros)> = OnceLock::new();

/// The current time. It never goes backwards.
pub fn now() -> Micros {
    let (start, epoch) = START.get_or_init(|| {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (Instant::now(), epoch.as_micros() as Micros)
    });
    epoch + start.elapsed().as_micros() as Micros
}

/// The time until a deadline; zero if it has passed.
pub fn time_until(deadline: Micros) -> Duration {
    Duration::from_micros((deadline - now()).max(0) as u64)
}

/// Suspends the calling coroutine, or blocks the calling thread if it is none.
#[allow(clippy::disallowed_methods, reason = "the only use, followed by a yield")]
pub fn sleep(duration: Duration) {
    may::coroutine::sleep(duration);
    return_to_worker_thread();
}

/// Moves the calling coroutine to the worker thread. The runtime resumes a coroutine whose wait has timed out on its timer thread,
/// beside the worker thread that handles socket events; a wait on a socket that begins there can be resumed before it is set up.
pub fn return_to_worker_thread() {
    may::coroutine::yield_now();
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
