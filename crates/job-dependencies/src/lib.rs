//! Jobs that are held until their prerequisites meet their conditions, and then released in a fair order with a bounded
//! wait.
//!
//! [`Waiting`] holds a job until its time has come and its prerequisites meet their conditions, then queues it with its
//! tenant. [`release`](Waiting::release) divides the releases among tenants by their shares (start-time fair
//! queueing); within a tenant the first class goes first, but one in [`AGEING_INTERVAL`] jobs is the one that has
//! waited longest. A job that ends without a release is returned once. There is no I/O, no clock and no random source: `now`
//! is a monotonic clock in microseconds, `wall` the wall clock, which may step either way.
//!
//! # The longest wait
//!
//! While a tenant with share `s` of a sum `S` has at most `q` jobs ready and `c` jobs a second are released in all, a
//! ready job is released within `(AGEING_INTERVAL * q + tenants) * S / (s * c)` seconds: see [`Waiting::longest_wait`].
//! Shares that are not used go to the others at once, so this is the worst case.

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

/// Microseconds.
pub type Micros = i64;
/// A job's id, given by the caller; free again once it has ended.
pub type JobId = u64;

/// One in this many of a tenant's releases is the job that has waited longest, whatever its class.
pub const AGEING_INTERVAL: u32 = 4;
/// The limit of the prerequisites of one job.
pub const MAX_PREREQUISITES: usize = 16;
/// The longest chain of jobs that wait for one another.
pub const MAX_DEPTH: usize = 16;
/// The limit of the classes.
pub const MAX_CLASSES: usize = 8;

/// Bounds and shares.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The tenants' shares, above 0. A tenant beyond these counts as the last.
    pub shares: Vec<f64>,
    /// The limit of the jobs, released ones included.
    pub max_jobs: usize,
    /// The limit of the jobs of one tenant.
    pub max_jobs_per_tenant: usize,
    /// The limit of the stored outcomes of ended jobs.
    pub max_outcomes: usize,
    /// How long outcomes are stored.
    pub outcome_retention: Micros,
}

/// One tenant's state.
#[derive(Clone)]
struct Tenant {
    queues: TenantQueues,
    share: f64,
    /// Its next release in virtual time.
    virtual_time: f64,
    /// Releases since the last one that went by age.
    since_aged: u32,
    /// Its jobs, released ones included.
    jobs: usize,
}

/// Jobs that wait, by tenant.
#[derive(Clone)]
pub struct Waiting<P> {
    settings: Settings,
    jobs: Slab<Job<P>>,
    links: queues::Links,
    by_id: HashMap<JobId, usize>,
    /// Keys of the jobs that wait for an id, whether that is a job here or one that is yet to be submitted.
    dependents: HashMap<JobId, Vec<usize>>,
    tenants: Vec<Tenant>,
    /// Tenants that have jobs ready, by the bits of their virtual time: these order as the numbers do, which are never
    /// below 0.
    by_virtual_time: BTreeSet<(u64, usize)>,
    virtual_time: f64,
    /// Scheduled jobs by their time, which is one of the wall clock.
    scheduled: BTreeSet<(Micros, usize)>,
    /// Jobs that were not released, by their deadline.
    deadlines: BTreeSet<(Micros, usize)>,
    /// Outcomes of ended jobs.
    outcomes: HashMap<JobId, Outcome>,
    /// Ended jobs in the order of their ends.
    outcome_order: VecDeque<(Micros, JobId)>,
}

impl<P> Waiting<P> {
    /// An empty list.
    ///
    /// # Panics
    /// If there are no shares, or one is not above 0.
    pub fn new(settings: Settings) -> Waiting<P> {
        assert!(!settings.shares.is_empty() && settings.shares.iter().all(|s| *s > 0.0 && s.is_finite()));
        let tenant = |share: &f64| Tenant {
            queues: TenantQueues::default(),
            share: *share,
            virtual_time: 0.0,
            since_aged: 0,
            jobs: 0,
        };
        Waiting {
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

    /// Replaces the shares of the same tenants; the order of waiting jobs follows them from now on.
    ///
    /// # Panics
    /// If the number of tenants differs, or a share is not above 0.
    pub fn set_shares(&mut self, shares: &[f64]) {
        assert_eq!(shares.len(), self.tenants.len());
        assert!(shares.iter().all(|s| *s > 0.0 && s.is_finite()));
        for (tenant, share) in self.tenants.iter_mut().zip(shares) {
            tenant.share = *share;
        }
        self.settings.shares = shares.to_vec();
    }

    /// Number of jobs, released ones included.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }
    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
    /// Where a job is: 0 scheduled, 1 held, 2 ready, 3 released; with the number of its prerequisites that have no
    /// outcome. None if there is no such job.
    pub fn position(&self, id: JobId) -> Option<(u8, usize)> {
        let job = &self.jobs[*self.by_id.get(&id)?];
        Some((job.state as u8, job.open_prerequisites))
    }
    /// The outcome of a job that has ended, as long as it is stored.
    pub fn outcome(&self, id: JobId) -> Option<Outcome> {
        self.outcomes.get(&id).copied()
    }
    /// Number of a tenant's jobs that are ready.
    pub fn ready_jobs(&self, tenant: usize) -> usize {
        self.tenants[tenant].queues.len
    }

    /// The longest time that a tenant's job waits once it is ready, if at most `queued` of its jobs are ready at a time
    /// and `per_second` jobs a second are released in all.
    pub fn longest_wait(&self, tenant: usize, queued: usize, per_second: f64) -> Micros {
        let sum: f64 = self.tenants.iter().map(|t| t.share).sum();
        let own_share = self.tenants[tenant].share / sum;
        let turns = (AGEING_INTERVAL as usize * queued + self.tenants.len()) as f64;
        (turns / (own_share * per_second) * 1e6).ceil() as Micros
    }
}
