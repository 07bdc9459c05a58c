//! Limits over all functions, and the reasons for which a job is rejected.

/// Limits on the jobs of all functions together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of jobs, including released ones.
    pub max_jobs: usize,
    /// Maximum memory of all jobs in bytes: their data plus [`JOB_OVERHEAD_BYTES`](crate::JOB_OVERHEAD_BYTES) per job.
    pub max_bytes: usize,
}

/// Why a job was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The function's queue for the job's priority is full.
    QueueFull,
    /// The limit on the number of jobs of all functions is reached.
    TooManyJobs,
    /// The limit on the memory of all jobs is reached.
    TooManyBytes,
    /// [`MAX_WAITERS`](crate::MAX_WAITERS) clients already wait for the job.
    TooManyWaiters,
    /// The function accepts no further jobs.
    Closed,
}

impl Rejection {
    /// The error text that is sent to the client.
    pub fn text(self) -> &'static str {
        match self {
            Rejection::QueueFull => "the queue of this function is full; try again later",
            Rejection::TooManyJobs => "too many jobs wait; try again later",
            Rejection::TooManyBytes => "the data of waiting jobs takes all memory for it; try again later",
            Rejection::TooManyWaiters => "too many wait for this job",
            Rejection::Closed => "this function is not taken any more",
        }
    }
}
