//! Actions that the decision logic returns to its caller.

use super::ids::{JobId, Micros, WorkerId};

/// An action for the caller to carry out. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        job: JobId,
        /// The worker to send the request to.
        worker: WorkerId,
        /// Timeout of the attempt in microseconds; 0 means that only the client's deadline applies.
        timeout: Micros,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: rejected; the client may retry safely.
    Reject {
        /// The request.
        job: JobId,
        /// Value of Retry-After in microseconds; 0 means none.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        job: JobId,
    },
    /// Set a timer, which fires as [`Event::TimerFired`](crate::Event::TimerFired).
    Timer {
        /// Time until it fires, in microseconds.
        delay: Micros,
        /// Identifies the timer in the event.
        token: u64,
    },
    /// Call the discovery service and open a watch on its endpoint list.
    WatchEndpoints,
    /// Send a health check to a worker.
    HealthCheck(WorkerId),
    /// Close the idle connections to a worker.
    CloseIdleConnections(WorkerId),
    /// Write a log line about a worker.
    Log {
        /// Text of the line.
        message: &'static str,
        /// The worker concerned.
        worker: WorkerId,
    },
}
