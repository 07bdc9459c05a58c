//! Waiting in coroutines.

use std::time::Duration;

/// Suspends the calling coroutine.
#[allow(clippy::disallowed_methods, reason = "the only use, followed by a yield")]
pub fn pause(duration: Duration) {
    may::coroutine::sleep(duration);
    // The runtime resumes a sleeping coroutine on its timer thread; yielding moves it to a worker thread, which handles the events
    // of its sockets.
    may::coroutine::yield_now();
}
