//! What the caller tells the dispatcher.

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
    /// Slots that it takes while it runs.
    pub slots: f64,
    /// Memory units that it takes while it runs; 0 where memory is not counted.
    pub memory: f64,
    /// Its expected work in seconds on a core of speed 1, if hinted.
    pub work_hint: Option<f64>,
    /// The data that it needs, if any.
    pub key: Option<KeyId>,
    /// Time until the client gives up this request, in microseconds.
    pub budget: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Rejected by the worker; it never ran, unless
    /// [`Safety::rejection_may_have_run`](crate::Safety::rejection_may_have_run) says otherwise.
    Rejected,
    /// No answer in time; it may have run or still be running.
    Timeout,
    /// No connection was established; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotStarted,
}

impl Outcome {
    /// Whether it proves that the attempt never ran, given
    /// [`Safety::rejection_may_have_run`](crate::Safety::rejection_may_have_run).
    #[must_use]
    pub fn never_ran(self, rejection_may_have_run: bool) -> bool {
        match self {
            Outcome::Rejected => !rejection_may_have_run,
            outcome => matches!(outcome, Outcome::ConnectFailed | Outcome::NotStarted),
        }
    }
}

/// What a worker reports of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The worker has started the request.
    Started,
    /// This share of it is done, 0 to 1.
    Progress(f64),
}

/// Something that happened. `attempt` numbers a request's attempts from 0 in the order of
/// [`Action::Send`](crate::Action::Send).
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list, or changes of it.
    EndpointList {
        /// How the entries are meant.
        mode: ListMode,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// The watch on the endpoint list, or the call that asked for one, ended; the present list remains.
    WatchEnded(WatchEnd),
    /// The operators moved discovery to another address at this time.
    DiscoveryMoved(Micros),
    /// A client request arrived; exactly one final answer is owed.
    JobArrived(JobRequest),
    /// An attempt's stream has begun: the client receives it from now on.
    StreamAccepted {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// A worker reports on an attempt in flight.
    AttemptProgress {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// What it reports.
        update: AttemptUpdate,
    },
    /// The worker of an attempt that is about to end may still report on it, by a callback that is late or
    /// repeated, and such a report could not be distinguished from one on another attempt of the request
    /// there. Comes before the attempt's [`Event::AttemptEnded`].
    LateReportPossible {
        /// The request.
        job: JobId,
        /// The worker of the attempt.
        worker: WorkerId,
    },
    /// An attempt ended; exactly one such event comes for each attempt.
    AttemptEnded {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// The request has concluded: no answer is owed any more.
        concluded: bool,
        /// The worker's load report; empty if none came along.
        report: LoadReport,
    },
    /// The client disconnected; no answer is owed any more.
    ClientDisconnected(JobId),
    /// The timer with this token, set with [`Action::Timer`](crate::Action::Timer), fired.
    TimerFired(u64),
    /// An operator suspended or restored a worker. While suspended, it counts as draining whatever the
    /// endpoint list says.
    SuspensionChanged {
        /// The worker, which need not be listed yet.
        worker: WorkerId,
        /// Whether it is suspended now.
        suspended: bool,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The worker.
        worker: WorkerId,
        /// Whether it answered as healthy.
        ok: bool,
        /// Its load report.
        report: LoadReport,
    },
}
