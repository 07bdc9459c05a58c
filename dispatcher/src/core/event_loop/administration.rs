//! What the owner does for daily operation: it tells the decisions of suspended workers, and keeps the figures
//! that only it knows (the list, and what the decisions avoid) where the admin address reads them.

use super::*;
use crate::core::suspensions::Suspensions;
use roselock_admin::metrics::{JobResult, Metrics};

/// The figures of the list are set anew at most so often, in microseconds: a reader may see them 0.5 s old.
const PUBLISH: Micros = 100_000;

/// What the admin address shares with the owner.
#[derive(Clone)]
pub struct AdminState {
    /// The figures of `METRICS`.
    pub metrics: Arc<Metrics>,
    /// Workers that staff has suspended.
    pub suspensions: Arc<Suspensions>,
}

impl AdminState {
    /// For classes of these names.
    pub fn new(classes: Vec<String>) -> AdminState {
        AdminState { metrics: Arc::new(Metrics::new(classes)), suspensions: Arc::default() }
    }
}

/// How an answer counts.
pub(super) fn end(answer: &Answer) -> JobResult {
    match answer {
        Answer::Served(_) => JobResult::Answered,
        Answer::Rejected(_) => JobResult::Deferred,
        Answer::Conflict | Answer::Failed | Answer::TimedOut => JobResult::Errored,
    }
}

impl Core {
    /// Tells each fleet's decisions which workers were suspended or restored since the last time.
    pub(super) fn apply_suspensions(&mut self) {
        let Some((generation, out)) = self.admin.suspensions.changed_since(self.suspensions_seen) else {
            return;
        };
        for fleet in &mut self.fleets {
            let taken =
                out.difference(&self.told).map(|w| Event::SuspensionChanged { worker: *w, suspended: true });
            let back =
                self.told.difference(&out).map(|w| Event::SuspensionChanged { worker: *w, suspended: false });
            fleet.events.extend(taken.chain(back));
        }
        self.clear_dial_queues(|host| out.contains(&host.entry.worker));
        (0..self.fleets.len()).for_each(|f| self.hold_back_at(f, |host| out.contains(&host.entry.worker)));
        (self.told, self.suspensions_seen, self.published) = (out, generation, 0);
        self.admin.suspensions.mark_applied(generation);
    }

    /// The list service has told of a fleet that it knows.
    pub(super) fn confirmed(&mut self, f: FleetId) {
        if self.fleets[f].dialer.is_none() {
            return;
        }
        let first = self.start.record_list(clock::now());
        if let Some(after) = first {
            let (s, calls, failed) = (after as f64 / 1e6, self.start.calls, self.start.failed_calls);
            tracing::info!("list confirmed {s:.1} s after the start; calls {calls}, of them failed {failed}");
        }
        self.admin.metrics.start(&self.start, first);
    }

    /// Sets the figures of the list: the workers listed, and those of them that the decisions avoid.
    pub(super) fn publish(&mut self, now: Micros) {
        if now - self.published < PUBLISH {
            return;
        }
        self.published = now;
        let (mut size, mut avoided) = (0, 0);
        for fleet in &self.fleets {
            for host in fleet.hosts.values().filter(|h| h.entry.state != EndpointState::Gone) {
                size += 1;
                avoided += fleet.dispatcher.is_avoided(host.entry.worker) as usize;
            }
        }
        self.admin.metrics.set_cluster(size, avoided);
    }
}
