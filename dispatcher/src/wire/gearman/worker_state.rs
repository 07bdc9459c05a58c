//! The worker state of a connection, and the effect of its changes on the queues and on scheduling.

use super::peer::Peer;
use super::{Gearman, Jobs};
use crate::core::{Input, Payload, UpstreamId};
use roselock::Micros;
use roselock_gearman::server;
use std::sync::Arc;

/// The state of a worker. Functions are identified by index.
pub type WorkerState = server::Worker<usize, ReservedJob>;

/// A job that is reserved for a worker or that the worker has grabbed.
pub struct ReservedJob {
    /// The attempt.
    pub id: UpstreamId,
    /// The index of the function.
    pub function: usize,
    /// The payload for the worker.
    pub payload: Arc<Payload>,
    /// When the worker grabbed it; 0 before that.
    pub grabbed_at: Micros,
}

impl ReservedJob {
    /// The number of the job, parsed from the ID of its release.
    pub fn job_no(&self) -> Option<u64> {
        self.payload.assigned_id.as_ref()?.split('-').nth(1)?.parse().ok()
    }
}

/// The number of workers of a function, by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Workers that have registered the function.
    registered: isize,
    /// Registered workers that are free.
    free: isize,
    /// Workers that have a job of the function.
    busy: isize,
}

/// The part of a worker's state that concerns the queues and scheduling.
#[derive(PartialEq, Eq)]
struct Availability {
    /// The registered functions.
    registered_functions: Vec<usize>,
    /// Whether the worker is free for these.
    is_free: bool,
    /// The function of the worker's job.
    busy_function: Option<usize>,
}

impl Availability {
    fn from_state(state: &WorkerState) -> Availability {
        let registered_functions: Vec<usize> = state.registered_functions().collect();
        let is_free = registered_functions.first().is_some_and(|function| state.is_free_for(*function));
        Availability { registered_functions, is_free, busy_function: state.busy_function() }
    }
}

impl Jobs {
    /// Adds a worker to the counts (`sign` 1), or subtracts it (-1). Returns the functions whose counts changed.
    fn count_worker(&mut self, availability: &Availability, sign: isize) -> Vec<usize> {
        let function_count = self.worker_counts.len();
        let mut functions: Vec<usize> = availability
            .registered_functions
            .iter()
            .copied()
            .filter(|function| *function < function_count)
            .collect();
        for function in &functions {
            let counts = &mut self.worker_counts[*function];
            counts.registered += sign;
            counts.free += sign * isize::from(availability.is_free);
        }
        if let Some(function) = availability.busy_function {
            self.worker_counts[function].busy += sign;
            functions.push(function);
        }
        functions
    }

    /// Passes the worker counts of a function to its queue.
    fn update_queue(&mut self, function: usize) {
        let counts = self.worker_counts[function];
        let clamp_to_zero = |count: isize| usize::try_from(count).unwrap_or(0);
        let registered = clamp_to_zero(counts.registered);
        let free = clamp_to_zero(counts.free);
        let busy = clamp_to_zero(counts.busy);
        self.backlog.set_workers(function, registered, free, busy);
    }
}

impl Peer {
    /// The functions that the worker has registered.
    pub fn registered_functions(&self) -> Vec<usize> {
        self.worker.lock().registered_functions().collect()
    }

    /// Updates the worker state, and publishes the effects: the worker counts of each function, and the worker's capacity
    /// in the fleets of its other functions.
    pub fn update<T>(&self, front: &Gearman, apply: impl FnOnce(&mut WorkerState) -> T) -> T {
        let mut state = self.worker.lock();
        let old = Availability::from_state(&state);
        let result = apply(&mut state);
        let new = Availability::from_state(&state);
        let next_deadline = state.next_deadline();
        drop(state);
        front.set_timer(self, next_deadline);
        if old != new {
            self.publish_availability(front, &old, &new);
        }
        result
    }

    fn publish_availability(&self, front: &Gearman, old: &Availability, new: &Availability) {
        let mut jobs = front.jobs.lock();
        let mut changed = jobs.count_worker(old, -1);
        changed.extend(jobs.count_worker(new, 1));
        changed.sort_unstable();
        changed.dedup();
        for function in changed {
            jobs.update_queue(function);
        }
        let should_notify = front.should_notify_event_loop(&mut jobs);
        drop(jobs);
        if old.is_free != new.is_free {
            self.publish_capacity(front, old, new);
        }
        front.notify_event_loop_if(should_notify);
    }

    /// Posts the worker's capacity to the fleets of its functions, except that of its own job, which already knows it.
    fn publish_capacity(&self, front: &Gearman, old: &Availability, new: &Availability) {
        let registry = front.function_registry.load();
        let own_function = old.busy_function.or(new.busy_function);
        for function in new.registered_functions.iter().filter(|function| Some(**function) != own_function) {
            front.inbox.post(Input::Capacity {
                fleet: registry.functions[*function].fleet,
                worker: self.worker_id(),
                free_slots: f64::from(u8::from(new.is_free)),
            });
        }
    }
}
