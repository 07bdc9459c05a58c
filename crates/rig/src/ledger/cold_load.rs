//! Load on workers that are warming up, relative to their budgets.

use super::{Observation, Tolerances, WarmUp};
use crate::time::Micros;
use std::collections::HashMap;

/// The highest load on a worker that was warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeakColdLoad {
    /// Jobs received in one window, divided by the budget for that window.
    pub share_of_budget: f64,
    /// The worker.
    pub worker: usize,
    /// The end of the window.
    pub at: Micros,
}

/// A worker that is warming up.
struct WarmingWorker {
    started_at: Micros,
    warm_up: WarmUp,
}

impl WarmingWorker {
    /// The budget, in jobs, for a window that begins at `window_start`.
    fn budget(&self, window_start: Micros) -> f64 {
        let age = (window_start - self.started_at).max(0) as f64;
        let progress = age / self.warm_up.duration as f64;
        self.warm_up.cold_budget + (self.warm_up.warm_budget - self.warm_up.cold_budget) * progress
    }
}

/// Largest budget, in jobs, to which the platform's wider slack applies.
const SMALL_BUDGET: f64 = 30.0;

/// How many jobs a worker that warms up may receive for a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ColdBudgetBound {
    /// The budget itself.
    #[default]
    Budget,
    /// The platform's bound: the budget N and slack for chance, N + 2 √N + 2, or N + 3 √N + 3 for N under 30.
    Platform,
}

impl ColdBudgetBound {
    fn jobs(self, budget: f64) -> f64 {
        let factor = if budget < SMALL_BUDGET { 3.0 } else { 2.0 };
        match self {
            ColdBudgetBound::Budget => budget,
            ColdBudgetBound::Platform => budget + factor * budget.sqrt() + factor,
        }
    }
}

/// The highest share of its bound that any worker received in any window during its warm-up.
pub(super) fn peak(observations: &[(Micros, Observation)], tolerances: Tolerances) -> Option<PeakColdLoad> {
    let window = tolerances.overload_window;
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
                let share_of_budget =
                    recent.len() as f64 / tolerances.cold_budget_bound.jobs(state.budget(at - window));
                if peak.is_none_or(|highest| share_of_budget > highest.share_of_budget) {
                    peak = Some(PeakColdLoad { share_of_budget, worker: *worker, at: *at });
                }
            }
            _ => {}
        }
    }
    peak
}
