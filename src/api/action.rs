//! What the dispatcher asks the caller to do.

use super::ids::{JobId, Micros, WorkerId};

/// Something to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        job: JobId,
        /// The worker that it goes to.
        worker: WorkerId,
        /// Timeout of the attempt in microseconds; 0: until the client gives up.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: rejected, and a retry by the client does no harm.
    Reject {
        /// The request.
        job: JobId,
        /// Retry-After advice in microseconds; 0: none.
        retry_after: Micros,
    },
    /// Final answer: failed; it may have run.
    Fail {
        /// The request.
        job: JobId,
    },
    /// Set a timer that comes back as [`Event::TimerFired`](crate::Event::TimerFired).
    Timer {
        /// From now, in microseconds.
        delay: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Call discovery and watch its endpoint list.
    WatchEndpoints,
    /// Send a health check to a worker.
    HealthCheck(WorkerId),
    /// Close the idle connections to a worker.
    CloseIdleConnections(WorkerId),
    /// Write a line about a worker to the operators' log.
    Log {
        /// What to write.
        message: &'static str,
        /// The worker.
        worker: WorkerId,
    },
}
