//! The ledger: the stand-ins' observations in chronological order, and the rules that they are checked against.

mod cold_load;
mod missed;
mod rules;

pub use cold_load::{ColdBudgetBound, PeakColdLoad};
pub use rules::Violation;

use crate::scenario::Scenario;
use crate::time::{Micros, SECOND};

/// How an attempt of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served with a worker's result.
    Served,
    /// Rejected with 429 or 503.
    Rejected,
    /// Failed: any other answer, or no answer where the dispatcher is permitted to lose the attempt.
    Failed,
    /// The connection was refused or never established.
    NotAccepted,
    /// Accepted, but without a complete and correct answer in time.
    Lost,
}

impl RequestEnd {
    /// The key of this end in the JSON report.
    #[must_use]
    pub fn key(self) -> &'static str {
        match self {
            RequestEnd::Served => "Served",
            RequestEnd::Rejected => "Refused",
            RequestEnd::Failed => "Failed",
            RequestEnd::NotAccepted => "NotTaken",
            RequestEnd::Lost => "Lost",
        }
    }
}

/// An event that a stand-in observed. Dispatchers and workers are identified by number, requests and jobs by id.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A client sent an attempt.
    RequestSent {
        /// The request's id.
        id: String,
        /// Whether the job may run more than once.
        repeatable: bool,
        /// When the answer is due.
        deadline: Micros,
    },
    /// An attempt ended.
    RequestEnded(String, RequestEnd),
    /// The reason why an attempt is lost; recorded before its end.
    LossReason(String, &'static str),
    /// A worker received a job.
    JobReceived(usize, String),
    /// A job started to run at a worker.
    JobStarted(usize, String),
    /// A job finished at a worker.
    JobFinished(usize, String),
    /// A connection was established at a worker.
    ConnectionOpened(usize),
    /// A connection at a worker was closed.
    ConnectionClosed(usize),
    /// The discovery service notified a dispatcher that a worker is draining.
    DrainNotified {
        /// The dispatcher.
        dispatcher: usize,
        /// The worker.
        worker: usize,
    },
    /// The discovery service has listed a worker as ready, or as draining or gone.
    WorkerListed {
        /// The worker.
        worker: usize,
        /// Whether it is ready.
        is_ready: bool,
    },
    /// A dispatcher can reach the discovery service from now on, or no longer.
    DiscoveryReachable {
        /// The dispatcher.
        dispatcher: usize,
        /// Whether it can.
        is_reachable: bool,
    },
    /// A dispatcher was notified, by its configuration, that the discovery service has moved.
    DiscoveryMoved(usize),
    /// A dispatcher sent a job to a worker.
    JobSent {
        /// The dispatcher.
        dispatcher: usize,
        /// The worker.
        worker: usize,
    },
    /// A worker started and warms up.
    WorkerStarted(WarmUp),
    /// A dispatcher called the discovery service.
    ListCall {
        /// The dispatcher.
        dispatcher: usize,
        /// Length of the service's queue, including this call.
        queue: usize,
    },
    /// The discovery service rejected or dropped a call of a dispatcher.
    ListCallFailed(usize),
    /// The discovery service wrote the list to a dispatcher for the first time since its start.
    ListReceived(usize),
    /// A dispatcher was started.
    DispatcherStarted(usize),
    /// A stopped dispatcher was resumed: whatever became due in the meantime is due from now on.
    DispatcherResumed(usize),
    /// A client's request ended, after its last attempt.
    RequestCompleted {
        /// When the request arrived.
        arrived: Micros,
        /// Whether it was served before its deadline.
        in_time: bool,
    },
}

/// The budget of jobs of a worker that warms up. It grows linearly from the cold to the warm value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The worker.
    pub worker: usize,
    /// Jobs per [`Tolerances::overload_window`] at the start.
    pub cold_budget: f64,
    /// Jobs per [`Tolerances::overload_window`] when warm.
    pub warm_budget: f64,
    /// Duration of the warm-up.
    pub duration: Micros,
}

/// Tolerances of the rules, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// How long after its deadline an answer may arrive.
    pub max_answer_delay: Micros,
    /// How long after the notification of a drain jobs may still be sent: 500 ms and the transit time.
    pub max_send_delay_after_drain: Micros,
    /// The window to which the budgets of a worker that warms up apply.
    pub overload_window: Micros,
    /// How many jobs such a worker may receive for its budget.
    pub cold_budget_bound: ColdBudgetBound,
    /// Whether a dispatcher is also held to changes that it could have received.
    pub missed_notifications: MissedNotifications,
}

/// Whether a dispatcher is held to changes of the endpoint list that were not written to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissedNotifications {
    /// No change counts that was not written to the dispatcher.
    #[default]
    Ignored,
    /// A change counts as notified 6 s after the discovery service had it and could be reached, and 4 s after the notification that
    /// the service has moved.
    Counted,
}

impl Default for Tolerances {
    fn default() -> Tolerances {
        Tolerances {
            max_answer_delay: SECOND / 2,
            max_send_delay_after_drain: SECOND * 3 / 5,
            overload_window: SECOND,
            cold_budget_bound: ColdBudgetBound::default(),
            missed_notifications: MissedNotifications::default(),
        }
    }
}

/// All observations with their times, in chronological order.
#[derive(Clone, Debug, Default)]
pub struct Ledger(pub Vec<(Micros, Observation)>);

impl Ledger {
    /// Adds an observation.
    pub fn record(&mut self, now: Micros, observation: Observation) {
        self.0.push((now, observation));
    }

    /// Adds when each dispatcher can reach the discovery service, according to the scenario's outages and link faults.
    pub fn add_reachability(&mut self, scenario: &Scenario) {
        for dispatcher in 0..scenario.processes {
            for (at, is_reachable) in scenario.reachability_changes(dispatcher) {
                let observation = Observation::DiscoveryReachable { dispatcher, is_reachable };
                self.0.push((at, observation));
            }
        }
        self.0.sort_by_key(|(at, _)| *at);
    }

    /// Checks the rules and returns the violations.
    #[must_use]
    pub fn violations(&self, tolerances: Tolerances) -> Vec<Violation> {
        rules::violations(&self.0, tolerances)
    }

    /// The highest load on a worker that was warming up; `None` if no such worker received a job.
    #[must_use]
    pub fn peak_cold_load(&self, tolerances: Tolerances) -> Option<PeakColdLoad> {
        cold_load::peak(&self.0, tolerances)
    }
}
