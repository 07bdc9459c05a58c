//! One job, from its submission to its end.

use crate::{ClientNo, JobNo, Micros};
use std::sync::Arc;

/// Where a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its scheduled time has not been reached.
    Scheduled,
    /// It waits in its queue.
    Queued,
    /// Released to the decisions, under this stream.
    Released(u32),
}

/// A client that waits for a job.
#[derive(Clone, Debug)]
pub struct Waiter<W> {
    /// The client's connection.
    pub client: ClientNo,
    /// What the caller keeps of it.
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
    /// Where it is.
    pub state: State,
    /// When it was submitted.
    pub submitted_at: Micros,
    /// Until when it waits for a worker, by the monotonic clock; while it is scheduled, that time, by the wall clock.
    pub wait_deadline: Micros,
    /// Attempts that may have run.
    pub attempts: u32,
    /// Whether a worker runs it.
    pub running: bool,
    /// Its progress: numerator and denominator, both 0 if unknown.
    pub progress: (u64, u64),
    /// The reason that a worker gave for its failure.
    pub exception: Option<Vec<u8>>,
    /// Whether a worker reported that it failed.
    pub failed: bool,
    /// How often it was released.
    pub(crate) releases: u32,
    /// The version of its queue entry that counts; older ones are stale.
    pub(crate) entry_version: u32,
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
    /// Whether it outlives its client's connection; nobody waits for it then.
    pub background: bool,
    /// The clients that wait for it.
    pub waiter: Option<Waiter<W>>,
    /// The scheduled time, by the wall clock; none for at once.
    pub not_before: Option<Micros>,
    /// Bytes of its data.
    pub bytes: usize,
    /// What is forwarded to a worker.
    pub payload: Arc<P>,
}

/// A job that is released to the decisions.
pub struct Released<P> {
    /// Its number.
    pub no: JobNo,
    /// How often it was released before.
    pub earlier_releases: u32,
    /// Attempts that may have run before.
    pub attempts: u32,
    /// 0 (high) to 2 (low).
    pub priority: usize,
    /// Until when the decisions must have ended it.
    pub deadline: Micros,
    /// What is forwarded to a worker.
    pub payload: Arc<P>,
}

/// How the decisions ended a released job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a worker's result.
    Served,
    /// Rejected: it has not run.
    Rejected,
    /// Failed.
    Failed,
    /// Without an answer in time.
    TimedOut,
}

/// What becomes of a released job that the decisions have ended.
pub enum Completion<W> {
    /// It has ended.
    Final(EndedJob<W>),
    /// It is queued again.
    Requeued,
}

/// The result of a cancellation.
pub enum Cancellation<W> {
    /// It is cancelled. It was released under this stream, if it was released.
    Cancelled(EndedJob<W>, Option<u32>),
    /// Not cancelled: a worker runs it, or may have run it.
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
    /// The clients that wait for it.
    pub waiters: Vec<Waiter<W>>,
    /// The reason that a worker gave for its failure.
    pub exception: Option<Vec<u8>>,
    /// Attempts that may have run.
    pub attempts: u32,
    /// Whether a worker reported that it failed.
    pub failed: bool,
}

/// An entry of a queue. A job that leaves its queue, or moves to another one, leaves a stale entry behind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    pub no: JobNo,
    pub entry_version: u32,
}
