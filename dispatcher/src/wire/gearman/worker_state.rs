//! The state of a connection as a worker, and what a change of it means for the queues and the decisions.

use super::peer::Peer;
use super::{Gearman, Jobs};
use crate::core::{Input, Payload, UpstreamId};
use roselock::Micros;
use roselock_gearman::server;
use std::sync::Arc;

/// The state of a worker: functions are named by their index.
pub type WorkerState = server::Worker<usize, ReservedJob>;

/// A job that is reserved for a worker, or that the worker has grabbed.
pub struct ReservedJob {
    /// The attempt.
    pub id: UpstreamId,
    /// The index of its function.
    pub function: usize,
    /// What is forwarded to the worker.
    pub payload: Arc<Payload>,
    /// When the worker grabbed it; 0 before that.
    pub grabbed_at: Micros,
}

impl ReservedJob {
    /// The number of its job, by the id of its release.
    pub fn job_no(&self) -> Option<u64> {
        self.payload.assigned_id.as_ref()?.split('-').nth(1)?.parse().ok()
    }
}

/// The workers of a function.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Those that have registered it.
    able: isize,
    /// Those of them that are free for it.
    free: isize,
    /// Those that have a job of it.
    engaged: isize,
}

/// What the queues and the decisions know of a worker.
#[derive(PartialEq, Eq)]
struct Availability {
    /// The functions that it has registered.
    able: Vec<usize>,
    /// Whether it is free for these.
    is_free: bool,
    /// The function of its job.
    engaged_in: Option<usize>,
}

impl Availability {
    fn of(state: &WorkerState) -> Availability {
        let able: Vec<usize> = state.able().collect();
        let is_free = able.first().is_some_and(|function| state.is_free_for(*function));
        Availability { able, is_free, engaged_in: state.engaged_in() }
    }
}

impl Jobs {
    /// Adds (`sign` 1) a worker to the counts, or takes it out of them (-1). Returns the functions that it counts for.
    fn count_worker(&mut self, availability: &Availability, sign: isize) -> Vec<usize> {
        let registered = self.worker_counts.len();
        let mut functions: Vec<usize> =
            availability.able.iter().copied().filter(|function| *function < registered).collect();
        for function in &functions {
            let counts = &mut self.worker_counts[*function];
            counts.able += sign;
            counts.free += sign * isize::from(availability.is_free);
        }
        if let Some(function) = availability.engaged_in {
            self.worker_counts[function].engaged += sign;
            functions.push(function);
        }
        functions
    }

    /// Passes the counts of a function's workers to its queue.
    fn update_queue(&mut self, function: usize) {
        let counts = self.worker_counts[function];
        let at_least_0 = |count: isize| usize::try_from(count).unwrap_or(0);
        let able = at_least_0(counts.able);
        let free = at_least_0(counts.free);
        let engaged = at_least_0(counts.engaged);
        self.backlog.set_workers(function, able, free, engaged);
    }
}

impl Peer {
    /// The functions that it has registered.
    pub fn able(&self) -> Vec<usize> {
        self.worker.lock().able().collect()
    }

    /// Changes its state, and passes on what that changes: how many workers each function has, and the capacity that
    /// the fleets of its other functions have in it.
    pub fn change<T>(&self, front: &Gearman, change: impl FnOnce(&mut WorkerState) -> T) -> T {
        let mut state = self.worker.lock();
        let old = Availability::of(&state);
        let result = change(&mut state);
        let new = Availability::of(&state);
        let due = state.next_deadline();
        drop(state);
        front.set_timer(self, due);
        if old != new {
            self.publish_change(front, &old, &new);
        }
        result
    }

    fn publish_change(&self, front: &Gearman, old: &Availability, new: &Availability) {
        let mut jobs = front.jobs.lock();
        let mut changed = jobs.count_worker(old, -1);
        changed.extend(jobs.count_worker(new, 1));
        changed.sort_unstable();
        changed.dedup();
        for function in changed {
            jobs.update_queue(function);
        }
        let should_notify = front.should_notify_owner(&mut jobs);
        drop(jobs);
        if old.is_free != new.is_free {
            self.publish_capacity(front, old, new);
        }
        front.notify_owner_if(should_notify);
    }

    /// Passes its capacity to the fleets of its functions, but for that of its own job: that fleet knows.
    fn publish_capacity(&self, front: &Gearman, old: &Availability, new: &Availability) {
        let registry = front.functions.load();
        let own_function = old.engaged_in.or(new.engaged_in);
        for function in new.able.iter().filter(|function| Some(**function) != own_function) {
            front.inbox.post(Input::Capacity {
                fleet: registry.all[*function].fleet,
                worker: self.worker_id(),
                free_slots: f64::from(u8::from(new.is_free)),
            });
        }
    }
}
