//! Jobs that are held until their condition is met, and then released in an order that is fair and bounded.
//!
//! [`Waiting`] holds a job until its time has come and its prerequisites have become what it wants of them, then queues
//! it with its tenant. [`release`](Waiting::release) takes turns among tenants by their shares; within a tenant the
//! first class goes first, but each [`AGEING`]th job is the one that has waited longest. A job that ends without a
//! release is told once. No I/O, no clock and no random source: `now` is a clock in microseconds that never runs back,
//! `wall` the wall clock, which may.
//!
//! # The longest wait
//!
//! While a tenant with share `s` of a sum `S` has at most `q` jobs queued and `c` jobs a second are released in all, a
//! queued job leaves within `(AGEING * q + tenants) * S / (s * c)` seconds: see [`Waiting::longest_wait`]. Shares that
//! are not used go to the others at once, so this is the worst.

mod graph;
mod lines;

pub use graph::{Became, Depends, Need, Otherwise, Unknown, Wants};

use lines::Lines;
use slab::Slab;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Microseconds.
pub type Micros = i64;
/// A job's id, given by the caller; free again once it has ended.
pub type JobId = u64;

/// Of a tenant's releases each of this number is the job that has waited longest, whatever its class.
pub const AGEING: u32 = 4;
/// Most prerequisites of one job.
pub const PREREQUISITES: usize = 16;
/// Longest chain of jobs that wait for one another.
pub const DEPTH: usize = 16;
/// Most classes.
pub const CLASSES: usize = 8;

/// Bounds and shares.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The tenants' shares, above 0. A tenant beyond these counts as the last.
    pub shares: Vec<f64>,
    /// Most jobs in all.
    pub jobs: usize,
    /// Most jobs of one tenant.
    pub per_tenant: usize,
    /// How many outcomes of ended jobs are kept, and for how long.
    pub outcomes: usize,
    /// See `outcomes`.
    pub keep: Micros,
}

/// A job to be held.
#[derive(Clone, Debug)]
pub struct New<P> {
    /// Its id.
    pub id: JobId,
    /// Whose it is.
    pub tenant: usize,
    /// 0 is first; at most [`CLASSES`] of them.
    pub class: usize,
    /// Not before this time of the wall clock.
    pub not_before: Option<Micros>,
    /// What it waits for.
    pub depends: Depends,
    /// When it has waited too long.
    pub limit: Micros,
    /// What is handed out with it.
    pub payload: P,
}

/// Why a job is turned away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// There is a job of this id.
    Duplicate,
    /// There are too many jobs in all.
    Jobs,
    /// There are too many of this tenant.
    Tenant,
    /// It has too many prerequisites.
    Prerequisites,
    /// Jobs would wait for one another in a ring: these, in order.
    Ring(Vec<JobId>),
    /// The chain of jobs that wait for one another would be too long.
    Deep,
}

/// Why a job ended without a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// A prerequisite has not become what it wants: which one, and what it became (none: it is unknown).
    Prerequisite(JobId, Option<Became>),
    /// It waited too long.
    Limit,
    /// It was cancelled.
    Cancelled,
    /// The process ends.
    Drained,
}

/// A job that ended without a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended<P> {
    /// Its id.
    pub id: JobId,
    /// Why.
    pub why: Why,
    /// It ends without a word, as it asked for.
    pub quietly: bool,
    /// What it came with.
    pub payload: P,
}

/// A job that may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released<P> {
    /// Its id.
    pub id: JobId,
    /// Whose it is.
    pub tenant: usize,
    /// Its class.
    pub class: usize,
    /// Since when its condition is met.
    pub ready: Micros,
    /// What it came with.
    pub payload: P,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Its time has not come.
    Timed,
    /// Its prerequisites are open.
    Held,
    /// It is in its tenant's lines.
    Ready,
    /// It was released and has not ended.
    Out,
}

#[derive(Clone)]
struct Job<P> {
    id: JobId,
    tenant: usize,
    class: usize,
    state: State,
    not_before: Option<Micros>,
    depends: Depends,
    /// Prerequisites that are open.
    open: usize,
    limit: Micros,
    ready: Micros,
    payload: Option<P>,
}

#[derive(Clone)]
struct Tenant {
    lines: Lines,
    share: f64,
    /// Its turn in virtual time.
    turn: f64,
    /// Releases since the last that went by age.
    since_aged: u32,
    jobs: usize,
}

/// The jobs.
#[derive(Clone)]
pub struct Waiting<P> {
    set: Settings,
    jobs: Slab<Job<P>>,
    links: lines::Links,
    by_id: HashMap<JobId, usize>,
    /// Jobs that wait for an id, whether that is here or yet to come.
    waiters: HashMap<JobId, Vec<usize>>,
    tenants: Vec<Tenant>,
    /// Tenants that have jobs ready, by their turn; its bits order as numbers do, as it is never below 0.
    turns: BTreeSet<(u64, usize)>,
    turn: f64,
    timed: BTreeSet<(Micros, usize)>,
    limits: BTreeSet<(Micros, usize)>,
    became: HashMap<JobId, Became>,
    outcomes: VecDeque<(Micros, JobId)>,
}

impl<P> Waiting<P> {
    /// None yet.
    ///
    /// # Panics
    /// Without shares, or with one that is not above 0.
    pub fn new(set: Settings) -> Waiting<P> {
        assert!(!set.shares.is_empty() && set.shares.iter().all(|s| *s > 0.0 && s.is_finite()));
        let tenant = |share: &f64| Tenant {
            lines: Lines::default(),
            share: *share,
            turn: 0.0,
            since_aged: 0,
            jobs: 0,
        };
        Waiting {
            tenants: set.shares.iter().map(tenant).collect(),
            set,
            jobs: Slab::new(),
            links: lines::Links::default(),
            by_id: HashMap::new(),
            waiters: HashMap::new(),
            turns: BTreeSet::new(),
            turn: 0.0,
            timed: BTreeSet::new(),
            limits: BTreeSet::new(),
            became: HashMap::new(),
            outcomes: VecDeque::new(),
        }
    }

    /// New shares, for the same tenants; the order of what waits follows them from now on.
    ///
    /// # Panics
    /// With other tenants, or a share that is not above 0.
    pub fn set_shares(&mut self, shares: &[f64]) {
        assert_eq!(shares.len(), self.tenants.len());
        assert!(shares.iter().all(|s| *s > 0.0 && s.is_finite()));
        self.tenants.iter_mut().zip(shares).for_each(|(t, s)| t.share = *s);
        self.set.shares = shares.to_vec();
    }

    /// Jobs that are held, ready or out.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
    /// Where a job is: 0 before its time, 1 held, 2 ready, 3 out, with its open prerequisites; none if there is none.
    pub fn standing(&self, id: JobId) -> Option<(u8, usize)> {
        let job = &self.jobs[*self.by_id.get(&id)?];
        Some((job.state as u8, job.open))
    }
    /// What became of a job that ended, while that is kept.
    pub fn outcome(&self, id: JobId) -> Option<Became> {
        self.became.get(&id).copied()
    }
    /// Jobs of a tenant that are ready.
    pub fn ready(&self, tenant: usize) -> usize {
        self.tenants[tenant].lines.len
    }

    /// The longest that a tenant's job waits once its condition is met, in microseconds, where so many of its jobs are
    /// queued at most and so many jobs a second are released in all.
    pub fn longest_wait(&self, tenant: usize, queued: usize, per_second: f64) -> Micros {
        let sum: f64 = self.tenants.iter().map(|t| t.share).sum();
        let own = self.tenants[tenant].share / sum;
        let turns = (AGEING as usize * queued + self.tenants.len()) as f64;
        (turns / (own * per_second) * 1e6).ceil() as Micros
    }

    /// Takes a job. It may end at once, where a prerequisite has not become what it wants: then it is returned, with
    /// those that wait for it.
    ///
    /// # Errors
    /// Why it is turned away.
    pub fn submit(&mut self, new: New<P>, now: Micros, wall: Micros) -> Result<Vec<Ended<P>>, Refused> {
        let tenant = new.tenant.min(self.tenants.len() - 1);
        if self.by_id.contains_key(&new.id) {
            return Err(Refused::Duplicate);
        }
        if self.jobs.len() >= self.set.jobs {
            return Err(Refused::Jobs);
        }
        if self.tenants[tenant].jobs >= self.set.per_tenant {
            return Err(Refused::Tenant);
        }
        if new.depends.on.len() > PREREQUISITES {
            return Err(Refused::Prerequisites);
        }
        self.check_chain(&new)?;
        // A new job of an id that ended before is another one.
        self.became.remove(&new.id);
        let mut depends = new.depends;
        depends.on.sort_unstable_by_key(|on| on.0);
        depends.on.dedup_by_key(|on| on.0);
        let job = Job {
            id: new.id,
            tenant,
            class: new.class.min(CLASSES - 1),
            state: State::Held,
            not_before: new.not_before.filter(|at| *at > wall),
            open: depends.on.len(),
            depends,
            limit: new.limit,
            ready: now,
            payload: Some(new.payload),
        };
        let prerequisites = job.depends.on.clone();
        let (limit, unknown) = (job.limit, job.depends.unknown);
        let key = self.jobs.insert(job);
        self.links.grow(key);
        self.by_id.insert(new.id, key);
        self.tenants[tenant].jobs += 1;
        self.limits.insert((limit, key));
        let mut ended = Vec::new();
        for (on, _) in prerequisites {
            let known = self.became.get(&on).copied();
            let here = self.by_id.contains_key(&on);
            if known.is_none() && (here || unknown == Unknown::Await) {
                self.waiters.entry(on).or_default().push(key);
            } else if !self.meets(key, on, known, now, &mut ended) {
                break;
            }
        }
        if self.is(key, new.id) {
            self.advance(key, now);
        }
        Ok(ended)
    }

    fn is(&self, key: usize, id: JobId) -> bool {
        self.jobs.get(key).is_some_and(|j| j.id == id)
    }

    /// Rings and chains that would be too long.
    fn check_chain(&self, new: &New<P>) -> Result<(), Refused> {
        let down = |id: JobId| -> Vec<JobId> {
            if id == new.id {
                return new.depends.on.iter().map(|on| on.0).collect();
            }
            let job = self.by_id.get(&id).map(|k| &self.jobs[*k]);
            job.filter(|j| j.open > 0)
                .map(|j| j.depends.on.iter().map(|on| on.0).collect())
                .unwrap_or_default()
        };
        let up = |id: JobId| -> Vec<JobId> {
            let keys = self.waiters.get(&id).into_iter().flatten();
            keys.filter_map(|k| self.jobs.get(*k)).map(|j| j.id).collect()
        };
        if let Some(ring) = graph::ring(new.id, down) {
            return Err(Refused::Ring(ring));
        }
        let (below, above) = (graph::depth(new.id, DEPTH, down), graph::depth(new.id, DEPTH, up));
        if below + above > DEPTH { Err(Refused::Deep) } else { Ok(()) }
    }

    /// A prerequisite of a job has become something. False where the job has ended by it.
    fn meets(
        &mut self,
        key: usize,
        on: JobId,
        became: Option<Became>,
        now: Micros,
        ended: &mut Vec<Ended<P>>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(key).filter(|j| j.state != State::Out && j.open > 0) else {
            return false;
        };
        let Some((_, wants)) = job.depends.on.iter().find(|o| o.0 == on).copied() else { return true };
        let met = became.is_some_and(|b| wants.is_met_by(b)) || job.depends.otherwise == Otherwise::Run;
        job.open -= 1;
        match (met, job.depends.need) {
            (true, Need::Any) => job.open = 0,
            // Another may still do.
            (false, Need::Any) if job.open > 0 => {}
            (true, Need::All) => {}
            (false, _) => {
                self.end(key, Why::Prerequisite(on, became), now, ended);
                return false;
            }
        }
        true
    }

    /// Moves a job on where its condition is met.
    fn advance(&mut self, key: usize, now: Micros) {
        let job = &mut self.jobs[key];
        if job.state != State::Held || job.open > 0 {
            return;
        }
        if let Some(at) = job.not_before {
            job.state = State::Timed;
            self.timed.insert((at, key));
            return;
        }
        job.state = State::Ready;
        job.ready = now;
        let (tenant, class) = (job.tenant, job.class);
        let t = &mut self.tenants[tenant];
        if t.lines.len == 0 {
            // Its absence earns it nothing.
            t.turn = t.turn.max(self.turn);
            self.turns.insert((t.turn.to_bits(), tenant));
        }
        t.lines.push(class, key, &mut self.links);
    }

    /// Takes a job out of wherever it waits.
    fn take_out(&mut self, key: usize) {
        let job = &self.jobs[key];
        match job.state {
            State::Timed => _ = self.timed.remove(&(job.not_before.unwrap_or(0), key)),
            State::Ready => {
                let (tenant, class) = (job.tenant, job.class);
                let t = &mut self.tenants[tenant];
                t.lines.remove(class, key, &mut self.links);
                if t.lines.len == 0 {
                    self.turns.remove(&(t.turn.to_bits(), tenant));
                }
            }
            State::Held | State::Out => {}
        }
        let job = &self.jobs[key];
        self.limits.remove(&(job.limit, key));
    }

    /// Forgets a job and tells who waits for it what became of it.
    fn settle(&mut self, key: usize, became: Became, now: Micros, ended: &mut Vec<Ended<P>>) -> Job<P> {
        let job = self.jobs.remove(key);
        self.by_id.remove(&job.id);
        self.tenants[job.tenant].jobs -= 1;
        for (on, _) in &job.depends.on {
            if let Some(waiters) = self.waiters.get_mut(on) {
                waiters.retain(|k| *k != key);
                if waiters.is_empty() {
                    self.waiters.remove(on);
                }
            }
        }
        self.became.insert(job.id, became);
        self.outcomes.push_back((now, job.id));
        self.forget(now);
        for waiter in self.waiters.remove(&job.id).unwrap_or_default() {
            if self.meets(waiter, job.id, Some(became), now, ended) {
                self.advance(waiter, now);
            }
        }
        job
    }

    fn end(&mut self, key: usize, why: Why, now: Micros, ended: &mut Vec<Ended<P>>) {
        self.take_out(key);
        let at = ended.len();
        let job = self.settle(key, Became::Dropped, now, ended);
        let quietly = matches!(why, Why::Prerequisite(..)) && job.depends.otherwise == Otherwise::DropQuietly;
        if let Some(payload) = job.payload {
            ended.insert(at, Ended { id: job.id, why, quietly, payload });
        }
    }

    /// Drops outcomes that are too many or too old. An id that ended twice has two places; the older one says less.
    fn forget(&mut self, now: Micros) {
        while let Some((at, id)) = self.outcomes.front().copied() {
            if self.outcomes.len() <= self.set.outcomes && now - at < self.set.keep {
                break;
            }
            self.outcomes.pop_front();
            if !self.outcomes.iter().rev().take(1).any(|o| o.1 == id) {
                self.became.remove(&id);
            }
        }
    }

    /// The next job that may run.
    pub fn release(&mut self, now: Micros) -> Option<Released<P>> {
        let (bits, tenant) = self.turns.pop_first()?;
        let t = &mut self.tenants[tenant];
        self.turn = self.turn.max(f64::from_bits(bits));
        t.since_aged += 1;
        let aged = t.since_aged >= AGEING;
        if aged {
            t.since_aged = 0;
        }
        let key = t.lines.first(aged).expect("a tenant that has a turn has a job");
        let class = self.jobs[key].class;
        t.lines.remove(class, key, &mut self.links);
        t.turn += 1.0 / t.share;
        if t.lines.len > 0 {
            self.turns.insert((t.turn.to_bits(), tenant));
        }
        let job = &mut self.jobs[key];
        job.state = State::Out;
        self.limits.remove(&(job.limit, key));
        debug_assert!(job.ready <= now);
        let payload = job.payload.take()?;
        Some(Released { id: job.id, tenant, class, ready: job.ready, payload })
    }

    /// A released job has ended; returns those that end by it.
    pub fn ended(&mut self, id: JobId, became: Became, now: Micros) -> Vec<Ended<P>> {
        let mut ended = Vec::new();
        let out = self.by_id.get(&id).copied().filter(|k| self.jobs[*k].state == State::Out);
        if let Some(key) = out {
            self.settle(key, became, now, &mut ended);
        }
        ended
    }

    /// Cancels a job that was not released; returns it and those that end by it, nothing where there is none.
    pub fn cancel(&mut self, id: JobId, now: Micros) -> Vec<Ended<P>> {
        let mut ended = Vec::new();
        let key = self.by_id.get(&id).copied().filter(|k| self.jobs[*k].state != State::Out);
        if let Some(key) = key {
            self.end(key, Why::Cancelled, now, &mut ended);
        }
        ended
    }

    /// Lets time pass; returns jobs that waited too long, and those that end by them.
    pub fn tick(&mut self, now: Micros, wall: Micros) -> Vec<Ended<P>> {
        let mut ended = Vec::new();
        while let Some((at, key)) = self.timed.first().copied().filter(|t| t.0 <= wall) {
            self.timed.remove(&(at, key));
            self.jobs[key].not_before = None;
            self.jobs[key].state = State::Held;
            self.advance(key, now);
        }
        while let Some((_, key)) = self.limits.first().copied().filter(|l| l.0 <= now) {
            self.end(key, Why::Limit, now, &mut ended);
        }
        self.forget(now);
        ended
    }

    /// Ends all that were not released.
    pub fn drain(&mut self, now: Micros) -> Vec<Ended<P>> {
        let mut ended = Vec::new();
        while let Some((_, key)) = self.limits.first().copied() {
            self.end(key, Why::Drained, now, &mut ended);
        }
        ended
    }
}
