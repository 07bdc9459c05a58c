//! One job, from its submission to its end.

use crate::{Dependencies, JobId, Micros, Outcome};

/// A job to be submitted.
#[derive(Clone, Debug)]
pub struct NewJob<P> {
    /// Its id.
    pub id: JobId,
    /// Its tenant.
    pub tenant: usize,
    /// 0 is first; at most [`MAX_CLASSES`](crate::MAX_CLASSES) of them.
    pub class: usize,
    /// Not before this time of the wall clock.
    pub not_before: Option<Micros>,
    /// What it waits for.
    pub dependencies: Dependencies,
    /// The time until which it may wait for its release.
    pub deadline: Micros,
    /// The payload, which is returned with it.
    pub payload: P,
}

/// Why a job is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// There is a job with this id.
    #[error("there is a job with this id")]
    Duplicate,
    /// There are too many jobs in all.
    #[error("there are too many jobs")]
    Jobs,
    /// There are too many of this tenant.
    #[error("there are too many jobs of this tenant")]
    Tenant,
    /// It has too many prerequisites.
    #[error("it has too many prerequisites")]
    Prerequisites,
    /// Jobs would wait for one another in a cycle: these, in order.
    #[error("jobs would wait for one another in a cycle: {0:?}")]
    Cycle(Vec<JobId>),
    /// The chain of jobs that wait for one another would be too long.
    #[error("the chain of jobs that wait for one another would be too long")]
    TooDeep,
}

/// Why a job ended without a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// A prerequisite does not meet its condition: which one, and its outcome (none: it is unknown).
    Prerequisite(JobId, Option<Outcome>),
    /// Its deadline has passed.
    Limit,
    /// It was cancelled.
    Cancelled,
    /// The process ends.
    Drained,
}

/// A job that ended without a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedJob<P> {
    /// Its id.
    pub id: JobId,
    /// Why it ended.
    pub why: EndReason,
    /// Whether it ends without a notification, as its dependencies request.
    pub quietly: bool,
    /// The payload of its submission.
    pub payload: P,
}

/// A job that is released: it may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedJob<P> {
    /// Its id.
    pub id: JobId,
    /// Its tenant.
    pub tenant: usize,
    /// Its class.
    pub class: usize,
    /// Since when its prerequisites meet their conditions and its time has come.
    pub ready_since: Micros,
    /// The payload of its submission.
    pub payload: P,
}

/// The state of a job. [`Waiting::position`](crate::Waiting::position) returns its number in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Its time has not come.
    Scheduled,
    /// Its prerequisites are open.
    Held,
    /// It is in its tenant's queues.
    Ready,
    /// It was released and has not ended.
    Released,
}

/// A job that has not ended.
#[derive(Clone)]
pub(crate) struct Job<P> {
    pub id: JobId,
    pub tenant: usize,
    pub class: usize,
    pub state: State,
    pub not_before: Option<Micros>,
    pub dependencies: Dependencies,
    /// Prerequisites without an outcome.
    pub open_prerequisites: usize,
    pub deadline: Micros,
    pub ready_since: Micros,
    pub payload: Option<P>,
}
