//! Snapshots: the view of a worker that a pass uses, with its free capacity and whether it may be sent a
//! trial job.

use crate::dispatcher::Dispatcher;
use crate::state::placement::START_DELAY_TIME_CONSTANT_US;
use crate::state::resources::{MEMORY, RESOURCES, SLOT};
use crate::state::workers::{Worker, WorkerSnapshot};

/// Fraction of the best candidate's probability of success below which a worker is sent single trial jobs.
pub(crate) const TRIAL_THRESHOLD: f64 = 0.6;
/// Mean run times for which a job must have been held before one may queue at a worker.
const MIN_HELD_RUNS_TO_QUEUE: f64 = 0.25;
/// Maximum shortfall, in slots, at which an estimate still counts as a whole slot.
const SLOT_TOLERANCE: f64 = 0.25;

impl Dispatcher {
    /// Refreshes the snapshot of a worker for a pass.
    pub(crate) fn refresh_snapshot(&mut self, index: usize) {
        let now = self.now;
        let idle_from = now - self.settings.limits.idle_timeout;
        let worker = &mut self.workers[index];
        worker.connections.idle_since.retain(|at| *at > idle_from);
        worker.expire_rejected_classes(now);
        let snapshot = self.take_snapshot(&self.workers[index]);
        self.workers[index].snapshot = snapshot;
    }

    fn take_snapshot(&self, worker: &Worker) -> WorkerSnapshot {
        let now = self.now;
        let costs = &self.settings.costs;
        let pass = &self.placement.pass;
        let success = worker.health.success_probability(now);
        let is_healthy = success >= TRIAL_THRESHOLD * self.placement.best_success;
        let is_idle = worker.bookings.booked[SLOT] == 0.0;
        // A worker that fails every job at once is always idle, so each error delays its next trial, which
        // consists of one job.
        let allows_trial = worker.health.allows_trial(is_idle, is_healthy, now);
        let accepts_jobs = worker.ready && (allows_trial || (!worker.health.is_ejected() && is_healthy));
        let mut free = [0.0; 2];
        if accepts_jobs {
            free = RESOURCES.map(|resource| self.free_capacity(worker, resource, allows_trial));
        }
        if !is_healthy {
            free[SLOT] = free[SLOT].min(1.0);
        }
        let zone_cost = if worker.endpoint.zone == self.settings.zone { 0.0 } else { costs.cross_zone };
        let connection_cost = if worker.connections.idle_since.is_empty() { costs.handshake } else { 0.0 };
        let tier_delay = pass.start_delays[worker.locality_tier];
        let start_delay = worker.timing.start_delay.pooled(tier_delay, now, START_DELAY_TIME_CONSTANT_US);
        WorkerSnapshot {
            run_time_per_work: self.slowdown.run_time_per_work(worker, now),
            start_delay: start_delay.max(worker.timing.head_of_line_wait),
            success,
            fees: zone_cost + connection_cost,
            free,
            may_queue: accepts_jobs && self.may_queue(worker),
        }
    }

    /// Free capacity of a worker in a resource. It is infinite if the worker has not reported the resource
    /// and it is memory or the job is a trial.
    fn free_capacity(&self, worker: &Worker, resource: usize, is_trial: bool) -> f64 {
        let capacity = &worker.capacity[resource];
        if !capacity.reported && (resource == MEMORY || is_trial) {
            return f64::INFINITY;
        }
        let current = capacity.current(self.now, self.placement.pass.mean_run_time);
        let free = current - worker.bookings.booked[resource];
        if resource == SLOT { (free + SLOT_TOLERANCE).floor() } else { free }
    }

    /// Whether a job may queue at a worker for the next slot. Since old reports would leave slots idle, one
    /// may after a job has been held for some time, but not within a mean run time after the worker turned
    /// out to be full.
    fn may_queue(&self, worker: &Worker) -> bool {
        let mean_run_time = self.placement.pass.mean_run_time;
        let longest_waiting = self.jobs.waiting.first().and_then(|id| self.jobs.get(*id));
        let held = longest_waiting.map_or(0, |job| self.now - job.arrived_at);
        let slots = &worker.capacity[SLOT];
        let is_exhausted = slots.exhausted_at.is_some_and(|at| (self.now - at) as f64 <= mean_run_time);
        !is_exhausted && slots.reported && held as f64 > MIN_HELD_RUNS_TO_QUEUE * mean_run_time
    }
}
