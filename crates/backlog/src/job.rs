//! One job.

use crate::{ClientNo, JobNo, Micros};
use std::sync::Arc;

/// Where a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its set time has not come.
    Set,
    /// It waits in its queue.
    Queued,
    /// The decisions have it, under this stream.
    Out(u32),
}

/// A client that waits.
#[derive(Clone, Debug)]
pub struct Waiter<W> {
    /// Its connection.
    pub client: ClientNo,
    /// What is kept of it.
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
    /// When it came.
    pub came: Micros,
    /// When it has waited too long; before its set time that time, by the wall clock.
    pub limit: Micros,
    /// Attempts that may have run.
    pub ran: u32,
    /// A worker has it.
    pub running: bool,
    /// How far it is: numerator and denominator.
    pub done: (u64, u64),
    /// What a worker said of its failure.
    pub exception: Option<Vec<u8>>,
    /// A worker said that it failed.
    pub failed: bool,
    pub(crate) turns: u32,
    pub(crate) entry: u32,
    pub(crate) bytes: usize,
    pub(crate) payload: Arc<P>,
}

/// What is left of a job that has ended, for its last words.
#[derive(Debug)]
pub struct Ended<W> {
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
    pub ran: u32,
    /// A worker said that it failed.
    pub failed: bool,
}

/// A place in a line. A job that left the line, or moved to another, leaves its place behind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub no: JobNo,
    pub entry: u32,
}
