//! The deadlines of a graceful shutdown, from the time of the request and the client timeout of the settings.

use roselock::Micros;

/// The platform may kill a process that was asked to stop this long after the request and the client timeout, in
/// microseconds.
const KILL_GRACE: Micros = 700_000;
/// The part of the client timeout that the platform takes into account, in microseconds.
const MAX_COUNTED_TIMEOUT: Micros = 3_000_000;
/// The last answer is sent this long before the process may be killed, in microseconds.
const KILL_MARGIN: Micros = 200_000;
/// The share of the drain timeout, a little more than half, during which open connections are served as before, as their
/// clients may not have anywhere else to go. After that each closes with its next answer.
const LINGER_NUMERATOR: Micros = 18;
/// See [`LINGER_NUMERATOR`].
const LINGER_DENOMINATOR: Micros = 35;
/// A stream that arrives later than this after the request, in microseconds, is answered by
/// [`ShutdownDeadlines::answer_by`], since the process may be killed soon after that. For earlier streams nobody counts
/// on more than their own deadlines.
const LATE_ARRIVAL_AFTER: Micros = 600_000;

/// How long after a shutdown request the last answer has to be sent, in microseconds, by the longest client timeout of
/// any class.
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
    /// When the last answer has to be sent.
    pub fn answer_by(&self) -> Micros {
        self.requested_at + self.drain_timeout
    }
    /// Whether all answers have to be sent by now.
    pub fn is_drain_over(&self, now: Micros) -> bool {
        now - self.requested_at >= self.drain_timeout
    }
    /// When the process has to have ended.
    pub fn exit_by(&self) -> Micros {
        self.answer_by() + KILL_MARGIN / 2
    }
    /// Whether connections close after their next answer.
    pub fn is_closing_connections(&self, now: Micros) -> bool {
        now - self.requested_at >= self.drain_timeout * LINGER_NUMERATOR / LINGER_DENOMINATOR
    }
    /// The latest deadline of a stream that arrives now; none if it keeps its own.
    pub fn arrival_deadline(&self, now: Micros) -> Option<Micros> {
        let is_late = now - self.requested_at > LATE_ARRIVAL_AFTER;
        is_late.then(|| self.answer_by())
    }
}

#[cfg(test)]
#[path = "shutdown_deadlines_tests.rs"]
mod tests;
