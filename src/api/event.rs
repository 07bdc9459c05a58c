//! Events that the caller reports to the decision logic.

use super::endpoint::{Endpoint, ListMode, LoadReport};
use super::ids::{ClassId, JobId, KeyId, Micros, TenantId, WorkerId};
use roselock_discovery_client::poll_schedule::WatchEnd;

/// A client request.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Its id.
    pub job: JobId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Slots that it occupies while it runs.
    pub slots: f64,
    /// Memory units that it occupies while it runs; 0 where memory is not accounted for.
    pub memory: f64,
    /// The client's estimate of the work, in seconds on a core of speed 1.
    pub work_hint: Option<f64>,
    /// The data that it needs, if any.
    pub key: Option<KeyId>,
    /// Time until the client gives up on this request, in microseconds.
    pub budget: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered successfully.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Rejected by the worker; it never ran, unless
    /// [`Safety::rejection_may_have_run`](crate::Safety::rejection_may_have_run) is set.
    Rejected,
    /// Timed out; it may have run or still be running.
    Timeout,
    /// No connection was established; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotStarted,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran. The argument is
    /// [`Safety::rejection_may_have_run`](crate::Safety::rejection_may_have_run).
    #[must_use]
    pub fn never_ran(self, rejection_may_have_run: bool) -> bool {
        match self {
            Outcome::Rejected => !rejection_may_have_run,
            outcome => matches!(outcome, Outcome::ConnectFailed | Outcome::NotStarted),
        }
    }
}

/// A worker's report on an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The worker has started the request.
    Started,
    /// Fraction of the request completed so far, 0 to 1.
    Progress(f64),
}

/// An input to the decision logic. `attempt` numbers a request's attempts from 0, in the order of their
/// [`Action::Send`](crate::Action::Send).
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list or an update to it.
    EndpointList {
        /// How to interpret the entries.
        mode: ListMode,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// The watch on the endpoint list, or the call to open one, ended. The current list stays in use.
    WatchEnded(WatchEnd),
    /// The discovery service was moved to another address at this time.
    DiscoveryMoved(Micros),
    /// A client request arrived. It must get exactly one final answer.
    JobArrived(JobRequest),
    /// The response stream of an attempt started and is being forwarded to the client.
    StreamAccepted {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// A worker reported on an attempt in flight.
    AttemptProgress {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// The report.
        update: AttemptUpdate,
    },
    /// A late or repeated callback for an attempt that is about to end may still arrive from its worker. It
    /// could not be told apart from a callback for another attempt of the same request at that worker.
    /// Precedes the attempt's [`Event::AttemptEnded`].
    LateReportPossible {
        /// The request.
        job: JobId,
        /// The worker of the attempt.
        worker: WorkerId,
    },
    /// An attempt ended. There is exactly one such event per attempt.
    AttemptEnded {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// The request has concluded and needs no further answer.
        concluded: bool,
        /// The worker's load report; empty if the response carried none.
        report: LoadReport,
    },
    /// The client disconnected; the request needs no further answer.
    ClientDisconnected(JobId),
    /// The timer with this token, set by [`Action::Timer`](crate::Action::Timer), fired.
    TimerFired(u64),
    /// An operator suspended or restored a worker. A suspended worker counts as draining, whatever the
    /// endpoint list says.
    SuspensionChanged {
        /// The worker; it may be suspended before it is listed.
        worker: WorkerId,
        /// Whether it is now suspended.
        suspended: bool,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The worker.
        worker: WorkerId,
        /// Whether the worker responded as healthy.
        ok: bool,
        /// Its load report.
        report: LoadReport,
    },
}
