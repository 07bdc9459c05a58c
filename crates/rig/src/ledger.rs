//! The ledger: what the stand-ins observed, in the order of time, and the rules that it is checked against.

mod cold_load;
mod rules;

pub use cold_load::PeakColdLoad;
pub use rules::Violation;

use crate::time::{Micros, SECOND};

/// How an attempt of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served with a worker's result.
    Served,
    /// Rejected with 429 or 503.
    Rejected,
    /// Failed: any other answer, or a loss that the dispatcher may cause.
    Failed,
    /// Its connection was never established, or was refused.
    NotAccepted,
    /// Accepted, and no complete answer in time.
    Lost,
}

impl RequestEnd {
    /// Its key in the JSON report.
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

/// One event that a stand-in observed. Dispatchers and workers are named by their numbers, requests by their ids.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A client sent an attempt.
    RequestSent {
        /// Its id.
        id: String,
        /// Whether its job may run more than once.
        repeatable: bool,
        /// By when it is to be answered.
        deadline: Micros,
    },
    /// An attempt ended.
    RequestEnded(String, RequestEnd),
    /// Why an attempt is about to end as lost.
    LossReason(String, &'static str),
    /// A worker received a job.
    JobReceived(usize, String),
    /// A job started to run at a worker.
    JobStarted(usize, String),
    /// A job ran to its end at a worker.
    JobFinished(usize, String),
    /// A connection was established at a worker.
    ConnectionOpened(usize),
    /// A connection at a worker was closed.
    ConnectionClosed(usize),
    /// The list service wrote to a dispatcher that a worker is draining.
    DrainNotified {
        /// The dispatcher.
        dispatcher: usize,
        /// The worker.
        worker: usize,
    },
    /// A dispatcher sent a job to a worker.
    JobSentBy {
        /// The dispatcher.
        dispatcher: usize,
        /// The worker.
        worker: usize,
    },
    /// A worker started cold.
    WorkerStarted(WarmUp),
    /// A dispatcher called the list service, which then had a queue of this length.
    ListCall {
        /// The dispatcher.
        dispatcher: usize,
        /// Calls in the queue, this one included.
        queue: usize,
    },
    /// A call of a dispatcher to the list service was rejected or dropped.
    ListCallFailed(usize),
    /// A dispatcher had the list written to it for the first time since its start.
    ListReceived(usize),
    /// A dispatcher was started.
    DispatcherStarted(usize),
    /// A dispatcher that was stopped continues: what was due meanwhile is due from now on.
    DispatcherResumed(usize),
    /// A request ended after its last attempt.
    RequestCompleted {
        /// When it arrived.
        arrived: Micros,
        /// Whether it was served before its deadline.
        in_time: bool,
    },
}

/// What a worker bears while it warms up. In between, its budget grows linearly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The worker.
    pub worker: usize,
    /// Jobs in a span of [`Tolerances::overload_window`] at its start.
    pub cold_budget: f64,
    /// Jobs in such a span once it is warm.
    pub warm_budget: f64,
    /// How long it takes to be warm.
    pub duration: Micros,
}

/// What is allowed beside the rules' own figures.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// After a deadline.
    pub answer: Micros,
    /// After a drain was notified: 500 ms and the way.
    pub drain: Micros,
    /// The span in which a cold worker bears its budget.
    pub overload_window: Micros,
}

impl Default for Tolerances {
    fn default() -> Tolerances {
        Tolerances { answer: SECOND / 2, drain: SECOND * 3 / 5, overload_window: SECOND }
    }
}

/// All observations with their times, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct Ledger(pub Vec<(Micros, Observation)>);

impl Ledger {
    /// Adds an observation.
    pub fn record(&mut self, now: Micros, observation: Observation) {
        self.0.push((now, observation));
    }

    /// The rules that were broken, none if all were kept.
    #[must_use]
    pub fn violations(&self, tolerances: Tolerances) -> Vec<Violation> {
        rules::violations(&self.0, tolerances)
    }

    /// The highest load on a worker that was warming up; none if no such worker received a job.
    #[must_use]
    pub fn peak_cold_load(&self, tolerances: Tolerances) -> Option<PeakColdLoad> {
        cold_load::peak(&self.0, tolerances.overload_window)
    }
}
