//! The backlog of submitted jobs that have not ended.
//!
//! A [`Backlog`] holds the jobs of many functions in bounded queues by priority, joins submissions with the same
//! unique id, holds scheduled jobs until they are due, and releases the oldest jobs to the decision logic at the rate
//! at which workers can take them. It also queues rejected jobs again. It decides neither where a job runs nor whether
//! an attempt is repeated. It uses no I/O, clock or random source: times are passed as arguments, in microseconds.
//! `now` is the time on a monotonic clock, `wall` the time on the wall clock, which may step forwards or backwards.

mod bounds;
mod completion;
mod function;
mod invariants;
mod job;
mod release;
mod schedule;
mod submit;
mod timers;

pub use bounds::{Bounds, Rejection};
pub use function::{Counts, FunctionSettings, Window};
pub use job::{Cancellation, Completion, EndedJob, Ending, Job, NewJob, Released, State, Waiter};
pub use schedule::{CalendarFields, time_zone};

use function::FunctionQueues;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A time or a duration in microseconds.
pub type Micros = i64;
/// The number of a job, unique within a backlog.
pub type JobNo = u64;
/// The number of a client's connection.
pub type ClientNo = u64;

/// Maximum number of clients that wait for one job.
pub const MAX_WAITERS: usize = 256;
/// Initial and maximum backoff after a rejection, in microseconds. A function's jobs are not released during its
/// backoff, which ends early when a worker becomes free.
pub const BACKOFF_RANGE_US: [Micros; 2] = [5_000, 500_000];
/// Memory that is counted for each job in addition to its data, in bytes.
pub const JOB_OVERHEAD_BYTES: usize = 512;

/// The jobs of all functions. `W` is the caller's data about a waiting client, `P` the payload that is forwarded to a
/// worker.
pub struct Backlog<W, P> {
    bounds: Bounds,
    functions: Vec<FunctionQueues>,
    jobs: HashMap<JobNo, Job<W, P>>,
    by_unique: HashMap<(usize, Arc<[u8]>), JobNo>,
    by_client: HashMap<ClientNo, BTreeSet<JobNo>>,
    /// Scheduled jobs by their scheduled time, which is on the wall clock.
    scheduled: BTreeSet<(Micros, JobNo)>,
    /// Queued jobs by their wait deadline.
    wait_deadlines: BTreeSet<(Micros, JobNo)>,
    /// Functions that may have a job to release, with the earliest time of the release.
    ready_functions: BTreeMap<usize, Micros>,
    bytes: usize,
    next_no: JobNo,
    /// Virtual time of the fair queuing among functions, in releases. A function that becomes ready again starts at this
    /// time, so that it gets no credit for the time in which it had no jobs.
    virtual_time: u64,
}

impl<W, P> Backlog<W, P> {
    /// Creates an empty backlog without functions.
    pub fn new(bounds: Bounds) -> Backlog<W, P> {
        Backlog {
            bounds,
            functions: Vec::new(),
            jobs: HashMap::new(),
            by_unique: HashMap::new(),
            by_client: HashMap::new(),
            scheduled: BTreeSet::new(),
            wait_deadlines: BTreeSet::new(),
            ready_functions: BTreeMap::new(),
            bytes: 0,
            next_no: 1,
            virtual_time: 0,
        }
    }

    /// Adds a function and returns its index, which does not change.
    pub fn add(&mut self, function: FunctionSettings) -> usize {
        self.functions.push(FunctionQueues::new(function));
        self.functions.len() - 1
    }

    /// Replaces a function's settings, and reopens the function if it was closed; its jobs stay.
    pub fn reconfigure(&mut self, function: usize, settings: FunctionSettings) {
        self.functions[function].settings = settings;
        self.functions[function].closed = false;
        self.mark_ready_now(function);
    }

    /// Closes a function: further submissions are rejected, and its jobs stay.
    pub fn close(&mut self, function: usize) {
        self.functions[function].closed = true;
    }

    /// Sets the limits of a function's queues, by priority.
    pub fn set_max_queue(&mut self, function: usize, max_queue: [usize; 3]) {
        self.functions[function].settings.max_queue = max_queue;
    }

    /// The job and worker counts of a function.
    pub fn counts(&self, function: usize) -> Counts {
        self.functions[function].counts()
    }

    /// The settings of a function.
    pub fn settings(&self, function: usize) -> &FunctionSettings {
        &self.functions[function].settings
    }

    /// Number of jobs of all functions.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Memory of all jobs in bytes: their data plus [`JOB_OVERHEAD_BYTES`] per job.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The job with this number, unless it has ended.
    pub fn job(&self, no: JobNo) -> Option<&Job<W, P>> {
        self.jobs.get(&no)
    }

    /// The job of a function with this unique id; none for an empty id.
    pub fn by_unique(&self, function: usize, unique: &[u8]) -> Option<JobNo> {
        if unique.is_empty() {
            return None;
        }
        self.by_unique.get(&(function, Arc::from(unique))).copied()
    }

    /// All jobs, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (JobNo, &Job<W, P>)> {
        self.jobs.iter().map(|(no, job)| (*no, job))
    }

    /// Number of jobs for which this client waits.
    pub fn jobs_awaited_by(&self, client: ClientNo) -> usize {
        self.by_client.get(&client).map_or(0, BTreeSet::len)
    }
}
