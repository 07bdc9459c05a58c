//! One job, from its submission to its end.

use crate::{ClientNo, JobNo, Micros};
use std::sync::Arc;

/// Where a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its scheduled time has not come.
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
    pub with: W,
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
    /// It outlives its clients' connections.
    pub background: bool,
    /// Who waits for it.
    pub waiters: Vec<Waiter<W>>,
    /// Where it is.
    pub state: State,
    /// When it was submitted.
    pub came: Micros,
    /// When it has waited too long; while it is scheduled, that time instead, by the wall clock.
    pub wait_deadline: Micros,
    /// Attempts that may have run.
    pub attempts: u32,
    /// A worker has it.
    pub running: bool,
    /// How far it is: numerator and denominator.
    pub progress: (u64, u64),
    /// What a worker said of its failure.
    pub exception: Option<Vec<u8>>,
    /// A worker said that it failed.
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
    /// Nobody waits for it, and it outlives its client's connection.
    pub background: bool,
    /// Who waits for it.
    pub waiter: Option<Waiter<W>>,
    /// Not before this time of the wall clock.
    pub not_before: Option<Micros>,
    /// Bytes of its data.
    pub bytes: usize,
    /// What is passed on.
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
    /// When the decisions are to have ended it.
    pub deadline: Micros,
    /// What is passed on.
    pub payload: Arc<P>,
}

/// How the decisions ended a released job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a worker's result.
    Served,
    /// Turned away; trying again is harmless.
    Refused,
    /// Failed.
    Failed,
    /// No answer in time.
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
    /// It is cancelled; it was released under this stream, if any.
    Cancelled(EndedJob<W>, Option<u32>),
    /// A worker has it, or may have had it.
    Running,
    /// There is none of this number.
    Unknown,
}

/// A job that has ended, with those who are to be told.
#[derive(Debug)]
pub struct EndedJob<W> {
    /// Its number.
    pub no: JobNo,
    /// Its function's index.
    pub function: usize,
    /// Its unique id; empty for none.
    pub unique: Arc<[u8]>,
    /// It was a background job.
    pub background: bool,
    /// Who waits for it.
    pub waiters: Vec<Waiter<W>>,
    /// What a worker said of its failure.
    pub exception: Option<Vec<u8>>,
    /// Attempts that may have run.
    pub attempts: u32,
    /// A worker said that it failed.
    pub failed: bool,
}

/// An entry of a queue. A job that leaves its queue, or moves to another, leaves a stale entry behind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    pub no: JobNo,
    pub entry_version: u32,
}
