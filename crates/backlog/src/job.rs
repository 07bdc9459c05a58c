//! The data of a job, from its submission to its end.

use crate::{ClientNo, JobNo, Micros};
use std::sync::Arc;

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its scheduled time has not been reached.
    Scheduled,
    /// It waits in a queue of its function.
    Queued,
    /// It has been released to the decision logic under this stream.
    Released(u32),
}

/// A client that waits for a job.
#[derive(Clone, Debug)]
pub struct Waiter<W> {
    /// The client's connection.
    pub client: ClientNo,
    /// Data that the caller keeps about the client.
    pub context: W,
}

/// A job that has not ended.
#[derive(Debug)]
pub struct Job<W, P> {
    /// Its function's index.
    pub function: usize,
    /// 0 (high) to 2 (low).
    pub priority: usize,
    /// Its unique id; empty for none.
    pub unique: Arc<[u8]>,
    /// Whether it outlives its clients' connections.
    pub background: bool,
    /// The clients that wait for it.
    pub waiters: Vec<Waiter<W>>,
    /// Its state.
    pub state: State,
    /// When it was submitted.
    pub submitted_at: Micros,
    /// Until when it waits for a worker, on the monotonic clock; for a scheduled job, its scheduled time, on the wall
    /// clock.
    pub wait_deadline: Micros,
    /// Attempts that may have run.
    pub attempts: u32,
    /// Whether a worker is running it.
    pub running: bool,
    /// Its progress: numerator and denominator, both 0 if unknown.
    pub progress: (u64, u64),
    /// The reason that a worker gave for its failure.
    pub exception: Option<Vec<u8>>,
    /// Whether a worker reported that it failed.
    pub failed: bool,
    /// Number of its releases.
    pub(crate) release_count: u32,
    /// Version of its current queue entry; entries with an older version are stale.
    pub(crate) entry_version: u32,
    /// Its memory: its data plus the overhead of a job.
    pub(crate) bytes: usize,
    pub(crate) payload: Arc<P>,
}

/// A job to be submitted.
pub struct NewJob<W, P> {
    /// Its function's index.
    pub function: usize,
    /// 0 (high) to 2 (low).
    pub priority: usize,
    /// Its unique id; empty for none.
    pub unique: Vec<u8>,
    /// Whether it outlives its client's connection.
    pub background: bool,
    /// The client that waits for it; none for a background job.
    pub waiter: Option<Waiter<W>>,
    /// The scheduled time, on the wall clock; none for a job that may start at once.
    pub not_before: Option<Micros>,
    /// Bytes of its data.
    pub bytes: usize,
    /// What is forwarded to a worker.
    pub payload: Arc<P>,
}

/// A job that is released to the decision logic.
pub struct Released<P> {
    /// Its number.
    pub no: JobNo,
    /// Number of its earlier releases.
    pub earlier_releases: u32,
    /// Attempts of earlier releases that may have run.
    pub attempts: u32,
    /// 0 (high) to 2 (low).
    pub priority: usize,
    /// Deadline for the end of this release.
    pub deadline: Micros,
    /// What is forwarded to a worker.
    pub payload: Arc<P>,
}

/// The decision logic's result for a released job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A worker has returned a result.
    Served,
    /// It was rejected and has not run.
    Rejected,
    /// It has failed.
    Failed,
    /// No answer was received in time.
    TimedOut,
}

/// What [`Backlog::complete`](crate::Backlog::complete) has done with a released job.
pub enum Completion<W> {
    /// It has ended.
    Final(EndedJob<W>),
    /// It has been queued again.
    Requeued,
}

/// The result of a cancellation.
pub enum Cancellation<W> {
    /// The job has been cancelled. The stream is that of its release, if it was released.
    Cancelled(EndedJob<W>, Option<u32>),
    /// Not cancelled: a worker is running the job, or may have run it.
    Running,
    /// There is no job with this number.
    Unknown,
}

/// A job that has ended, with the clients to notify.
#[derive(Debug)]
pub struct EndedJob<W> {
    /// Its number.
    pub no: JobNo,
    /// Its function's index.
    pub function: usize,
    /// Its unique id; empty for none.
    pub unique: Arc<[u8]>,
    /// Whether it was a background job.
    pub background: bool,
    /// The clients that waited for it.
    pub waiters: Vec<Waiter<W>>,
    /// The reason that a worker gave for its failure.
    pub exception: Option<Vec<u8>>,
    /// Attempts that may have run.
    pub attempts: u32,
    /// Whether a worker reported that it failed.
    pub failed: bool,
}

/// An entry of a queue. When a job is removed from its queue or moves to another one, its old entry stays there as a
/// stale entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    pub no: JobNo,
    pub entry_version: u32,
}
