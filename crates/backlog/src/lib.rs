//! Submitted jobs that wait for the decisions to place them.
//!
//! A [`Backlog`] holds the jobs of many functions in bounded queues by priority, joins those with the same unique id,
//! keeps scheduled ones until their time comes, and releases the oldest to the decisions at the pace at which workers
//! can take them. It also queues rejected jobs again. It decides neither where a job runs nor whether an attempt is
//! repeated. No I/O, no clock and no random source: times come in as arguments, in microseconds; `now` is
//! a monotonic clock, `wall` the wall clock, which may step either way.

mod bounds;
mod completion;
mod function;
mod invariants;
mod job;
mod release;
mod schedule;
mod submit;
mod time;

pub use bounds::{Bounds, Rejection};
pub use function::{Counts, FunctionSettings, Window};
pub use job::{Cancellation, Completion, EndedJob, Ending, Job, NewJob, Released, State, Waiter};
pub use schedule::{CalendarFields, time_zone};

use function::FunctionQueues;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Microseconds.
pub type Micros = i64;
/// The number of a job: another for each job.
pub type JobNo = u64;
/// The number of a client's connection.
pub type ClientNo = u64;

/// Most clients that wait for one job.
pub const MAX_WAITERS: usize = 256;
/// Backoff after a rejection, at first and at most, in microseconds: for so long a function's jobs are not released,
/// unless a worker becomes free.
pub const BACKOFF: [Micros; 2] = [5_000, 500_000];
/// Bytes that a job takes beside its data.
pub const JOB_BYTES: usize = 512;

/// The jobs of all functions. `W` is what the caller keeps of a waiting client, `P` what is forwarded to a worker.
pub struct Backlog<W, P> {
    bounds: Bounds,
    functions: Vec<FunctionQueues>,
    jobs: HashMap<JobNo, Job<W, P>>,
    by_unique: HashMap<(usize, Arc<[u8]>), JobNo>,
    by_client: HashMap<ClientNo, BTreeSet<JobNo>>,
    /// Scheduled jobs by their time, which is one of the wall clock.
    scheduled: BTreeSet<(Micros, JobNo)>,
    /// Queued jobs by their wait deadline.
    wait_deadlines: BTreeSet<(Micros, JobNo)>,
    /// Functions that may have a job to release, with the earliest time of that.
    ready_functions: BTreeMap<usize, Micros>,
    bytes: usize,
    next_no: JobNo,
    /// Virtual time among functions, counted in releases: a function that becomes ready again starts from here, with no
    /// credit for the time in which it had no jobs.
    virtual_time: u64,
}

impl<W, P> Backlog<W, P> {
    /// An empty backlog without functions.
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

    /// Adds a function; returns its index, which stays.
    pub fn add(&mut self, function: FunctionSettings) -> usize {
        self.functions.push(FunctionQueues::new(function));
        self.functions.len() - 1
    }

    /// Replaces a function's settings, and opens it if it was closed; its jobs stay.
    pub fn reconfigure(&mut self, function: usize, settings: FunctionSettings) {
        self.functions[function].settings = settings;
        self.functions[function].closed = false;
        self.reconsider(function);
    }

    /// Closes a function: it accepts no further jobs; those it has stay.
    pub fn close(&mut self, function: usize) {
        self.functions[function].closed = true;
    }

    /// Sets the bounds of a function's queues, by priority.
    pub fn set_max_queue(&mut self, function: usize, max_queue: [usize; 3]) {
        self.functions[function].settings.max_queue = max_queue;
    }

    /// The counts of a function.
    pub fn counts(&self, function: usize) -> Counts {
        self.functions[function].counts()
    }

    /// A function's settings.
    pub fn settings(&self, function: usize) -> &FunctionSettings {
        &self.functions[function].settings
    }

    /// Number of jobs, of all functions.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Memory of all jobs, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// A job.
    pub fn job(&self, no: JobNo) -> Option<&Job<W, P>> {
        self.jobs.get(&no)
    }

    /// The job with a unique id.
    pub fn by_unique(&self, function: usize, unique: &[u8]) -> Option<JobNo> {
        if unique.is_empty() {
            return None;
        }
        self.by_unique.get(&(function, Arc::from(unique))).copied()
    }

    /// All jobs, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (JobNo, &Job<W, P>)> {
        self.jobs.iter().map(|(no, job)| (*no, job))
    }

    /// Number of jobs for which a client waits.
    pub fn jobs_awaited_by(&self, client: ClientNo) -> usize {
        self.by_client.get(&client).map_or(0, BTreeSet::len)
    }
}
