//! Jobs that were created and wait for the decisions to place them.
//!
//! A [`Backlog`] holds the jobs of many functions in bounded queues by priority, joins those with the same unique id,
//! keeps those with a set time until it comes, and hands the oldest to the decisions at the pace at which workers can
//! take them. It also takes back what the decisions turn away. It decides neither where a job runs nor whether an
//! attempt is repeated. No I/O, no clock and no random source: times come in as arguments, in microseconds; `now` is
//! a clock that never runs back, `wall` the wall clock, which may.

mod function;
mod job;
mod schedule;

pub use function::{Counts, Function, Window};
pub use job::{Ended, Job, State, Waiter};
pub use schedule::{Fields, zone};

use function::Queues;
use job::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Microseconds.
pub type Micros = i64;
/// A job's number: new with every job.
pub type JobNo = u64;
/// A client's connection.
pub type ClientNo = u64;

/// Most clients that wait for one job.
pub const WAITERS: usize = 256;
/// After a refusal a function's jobs rest for so long, at first and at most, unless a worker becomes free.
pub const REST: [Micros; 2] = [5_000, 500_000];
/// Bytes that a job takes beside its data.
pub const JOB_BYTES: usize = 512;

/// Bounds over all functions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most jobs that are waiting, or out.
    pub jobs: usize,
    /// Most bytes of their data, [`JOB_BYTES`] a job included.
    pub bytes: usize,
}

/// Why a job was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// Its function's queue for its priority is full.
    Queue,
    /// There are too many jobs in all.
    Jobs,
    /// Their data takes too much.
    Bytes,
    /// Too many clients wait for it.
    Waiters,
    /// The function is not taken any more.
    Closed,
}

impl Full {
    /// What to tell the client.
    pub fn text(self) -> &'static str {
        match self {
            Full::Queue => "the queue of this function is full; try again later",
            Full::Jobs => "too many jobs wait; try again later",
            Full::Bytes => "the data of waiting jobs takes all memory for it; try again later",
            Full::Waiters => "too many wait for this job",
            Full::Closed => "this function is not taken any more",
        }
    }
}

/// A job to be taken.
pub struct New<W, P> {
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

/// A job that is given to the decisions.
pub struct Released<P> {
    /// Its number.
    pub no: JobNo,
    /// How often it was given before.
    pub turn: u32,
    /// Attempts that may have run before.
    pub ran: u32,
    /// 0 (high) to 2 (low).
    pub priority: usize,
    /// When this try of it ends.
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

/// What becomes of it.
pub enum Fate<W> {
    /// This is its last word.
    Final(Ended<W>),
    /// It waits again.
    Again,
}

/// What came of a wish to cancel a job.
pub enum Cancel<W> {
    /// It is cancelled; it was out under this stream.
    Done(Ended<W>, Option<u32>),
    /// A worker has it.
    Runs,
    /// There is none of this number.
    Unknown,
}

/// The jobs of all functions. `W` is what is kept of a waiting client, `P` what is passed on to a worker.
pub struct Backlog<W, P> {
    bounds: Bounds,
    functions: Vec<Queues>,
    jobs: HashMap<JobNo, Job<W, P>>,
    by_unique: HashMap<(usize, Arc<[u8]>), JobNo>,
    by_client: HashMap<ClientNo, BTreeSet<JobNo>>,
    /// Jobs with a set time that has not come, by the wall clock.
    set: BTreeSet<(Micros, JobNo)>,
    /// Waiting jobs by the end of their patience.
    limits: BTreeSet<(Micros, JobNo)>,
    /// Functions that may have something to release, by the time from which on.
    able: BTreeMap<usize, Micros>,
    bytes: usize,
    next: JobNo,
    /// The turn at which functions are: who comes back starts from here, with no credit for its absence.
    turn: u64,
}

impl<W, P> Backlog<W, P> {
    /// An empty one.
    pub fn new(bounds: Bounds) -> Backlog<W, P> {
        Backlog {
            bounds,
            functions: Vec::new(),
            jobs: HashMap::new(),
            by_unique: HashMap::new(),
            by_client: HashMap::new(),
            set: BTreeSet::new(),
            limits: BTreeSet::new(),
            able: BTreeMap::new(),
            bytes: 0,
            next: 1,
            turn: 0,
        }
    }

    /// Adds a function; its index, which stays.
    pub fn add(&mut self, function: Function) -> usize {
        self.functions.push(Queues::new(function));
        self.functions.len() - 1
    }
    /// Takes new settings of a function over; its jobs stay.
    pub fn retell(&mut self, function: usize, set: Function) {
        self.functions[function].set = set;
        self.functions[function].closed = false;
        self.stir(function);
    }
    /// Takes no further jobs of a function; those it has are served.
    pub fn close(&mut self, function: usize) {
        self.functions[function].closed = true;
    }
    /// Sets the most that may wait, by priority.
    pub fn set_max_queue(&mut self, function: usize, max_queue: [usize; 3]) {
        self.functions[function].set.max_queue = max_queue;
    }
    /// A function's figures.
    pub fn counts(&self, function: usize) -> Counts {
        self.functions[function].counts()
    }
    /// Its settings.
    pub fn settings(&self, function: usize) -> &Function {
        &self.functions[function].set
    }
    /// Jobs in all.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
    /// Bytes that they take.
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
    /// Jobs for which a client waits.
    pub fn waits(&self, client: ClientNo) -> usize {
        self.by_client.get(&client).map_or(0, BTreeSet::len)
    }

    /// Whether a job would be taken.
    ///
    /// # Errors
    /// What is full, where it would not.
    pub fn has_room(&self, function: usize, priority: usize, bytes: usize) -> Result<(), Full> {
        let queues = &self.functions[function];
        if queues.closed {
            Err(Full::Closed)
        } else if queues.waiting(priority) >= queues.set.max_queue[priority] {
            Err(Full::Queue)
        } else if self.jobs.len() >= self.bounds.jobs {
            Err(Full::Jobs)
        } else if self.bytes + bytes + JOB_BYTES > self.bounds.bytes {
            Err(Full::Bytes)
        } else {
            Ok(())
        }
    }

    /// Takes a new job. One with the unique id of another must be [joined](Self::join) to that instead.
    ///
    /// # Errors
    /// What is full.
    pub fn submit(&mut self, new: New<W, P>, now: Micros) -> Result<JobNo, Full> {
        self.has_room(new.function, new.priority, new.bytes)?;
        let no = self.next;
        self.next += 1;
        let set = &self.functions[new.function].set;
        let unique: Arc<[u8]> = Arc::from(new.unique);
        let limit = now + if new.background { set.background } else { set.wait };
        let mut job = Job {
            function: new.function,
            priority: new.priority,
            unique: unique.clone(),
            background: new.background,
            waiters: Vec::new(),
            state: State::Set,
            came: now,
            limit,
            ran: 0,
            turns: 0,
            entry: 0,
            bytes: new.bytes + JOB_BYTES,
            running: false,
            done: (0, 0),
            exception: None,
            failed: false,
            payload: new.payload,
        };
        self.bytes += job.bytes;
        if !unique.is_empty() {
            let other = self.by_unique.insert((new.function, unique), no);
            debug_assert!(other.is_none(), "a unique id names one job");
        }
        if let Some(waiter) = new.waiter {
            self.by_client.entry(waiter.client).or_default().insert(no);
            job.waiters.push(waiter);
        }
        match new.not_before {
            Some(at) => {
                // Its patience counts from its time on: see `tick`. Until then its limit is that time.
                job.limit = at;
                self.functions[job.function].set_waiting[job.priority] += 1;
                self.set.insert((at, no));
                self.jobs.insert(no, job);
            }
            None => {
                self.limits.insert((limit, no));
                self.jobs.insert(no, job);
                self.enqueue(no, false);
            }
        }
        Ok(no)
    }

    /// Another submission of the same function and unique id: it waits for the job that is there, which takes the
    /// higher of the priorities, and stays when its clients leave if either is a background job.
    ///
    /// # Errors
    /// Where too many wait for it.
    pub fn join(
        &mut self,
        no: JobNo,
        priority: usize,
        background: bool,
        waiter: Option<Waiter<W>>,
    ) -> Result<(), Full> {
        let Some(job) = self.jobs.get_mut(&no) else { return Err(Full::Closed) };
        if waiter.is_some() && job.waiters.len() >= WAITERS {
            return Err(Full::Waiters);
        }
        if let Some(waiter) = waiter {
            self.by_client.entry(waiter.client).or_default().insert(no);
            job.waiters.push(waiter);
        }
        let queues = &mut self.functions[job.function];
        let was = job.background;
        job.background |= background;
        if background && !was && job.state != State::Set {
            let limit = job.came + queues.set.background;
            if self.limits.remove(&(job.limit, no)) {
                self.limits.insert((limit.max(job.limit), no));
            }
            job.limit = limit.max(job.limit);
        }
        if priority < job.priority && job.state == State::Queued {
            queues.queued[job.priority] -= 1;
            job.priority = priority;
            self.enqueue(no, false);
        }
        Ok(())
    }

    fn enqueue(&mut self, no: JobNo, first: bool) {
        let Some(job) = self.jobs.get_mut(&no) else { return };
        let queues = &mut self.functions[job.function];
        job.state = State::Queued;
        job.entry += 1;
        queues.queued[job.priority] += 1;
        let entry = Entry { no, entry: job.entry };
        match first {
            true => queues.lines[job.priority].push_front(entry),
            false => queues.lines[job.priority].push_back(entry),
        }
        let function = job.function;
        queues
            .sweep(|e| self.jobs.get(&e.no).is_some_and(|j| j.state == State::Queued && j.entry == e.entry));
        self.wake(function, self.functions[function].rest_until);
    }

    /// A function may have something to release from a time on.
    fn wake(&mut self, function: usize, from: Micros) {
        let turn = self.turn;
        let queues = &mut self.functions[function];
        self.able.entry(function).or_insert_with(|| {
            queues.served = queues.served.max(turn);
            from
        });
    }

    /// Something changed for a function: look at it again at once.
    fn stir(&mut self, function: usize) {
        let queues = &mut self.functions[function];
        (queues.rest, queues.rest_until) = (0, 0);
        if queues.queued.iter().any(|n| *n > 0) {
            self.wake(function, 0);
            self.able.insert(function, 0);
        }
    }

    /// How many workers take a function, how many of these are free for it, and how many have a job of it.
    pub fn set_workers(&mut self, function: usize, able: usize, free: usize, engaged: usize) {
        let queues = &mut self.functions[function];
        let more = free > queues.free || able > queues.able;
        (queues.able, queues.free, queues.engaged) = (able, free, engaged);
        if more {
            self.stir(function);
        }
    }

    /// When a job may be released at the soonest; `None` while there is none.
    pub fn release_at(&self) -> Option<Micros> {
        self.able.values().min().copied()
    }

    /// The next job for the decisions, under the stream that the caller names; functions take turns.
    pub fn release(&mut self, now: Micros, stream: impl FnOnce() -> u32) -> Option<Released<P>> {
        loop {
            let (&function, _) = self.able.iter().filter(|f| *f.1 <= now).min_by_key(|f| {
                let queues = &self.functions[*f.0];
                (queues.served, *f.0)
            })?;
            if let Some(no) = self.take_first(function) {
                return Some(self.hand_out(no, now, stream()));
            }
            self.able.remove(&function);
        }
    }

    fn take_first(&mut self, function: usize) -> Option<JobNo> {
        let queues = &mut self.functions[function];
        if queues.out >= queues.window() {
            return None;
        }
        for (priority, line) in queues.lines.iter_mut().enumerate() {
            while let Some(entry) = line.pop_front() {
                let live = self.jobs.get(&entry.no);
                if live.is_some_and(|j| j.state == State::Queued && j.entry == entry.entry) {
                    queues.queued[priority] -= 1;
                    return Some(entry.no);
                }
            }
        }
        None
    }

    fn hand_out(&mut self, no: JobNo, now: Micros, stream: u32) -> Released<P> {
        let job = self.jobs.get_mut(&no).expect("a queued job");
        let queues = &mut self.functions[job.function];
        self.turn = self.turn.max(queues.served);
        queues.served += 1;
        queues.out += 1;
        self.limits.remove(&(job.limit, no));
        job.state = State::Out(stream);
        job.turns += 1;
        job.failed = false;
        let deadline = now + queues.set.run[job.background as usize];
        Released {
            no,
            turn: job.turns - 1,
            ran: job.ran,
            priority: job.priority,
            deadline,
            payload: job.payload.clone(),
        }
    }

    /// The decisions ended a job that was released; `ran` attempts of this turn may have run, and `repeat` says
    /// whether a repeat of what may have run is harmless. Nothing for a job that was cancelled, or left, meanwhile.
    pub fn ended(
        &mut self,
        no: JobNo,
        stream: u32,
        ending: Ending,
        ran: u32,
        repeat: bool,
        now: Micros,
    ) -> Option<Fate<W>> {
        let job = self.jobs.get_mut(&no).filter(|j| j.state == State::Out(stream))?;
        let queues = &mut self.functions[job.function];
        job.ran += ran;
        let (running, function) = (std::mem::take(&mut job.running), job.function);
        queues.out -= 1;
        queues.running -= running as usize;
        let keeps = queues.set.queued || job.background;
        let may_again = keeps && (job.ran == 0 || repeat) && job.ran < queues.set.attempts && now < job.limit;
        let again = match ending {
            Ending::Served => false,
            // A worker's own word, unless none ever had it.
            Ending::Failed => may_again && job.ran == 0,
            Ending::Refused | Ending::TimedOut => may_again,
        };
        if !again {
            if queues.queued.iter().any(|n| *n > 0) {
                // There may be room for the next one now.
                let from = queues.rest_until;
                self.wake(function, from);
            }
            return self.remove(no).map(Fate::Final);
        }
        if ending != Ending::TimedOut || ran == 0 {
            queues.rest = (queues.rest * 2).clamp(REST[0], REST[1]);
            queues.rest_until = now + queues.rest;
            self.able.insert(function, queues.rest_until);
        }
        self.limits.insert((job.limit, no));
        self.enqueue(no, true);
        Some(Fate::Again)
    }

    /// A worker took a job, or handed it back.
    pub fn set_running(&mut self, no: JobNo, stream: u32, runs: bool) {
        let Some(job) = self.jobs.get_mut(&no).filter(|j| j.state == State::Out(stream)) else { return };
        let queues = &mut self.functions[job.function];
        if runs && !job.running {
            (queues.rest, queues.rest_until) = (0, 0);
            queues.running += 1;
        } else if !runs && job.running {
            queues.running -= 1;
        }
        job.running = runs;
    }

    /// How far a job is.
    pub fn set_done(&mut self, no: JobNo, numerator: u64, denominator: u64) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.done = (numerator, denominator);
        }
    }

    /// What a worker said of its failure.
    pub fn set_exception(&mut self, no: JobNo, said: Vec<u8>) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.exception = Some(said);
        }
    }

    /// A worker said that a job failed.
    pub fn set_failed(&mut self, no: JobNo) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.failed = true;
        }
    }

    /// A run took so long: how many jobs are released ahead goes by the mean of these.
    pub fn took(&mut self, function: usize, span: Micros) {
        self.functions[function].took(span);
    }

    /// Takes a job out of all indexes.
    fn remove(&mut self, no: JobNo) -> Option<Ended<W>> {
        let job = self.jobs.remove(&no)?;
        self.bytes -= job.bytes;
        if !job.unique.is_empty() {
            self.by_unique.remove(&(job.function, job.unique.clone()));
        }
        for waiter in &job.waiters {
            if let Some(jobs) = self.by_client.get_mut(&waiter.client) {
                jobs.remove(&no);
                if jobs.is_empty() {
                    self.by_client.remove(&waiter.client);
                }
            }
        }
        self.limits.remove(&(job.limit, no));
        Some(Ended {
            no,
            function: job.function,
            unique: job.unique,
            background: job.background,
            waiters: job.waiters,
            exception: job.exception,
            ran: job.ran,
            failed: job.failed,
        })
    }

    /// Takes a waiting job out of its queue's count.
    fn unqueue(&mut self, no: JobNo) {
        let Some(job) = self.jobs.get(&no) else { return };
        let queues = &mut self.functions[job.function];
        match job.state {
            State::Queued => queues.queued[job.priority] -= 1,
            State::Set => {
                queues.set_waiting[job.priority] -= 1;
                self.set.remove(&(job.limit, no));
            }
            State::Out(_) => {
                queues.out -= 1;
                queues.running -= job.running as usize;
                if queues.queued.iter().any(|n| *n > 0) {
                    let function = job.function;
                    self.wake(function, 0);
                }
            }
        }
    }

    /// A client left: its jobs that nobody else waits for are given up, but for background ones. Those that are out
    /// are named by their streams.
    pub fn leave(&mut self, client: ClientNo) -> Vec<u32> {
        let mut left = Vec::new();
        for no in self.by_client.remove(&client).unwrap_or_default() {
            let Some(job) = self.jobs.get_mut(&no) else { continue };
            job.waiters.retain(|w| w.client != client);
            if !job.waiters.is_empty() || job.background {
                continue;
            }
            if let State::Out(stream) = job.state {
                left.push(stream);
            }
            self.unqueue(no);
            self.remove(no);
        }
        left
    }

    /// Cancels a job that no worker has.
    pub fn cancel(&mut self, no: JobNo) -> Cancel<W> {
        let Some(job) = self.jobs.get(&no) else { return Cancel::Unknown };
        if job.running || job.ran > 0 {
            return Cancel::Runs;
        }
        let stream = if let State::Out(stream) = job.state { Some(stream) } else { None };
        self.unqueue(no);
        self.remove(no).map_or(Cancel::Unknown, |ended| Cancel::Done(ended, stream))
    }

    /// Lets time pass: jobs whose set time has come are queued, and those that waited too long end. The wall clock
    /// may step either way; a job that was queued stays so.
    pub fn tick(&mut self, now: Micros, wall: Micros) -> Vec<Ended<W>> {
        while let Some((at, no)) = self.set.first().copied().filter(|s| s.0 <= wall) {
            self.set.remove(&(at, no));
            if let Some(job) = self.jobs.get_mut(&no) {
                let queues = &mut self.functions[job.function];
                queues.set_waiting[job.priority] -= 1;
                job.limit = now + if job.background { queues.set.background } else { queues.set.wait };
                self.limits.insert((job.limit, no));
                self.enqueue(no, false);
            }
        }
        let mut late = Vec::new();
        while let Some((_, no)) = self.limits.first().copied().filter(|l| l.0 <= now) {
            self.unqueue(no);
            late.extend(self.remove(no));
        }
        late
    }

    /// When time has something to do next: on the clock, and on the wall clock.
    pub fn due(&self) -> (Option<Micros>, Option<Micros>) {
        (self.limits.first().map(|l| l.0), self.set.first().map(|s| s.0))
    }

    /// Ends all jobs that are not out: the process ends.
    pub fn drain(&mut self) -> Vec<Ended<W>> {
        let waiting = |job: &Job<W, P>| !matches!(job.state, State::Out(_));
        let mut all: Vec<JobNo> = self.jobs.iter().filter(|j| waiting(j.1)).map(|j| *j.0).collect();
        all.sort_unstable();
        all.into_iter()
            .filter_map(|no| {
                self.unqueue(no);
                self.remove(no)
            })
            .collect()
    }

    /// Checks that counts and indexes agree.
    ///
    /// # Panics
    /// Where they do not.
    pub fn check(&self) {
        for (f, queues) in self.functions.iter().enumerate() {
            let of = |state: fn(&State) -> bool| {
                self.jobs.values().filter(move |j| j.function == f && state(&j.state))
            };
            let by = |jobs: &mut dyn Iterator<Item = &Job<W, P>>| {
                let mut n = [0; 3];
                jobs.for_each(|j| n[j.priority] += 1);
                n
            };
            assert_eq!(queues.queued, by(&mut of(|s| *s == State::Queued)), "queued of {f}");
            assert_eq!(queues.set_waiting, by(&mut of(|s| *s == State::Set)), "set of {f}");
            assert_eq!(queues.out, of(|s| matches!(s, State::Out(_))).count(), "out of {f}");
            assert_eq!(queues.running, of(|_| true).filter(|j| j.running).count(), "running of {f}");
        }
        assert_eq!(self.bytes, self.jobs.values().map(|j| j.bytes).sum::<usize>());
        assert_eq!(self.set.len(), self.jobs.values().filter(|j| j.state == State::Set).count());
        assert_eq!(self.limits.len(), self.jobs.values().filter(|j| j.state == State::Queued).count());
        assert_eq!(self.by_unique.len(), self.jobs.values().filter(|j| !j.unique.is_empty()).count());
        for (client, jobs) in &self.by_client {
            assert!(!jobs.is_empty(), "client {client} waits for nothing");
            assert!(jobs.iter().all(|no| self.jobs[no].waiters.iter().any(|w| w.client == *client)));
        }
    }
}
