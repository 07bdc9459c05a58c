//! The data types of a job's life cycle.

use crate::{Dependencies, JobId, Micros, Outcome};

/// A job to be submitted.
#[derive(Clone, Debug)]
pub struct NewJob<P> {
    /// Its id.
    pub id: JobId,
    /// Its tenant.
    pub tenant: usize,
    /// Its priority class, from 0 (highest) to below [`MAX_CLASSES`](crate::MAX_CLASSES).
    pub class: usize,
    /// The earliest wall-clock time at which it may be released.
    pub not_before: Option<Micros>,
    /// Its prerequisites.
    pub dependencies: Dependencies,
    /// The monotonic time by which it must be released.
    pub deadline: Micros,
    /// Caller data, returned when the job is released or ends unreleased.
    pub payload: P,
}

/// Why a submission is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// A job with this id exists.
    #[error("a job with this id already exists")]
    Duplicate,
    /// The queue is full.
    #[error("the maximum number of jobs is reached")]
    TooManyJobs,
    /// The tenant has reached its limit.
    #[error("the maximum number of jobs of this tenant is reached")]
    TooManyTenantJobs,
    /// The job has more than [`MAX_PREREQUISITES`](crate::MAX_PREREQUISITES).
    #[error("the job has too many prerequisites")]
    TooManyPrerequisites,
    /// The job would close a dependency cycle; its jobs in order.
    #[error("the job would close a dependency cycle: {0:?}")]
    Cycle(Vec<JobId>),
    /// The dependency chain would exceed [`MAX_DEPTH`](crate::MAX_DEPTH).
    #[error("the dependency chain would be too long")]
    TooDeep,
}

/// Why a job ended without a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// A prerequisite does not meet its condition: its id and its outcome (`None` if it is unknown).
    PrerequisiteUnmet(JobId, Option<Outcome>),
    /// The job was not released before its deadline.
    DeadlineExceeded,
    /// The job was cancelled.
    Cancelled,
    /// The queue was drained on shutdown.
    Drained,
}

/// A job that ended without a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedJob<P> {
    /// Its id.
    pub id: JobId,
    /// Why it ended.
    pub reason: EndReason,
    /// Whether to send no notification ([`OnUnmet::DropSilently`](crate::OnUnmet::DropSilently)).
    pub silent: bool,
    /// The caller data of its submission.
    pub payload: P,
}

/// A released job, which may now run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedJob<P> {
    /// Its id.
    pub id: JobId,
    /// Its tenant.
    pub tenant: usize,
    /// Its class.
    pub class: usize,
    /// When it became ready: its prerequisites met their conditions and its start time had come.
    pub ready_since: Micros,
    /// The caller data of its submission.
    pub payload: P,
}

/// The state of a job. [`JobQueue::position`](crate::JobQueue::position) returns its discriminant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Its start time has not come.
    Scheduled,
    /// It has open prerequisites.
    Held,
    /// It is queued for release.
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
    /// Number of prerequisites without an outcome.
    pub open_prerequisites: usize,
    pub deadline: Micros,
    pub ready_since: Micros,
    pub payload: Option<P>,
}
