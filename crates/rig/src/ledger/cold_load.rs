//! The load on workers that warm up.

use super::{Observation, WarmUp};
use crate::time::Micros;
use std::collections::HashMap;

/// The highest load on a worker that was warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeakColdLoad {
    /// Jobs that it received in one span, over its budget for that span.
    pub share_of_budget: f64,
    /// The worker.
    pub worker: usize,
    /// The end of the span.
    pub at: Micros,
}

/// A worker that warms up.
struct WarmingWorker {
    started_at: Micros,
    warm_up: WarmUp,
}

impl WarmingWorker {
    /// Its budget in jobs for a span that begins at a time.
    fn budget(&self, span_start: Micros) -> f64 {
        let age = (span_start - self.started_at).max(0) as f64;
        let progress = age / self.warm_up.duration as f64;
        self.warm_up.cold_budget + (self.warm_up.warm_budget - self.warm_up.cold_budget) * progress
    }
}

/// The highest share of its budget that a worker received in any span of the length `window` while it warmed up.
pub(super) fn peak(observations: &[(Micros, Observation)], window: Micros) -> Option<PeakColdLoad> {
    let mut warming: HashMap<usize, WarmingWorker> = HashMap::new();
    let mut received: HashMap<usize, Vec<Micros>> = HashMap::new();
    let mut peak: Option<PeakColdLoad> = None;
    for (at, observation) in observations {
        match observation {
            Observation::WorkerStarted(warm_up) => {
                warming.insert(warm_up.worker, WarmingWorker { started_at: *at, warm_up: *warm_up });
            }
            Observation::JobReceived(worker, _) => {
                let Some(state) = warming.get(worker) else { continue };
                if at - state.started_at >= state.warm_up.duration {
                    continue;
                }
                let recent = received.entry(*worker).or_default();
                recent.retain(|earlier| at - earlier < window);
                recent.push(*at);
                let share_of_budget = recent.len() as f64 / state.budget(at - window);
                if peak.is_none_or(|highest| share_of_budget > highest.share_of_budget) {
                    peak = Some(PeakColdLoad { share_of_budget, worker: *worker, at: *at });
                }
            }
            _ => {}
        }
    }
    peak
}
