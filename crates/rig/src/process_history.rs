//! When each process of a dispatcher was asked to shut down and killed, and which requests it may leave unanswered then.

use crate::time::{Micros, SECOND};
use parking_lot::Mutex;

/// A process that is shutting down may leave a request unanswered that arrived up to so long after the shutdown request, in
/// microseconds, if SIGKILL ended the process.
const ACCEPTED_AFTER_SHUTDOWN_REQUEST: Micros = SECOND * 7 / 10;
/// For so long after SIGTERM new connections keep arriving, in microseconds.
pub const NEW_CONNECTIONS_AFTER_SHUTDOWN_REQUEST: Micros = SECOND * 3 / 10;

/// One process of a dispatcher.
#[derive(Clone, Copy, Debug, Default)]
struct Incarnation {
    shutdown_requested_at: Option<Micros>,
    killed_at: Option<Micros>,
}

/// The incarnations of one dispatcher, the present one last. They are numbered from 1.
#[derive(Debug, Default)]
pub struct ProcessHistory(Mutex<Vec<Incarnation>>);

impl ProcessHistory {
    /// The dispatcher starts (again).
    pub fn record_start(&self) {
        self.0.lock().push(Incarnation::default());
    }

    /// It is asked to shut down; the first time counts.
    pub fn record_shutdown_request(&self, now: Micros) {
        if let Some(incarnation) = self.0.lock().last_mut() {
            incarnation.shutdown_requested_at.get_or_insert(now);
        }
    }

    /// It is killed; the first time counts.
    pub fn record_kill(&self, now: Micros) {
        if let Some(incarnation) = self.0.lock().last_mut() {
            incarnation.killed_at.get_or_insert(now);
        }
    }

    /// The number of its present incarnation.
    #[must_use]
    pub fn incarnation(&self) -> usize {
        self.0.lock().len()
    }

    /// Whether the rig has killed the present incarnation, or asked it to shut down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        let incarnations = self.0.lock();
        let Some(present) = incarnations.last() else { return false };
        present.shutdown_requested_at.is_some() || present.killed_at.is_some()
    }

    /// Whether clients still open new connections: not long after it was asked to shut down, only open ones are used.
    #[must_use]
    pub fn accepts_new_connections(&self, now: Micros) -> bool {
        let incarnations = self.0.lock();
        let Some(present) = incarnations.last() else { return false };
        let open_to_new = |requested_at| now - requested_at < NEW_CONNECTIONS_AFTER_SHUTDOWN_REQUEST;
        present.killed_at.is_none() && present.shutdown_requested_at.is_none_or(open_to_new)
    }

    /// Whether a request that arrived in that incarnation, at that time, may stay without an answer.
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
