//! The deadlines of a graceful shutdown, derived from the time of the request and the configured client timeout.

use roselock::Micros;

/// The platform may kill a process this long after the shutdown request plus the client timeout, in microseconds.
const KILL_GRACE: Micros = 700_000;
/// The longest client timeout that the platform takes into account, in microseconds.
const MAX_COUNTED_TIMEOUT: Micros = 3_000_000;
/// How long before the possible kill the last answer is sent, in microseconds.
const KILL_MARGIN: Micros = 200_000;
/// The share of the drain timeout, a little more than half, during which open connections are served as before, since
/// their clients may have no other dispatcher to use yet. After that each connection closes with its next answer.
const LINGER_NUMERATOR: Micros = 18;
/// See [`LINGER_NUMERATOR`].
const LINGER_DENOMINATOR: Micros = 35;
/// A stream that arrives later than this after the shutdown request, in microseconds, is answered by
/// [`ShutdownDeadlines::answer_by`], since the process may be killed soon after that. Earlier streams keep their own
/// deadlines.
const LATE_ARRIVAL_AFTER: Micros = 600_000;

/// How long after a shutdown request the last answer must have been sent, in microseconds, given the longest client
/// timeout of any class.
pub fn drain_timeout(client_timeout: Micros) -> Micros {
    client_timeout.min(MAX_COUNTED_TIMEOUT) + KILL_GRACE - KILL_MARGIN
}

/// The deadlines of one graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    requested_at: Micros,
    drain_timeout: Micros,
}

impl ShutdownDeadlines {
    /// The deadlines of a shutdown that was requested at `requested_at`, given the longest client timeout of any class.
    pub fn new(requested_at: Micros, client_timeout: Micros) -> ShutdownDeadlines {
        ShutdownDeadlines { requested_at, drain_timeout: drain_timeout(client_timeout) }
    }
    /// When the last answer must have been sent.
    pub fn answer_by(&self) -> Micros {
        self.requested_at + self.drain_timeout
    }
    /// Whether the time for the last answer has passed.
    pub fn is_drain_over(&self, now: Micros) -> bool {
        now - self.requested_at >= self.drain_timeout
    }
    /// When the process must have ended.
    pub fn exit_by(&self) -> Micros {
        self.answer_by() + KILL_MARGIN / 2
    }
    /// Whether connections close after their next answer.
    pub fn is_closing_connections(&self, now: Micros) -> bool {
        now - self.requested_at >= self.drain_timeout * LINGER_NUMERATOR / LINGER_DENOMINATOR
    }
    /// The latest deadline of a stream that arrives now; `None` if it keeps its own.
    pub fn arrival_deadline(&self, now: Micros) -> Option<Micros> {
        let is_late = now - self.requested_at > LATE_ARRIVAL_AFTER;
        is_late.then(|| self.answer_by())
    }
}

#[cfg(test)]
#[path = "shutdown_deadlines_tests.rs"]
mod tests;
