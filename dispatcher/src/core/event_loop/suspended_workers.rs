//! Notifies the decision logic of workers that operators have suspended or restored.

use super::Core;
use super::attempts::CancelReason;
use super::fleets::Host;
use roselock::{Event, WorkerId};
use std::collections::BTreeSet;

/// The suspensions of which the decision logic has been notified.
#[derive(Default)]
pub(super) struct AppliedSuspensions {
    /// The generation of the latest of these changes.
    generation: u64,
    /// The suspended workers.
    pub(super) workers: BTreeSet<WorkerId>,
}

impl AppliedSuspensions {
    /// The events that notify a new fleet of the suspended workers.
    pub(super) fn events(&self) -> impl Iterator<Item = Event> {
        self.workers.iter().map(|worker| Event::SuspensionChanged { worker: *worker, suspended: true })
    }
}

impl Core {
    /// Notifies the decision logic of each fleet of the workers that were suspended or restored since the last call.
    /// Ends the attempts at suspended workers of which nothing has been sent.
    pub(super) fn apply_suspensions(&mut self) {
        let Some(change) = self.admin.suspensions.changed_since(self.suspensions.generation) else {
            return;
        };
        let suspended = change.suspended;
        for worker in suspended.symmetric_difference(&self.suspensions.workers) {
            self.log_suspension(*worker, suspended.contains(worker));
        }
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
            let is_suspended = |host: &Host| suspended.contains(&host.entry.worker);
            self.cancel_unsent_at(fleet, CancelReason::Suspended, is_suspended);
        }
        self.suspensions = AppliedSuspensions { generation: change.generation, workers: suspended };
        self.metrics_published_at = 0;
        self.admin.suspensions.mark_applied(change.generation);
    }

    /// Logs that a worker is suspended or restored, with its listed state in each fleet.
    fn log_suspension(&self, worker: WorkerId, suspended: bool) {
        let hosts = self.fleets.iter().filter_map(|fleet| fleet.hosts.get(&worker));
        for host in hosts {
            let state = host.entry.state;
            tracing::info!(worker = host.uid, suspended, listed_state = ?state, "suspension of a worker changed");
        }
    }
}
