//! A job queue with dependencies: jobs are held until their prerequisites meet their conditions, then released in fair
//! order with a bounded wait.
//!
//! [`JobQueue`] holds a job until its start time has come and its prerequisites meet their conditions, then adds it to
//! the queues of its tenant. [`release`](JobQueue::release) divides the releases among tenants by their shares
//! (start-time fair queueing). Within a tenant the lowest class number goes first, but one in [`AGEING_INTERVAL`]
//! releases is the job that has waited longest. A job that ends without a release is returned exactly once.
//!
//! The crate does no I/O and reads neither a clock nor a random source: `now` is a monotonic clock in microseconds and
//! `wall` the wall clock, which may step in either direction.
//!
//! # Bound of the wait
//!
//! While a tenant with share `s` of a sum `S` has at most `q` jobs ready and `c` jobs per second are released overall,
//! a ready job is released within `(AGEING_INTERVAL * q + tenants) * S / (s * c)` seconds: see [`JobQueue::longest_wait`].
//! Unused shares go to the other tenants immediately, so this is the worst case.

mod conditions;
mod dependencies;
mod end;
mod graph;
mod job;
mod queues;
mod release;
mod submit;

pub use dependencies::{Condition, Dependencies, OnUnmet, Outcome, Quorum, UnknownPrerequisite};
pub use job::{EndReason, EndedJob, NewJob, Rejection, ReleasedJob};

use job::Job;
use queues::TenantQueues;
use slab::Slab;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// A time or duration in microseconds.
pub type Micros = i64;
/// A job id, chosen by the caller. It can be reused once the job has ended.
pub type JobId = u64;

/// One in this many releases of a tenant is its longest-waiting job regardless of class.
pub const AGEING_INTERVAL: u32 = 4;
/// The maximum number of prerequisites of a job.
pub const MAX_PREREQUISITES: usize = 16;
/// The maximum length of a dependency chain.
pub const MAX_DEPTH: usize = 16;
/// The maximum number of classes.
pub const MAX_CLASSES: usize = 8;

/// Limits of the queue and shares of the tenants.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The shares of the tenants, each above 0. A tenant index beyond the last is treated as the last.
    pub shares: Vec<f64>,
    /// The maximum number of jobs, including released ones.
    pub max_jobs: usize,
    /// The maximum number of jobs of one tenant, including released ones.
    pub max_jobs_per_tenant: usize,
    /// The maximum number of stored outcomes of ended jobs.
    pub max_outcomes: usize,
    /// How long outcomes are stored.
    pub outcome_retention: Micros,
}

/// One tenant's state.
#[derive(Clone)]
struct Tenant {
    queues: TenantQueues,
    share: f64,
    /// The virtual start time of its next release.
    virtual_time: f64,
    /// Releases since the last one that took the oldest job.
    releases_since_oldest: u32,
    /// Number of its jobs, including released ones.
    jobs: usize,
}

/// Jobs that have not ended, with the ready ones queued by tenant.
#[derive(Clone)]
pub struct JobQueue<P> {
    settings: Settings,
    jobs: Slab<Job<P>>,
    links: queues::Links,
    by_id: HashMap<JobId, usize>,
    /// Keys of the jobs that depend on an id, which may belong to a job that is yet to be submitted.
    dependents: HashMap<JobId, Vec<usize>>,
    tenants: Vec<Tenant>,
    /// Tenants with ready jobs, ordered by the bits of their virtual time. The order of the bits is that of the numbers
    /// because these are never below 0.
    by_virtual_time: BTreeSet<(u64, usize)>,
    virtual_time: f64,
    /// Scheduled jobs by their wall-clock start time.
    scheduled: BTreeSet<(Micros, usize)>,
    /// Unreleased jobs by deadline.
    deadlines: BTreeSet<(Micros, usize)>,
    /// Stored outcomes of ended jobs.
    outcomes: HashMap<JobId, Outcome>,
    /// Ended jobs in the order in which they ended, for eviction.
    outcome_order: VecDeque<(Micros, JobId)>,
}

impl<P> JobQueue<P> {
    /// Creates an empty queue.
    ///
    /// # Panics
    /// If there are no shares, or a share is not a finite number above 0.
    pub fn new(settings: Settings) -> JobQueue<P> {
        assert!(!settings.shares.is_empty() && settings.shares.iter().all(|s| *s > 0.0 && s.is_finite()));
        let tenant = |share: &f64| Tenant {
            queues: TenantQueues::default(),
            share: *share,
            virtual_time: 0.0,
            releases_since_oldest: 0,
            jobs: 0,
        };
        JobQueue {
            tenants: settings.shares.iter().map(tenant).collect(),
            settings,
            jobs: Slab::new(),
            links: queues::Links::default(),
            by_id: HashMap::new(),
            dependents: HashMap::new(),
            by_virtual_time: BTreeSet::new(),
            virtual_time: 0.0,
            scheduled: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            outcomes: HashMap::new(),
            outcome_order: VecDeque::new(),
        }
    }

    /// Replaces the shares of the tenants. They apply from the next release on.
    ///
    /// # Panics
    /// If the number of tenants differs, or a share is not a finite number above 0.
    pub fn set_shares(&mut self, shares: &[f64]) {
        assert_eq!(shares.len(), self.tenants.len());
        assert!(shares.iter().all(|s| *s > 0.0 && s.is_finite()));
        for (tenant, share) in self.tenants.iter_mut().zip(shares) {
            tenant.share = *share;
        }
        self.settings.shares = shares.to_vec();
    }

    /// Number of jobs, including released ones.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }
    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
    /// The state of a job (0 scheduled, 1 held, 2 ready, 3 released) and the number of its prerequisites without an
    /// outcome; `None` if there is no such job.
    pub fn position(&self, id: JobId) -> Option<(u8, usize)> {
        let job = &self.jobs[*self.by_id.get(&id)?];
        Some((job.state as u8, job.open_prerequisites))
    }
    /// The stored outcome of an ended job.
    pub fn outcome(&self, id: JobId) -> Option<Outcome> {
        self.outcomes.get(&id).copied()
    }
    /// Number of ready jobs of a tenant.
    pub fn ready_jobs(&self, tenant: usize) -> usize {
        self.tenants[tenant].queues.len
    }

    /// The upper bound of a ready job's wait, provided that at most `queued` jobs of its tenant are ready at a time and
    /// `per_second` jobs per second are released overall.
    pub fn longest_wait(&self, tenant: usize, queued: usize, per_second: f64) -> Micros {
        let sum: f64 = self.tenants.iter().map(|t| t.share).sum();
        let own_share = self.tenants[tenant].share / sum;
        let releases = (AGEING_INTERVAL as usize * queued + self.tenants.len()) as f64;
        (releases / (own_share * per_second) * 1e6).ceil() as Micros
    }
}
