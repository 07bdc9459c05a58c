//! What the owner shares with the admin address: the metrics that only it knows, and the suspended workers.

use super::Core;
use crate::core::Answer;
use crate::core::suspensions::Suspensions;
use roselock::Micros;
use roselock_admin::metrics::{JobResult, Metrics};
use std::sync::Arc;

/// The metrics of the endpoint list are published at most this often, in microseconds: since the loop may wait longer, a
/// reader may see values that are 0.5 s old.
const PUBLISH_INTERVAL: Micros = 100_000;

/// What the admin address shares with the owner.
#[derive(Clone)]
pub struct AdminState {
    /// The values of `METRICS`.
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

/// How an answer counts in the metrics.
pub(super) fn job_result(answer: &Answer) -> JobResult {
    match answer {
        Answer::Served(_) => JobResult::Answered,
        Answer::Rejected(_) => JobResult::Deferred,
        Answer::Conflict | Answer::Failed | Answer::TimedOut => JobResult::Errored,
    }
}

impl Core {
    /// Publishes how many workers are listed, and how many of them the decisions avoid.
    pub(super) fn publish_list_metrics(&mut self, now: Micros) {
        if now - self.metrics_published_at < PUBLISH_INTERVAL {
            return;
        }
        self.metrics_published_at = now;
        let mut listed = 0;
        let mut avoided = 0;
        for fleet in self.fleets.iter() {
            for host in fleet.hosts.values().filter(|host| !host.is_gone()) {
                listed += 1;
                if fleet.dispatcher.is_avoided(host.entry.worker) {
                    avoided += 1;
                }
            }
        }
        self.admin.metrics.set_cluster(listed, avoided);
    }
}
