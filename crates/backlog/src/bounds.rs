//! Bounds over all functions, and why a job is rejected.

/// Bounds over all functions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most jobs, released ones included.
    pub jobs: usize,
    /// Most bytes of their data, [`JOB_BYTES`](crate::JOB_BYTES) a job included.
    pub bytes: usize,
}

/// Why a job was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its function's queue for its priority is full.
    Queue,
    /// There are too many jobs in all.
    Jobs,
    /// The data of all jobs takes too much memory.
    Bytes,
    /// Too many clients wait for it.
    Waiters,
    /// The function is closed.
    Closed,
}

impl Rejection {
    /// The text for the client.
    pub fn text(self) -> &'static str {
        match self {
            Rejection::Queue => "the queue of this function is full; try again later",
            Rejection::Jobs => "too many jobs wait; try again later",
            Rejection::Bytes => "the data of waiting jobs takes all memory for it; try again later",
            Rejection::Waiters => "too many wait for this job",
            Rejection::Closed => "this function is not taken any more",
        }
    }
}
