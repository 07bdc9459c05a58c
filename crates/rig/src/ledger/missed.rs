//! Changes of the endpoint list that count as notified although they were not written to a dispatcher.

use super::Observation;
use crate::time::{Micros, SECOND};
use std::collections::HashMap;

/// A change counts as notified this long after the discovery service had it and could be reached, in microseconds.
const NOTIFICATION_DEADLINE: Micros = 6 * SECOND;
/// The same after the notification that the discovery service has moved, in microseconds.
const NOTIFICATION_DEADLINE_AFTER_MOVE: Micros = 4 * SECOND;

/// What a dispatcher could have received.
#[derive(Clone, Debug, Default)]
struct DispatcherState {
    /// Since when its process runs; a process that was stopped runs since it was resumed.
    running_since: Micros,
    /// Since when it can reach the discovery service; `None` while it cannot.
    reachable_since: Option<Micros>,
    /// When this process was notified of moves.
    moved_at: Vec<Micros>,
}

/// Replays when workers were listed as unavailable, and when each dispatcher could have received that.
#[derive(Default)]
pub(super) struct MissedChanges {
    unavailable_since: HashMap<usize, Micros>,
    dispatchers: HashMap<usize, DispatcherState>,
}

impl MissedChanges {
    /// Takes an observation into account.
    pub(super) fn observe(&mut self, at: Micros, observation: &Observation) {
        match observation {
            Observation::WorkerListed { worker, is_ready: true } => {
                self.unavailable_since.remove(worker);
            }
            Observation::WorkerListed { worker, is_ready: false } => {
                self.unavailable_since.entry(*worker).or_insert(at);
            }
            Observation::DispatcherStarted(dispatcher) => {
                let state = self.state(*dispatcher);
                state.running_since = at;
                state.moved_at.clear();
            }
            Observation::DispatcherResumed(dispatcher) => self.state(*dispatcher).running_since = at,
            Observation::DiscoveryReachable { dispatcher, is_reachable } => {
                self.state(*dispatcher).reachable_since = is_reachable.then_some(at);
            }
            Observation::DiscoveryMoved(dispatcher) => self.state(*dispatcher).moved_at.push(at),
            _ => {}
        }
    }

    fn state(&mut self, dispatcher: usize) -> &mut DispatcherState {
        let reachable = DispatcherState { reachable_since: Some(0), ..DispatcherState::default() };
        self.dispatchers.entry(dispatcher).or_insert(reachable)
    }

    /// Since when it counts as notified to a dispatcher that a worker is unavailable, if it does by now.
    pub(super) fn notified_since(&self, dispatcher: usize, worker: usize) -> Option<Micros> {
        let changed_at = *self.unavailable_since.get(&worker)?;
        let state = self.dispatchers.get(&dispatcher)?;
        let reachable_since = state.reachable_since?.max(state.running_since);
        let regular = changed_at.max(reachable_since) + NOTIFICATION_DEADLINE;
        let moves = state.moved_at.iter().filter(|moved_at| **moved_at >= changed_at);
        let after_moves =
            moves.map(|moved_at| (*moved_at).max(reachable_since) + NOTIFICATION_DEADLINE_AFTER_MOVE);
        after_moves.chain([regular]).min()
    }
}
