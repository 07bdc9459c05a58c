//! Notifies the decisions of workers that staff has suspended or restored.

use super::Core;
use roselock::{Event, WorkerId};
use std::collections::BTreeSet;

/// The suspensions of which the decisions have been notified.
#[derive(Default)]
pub(super) struct NotifiedSuspensions {
    /// The number of the latest change of which they have been notified.
    generation: u64,
    workers: BTreeSet<WorkerId>,
}

impl Core {
    /// Notifies the decisions of each fleet of the workers that were suspended or restored since the last call. Attempts
    /// of which nothing has been sent to a suspended worker end.
    pub(super) fn apply_suspensions(&mut self) {
        let Some(change) = self.admin.suspensions.changed_since(self.suspensions.generation) else {
            return;
        };
        let suspended = change.suspended;
        for fleet in self.fleets.iter_mut() {
            for worker in suspended.difference(&self.suspensions.workers) {
                fleet.events.push(Event::SuspensionChanged { worker: *worker, suspended: true });
            }
            for worker in self.suspensions.workers.difference(&suspended) {
                fleet.events.push(Event::SuspensionChanged { worker: *worker, suspended: false });
            }
        }
        self.clear_dial_queues(|host| suspended.contains(&host.entry.worker));
        for fleet in 0..self.fleets.len() {
            self.cancel_unsent_at(fleet, |host| suspended.contains(&host.entry.worker));
        }
        self.suspensions = NotifiedSuspensions { generation: change.generation, workers: suspended };
        self.metrics_published_at = 0;
        self.admin.suspensions.mark_applied(change.generation);
    }
}
