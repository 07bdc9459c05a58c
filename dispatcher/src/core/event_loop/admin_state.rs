//! The state that the event loop shares with the admin address: the metrics that only the event loop knows, and the
//! suspended workers.

use super::Core;
use crate::core::Answer;
use crate::core::suspensions::Suspensions;
use roselock::Micros;
use roselock_admin::metrics::{JobResult, Metrics};
use std::sync::Arc;

/// Minimum interval between publications of the metrics of the endpoint list, in microseconds. Since the loop may wait
/// longer, a reader may see values that are 0.5 s old.
const PUBLISH_INTERVAL: Micros = 100_000;

/// The state that the admin address shares with the event loop.
#[derive(Clone)]
pub struct AdminState {
    /// The values of the `METRICS` reply.
    pub metrics: Arc<Metrics>,
    /// Workers that operators have suspended.
    pub suspensions: Arc<Suspensions>,
}

impl AdminState {
    /// Creates the state for classes with these names.
    pub fn new(classes: Vec<String>) -> AdminState {
        AdminState { metrics: Arc::new(Metrics::new(classes)), suspensions: Arc::default() }
    }
}

/// The category of an answer in the metrics.
pub(super) fn job_result(answer: &Answer) -> JobResult {
    match answer {
        Answer::Served(_) => JobResult::Answered,
        Answer::Rejected(_) => JobResult::Deferred,
        Answer::Conflict | Answer::Failed | Answer::TimedOut => JobResult::Errored,
    }
}

impl Core {
    /// Publishes the number of listed workers, and the number of those that the decision logic avoids.
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
