//! The times at which each process of a dispatcher was shut down and killed, and the requests that it may leave unanswered.

use crate::time::{Micros, SECOND};
use parking_lot::Mutex;

/// A process that was killed with SIGKILL may leave unanswered the requests that arrived up to this long after its shutdown
/// request, in microseconds.
const ACCEPTED_AFTER_SHUTDOWN_REQUEST: Micros = SECOND * 7 / 10;
/// How long after SIGTERM clients still open new connections, in microseconds.
pub const NEW_CONNECTIONS_AFTER_SHUTDOWN_REQUEST: Micros = SECOND * 3 / 10;

/// One process of a dispatcher.
#[derive(Clone, Copy, Debug, Default)]
struct Incarnation {
    shutdown_requested_at: Option<Micros>,
    killed_at: Option<Micros>,
}

/// The incarnations of one dispatcher, the current one last. They are numbered from 1.
#[derive(Debug, Default)]
pub struct ProcessHistory(Mutex<Vec<Incarnation>>);

impl ProcessHistory {
    /// Records a start of the dispatcher.
    pub fn record_start(&self) {
        self.0.lock().push(Incarnation::default());
    }

    /// Records a shutdown request; only the first one counts.
    pub fn record_shutdown_request(&self, now: Micros) {
        if let Some(incarnation) = self.0.lock().last_mut() {
            incarnation.shutdown_requested_at.get_or_insert(now);
        }
    }

    /// Records a kill; only the first one counts.
    pub fn record_kill(&self, now: Micros) {
        if let Some(incarnation) = self.0.lock().last_mut() {
            incarnation.killed_at.get_or_insert(now);
        }
    }

    /// The number of the current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> usize {
        self.0.lock().len()
    }

    /// Whether the current incarnation was killed or requested to shut down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        let incarnations = self.0.lock();
        let Some(current) = incarnations.last() else { return false };
        current.shutdown_requested_at.is_some() || current.killed_at.is_some()
    }

    /// Whether clients still open new connections: some time after the shutdown request, they use only open ones.
    #[must_use]
    pub fn accepts_new_connections(&self, now: Micros) -> bool {
        let incarnations = self.0.lock();
        let Some(current) = incarnations.last() else { return false };
        let within_period = |requested_at| now - requested_at < NEW_CONNECTIONS_AFTER_SHUTDOWN_REQUEST;
        current.killed_at.is_none() && current.shutdown_requested_at.is_none_or(within_period)
    }

    /// Whether a request that arrived at this time in this incarnation may stay unanswered.
    #[must_use]
    pub fn may_leave_unanswered(&self, incarnation: usize, arrived: Micros) -> bool {
        let incarnations = self.0.lock();
        let Some(incarnation) = incarnation.checked_sub(1).and_then(|index| incarnations.get(index)) else {
            return true;
        };
        if incarnation.killed_at.is_none() {
            return false;
        }
        incarnation
            .shutdown_requested_at
            .is_none_or(|requested_at| arrived <= requested_at + ACCEPTED_AFTER_SHUTDOWN_REQUEST)
    }
}
