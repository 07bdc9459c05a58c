//! Snapshots: what a pass takes as true of a worker, its free capacity and whether it may get a trial.

use crate::dispatcher::Dispatcher;
use crate::state::placement::START_DELAY_MEMORY;
use crate::state::resources::{MEMORY, RESOURCES, SLOT};
use crate::state::workers::{Worker, WorkerSnapshot};

/// Part of the best probability of success below which a worker gets single trials.
pub(crate) const TRIAL_BELOW: f64 = 0.6;
/// Mean runs for which a job is held before one may queue at a worker.
const MIN_HELD_RUNS_TO_QUEUE: f64 = 0.25;
/// Slots that an estimate may lack of a whole one.
const SLOT_ROUNDING: f64 = 0.25;

impl Dispatcher {
    /// Fixes what a pass takes as true of a worker.
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
        let sound = success >= TRIAL_BELOW * self.placement.best_success;
        let is_idle = worker.bookings.booked[SLOT] == 0.0;
        // A worker that errs at once is always idle: each error puts its next trial off, and that is of one
        // job.
        let may_try = worker.health.allows_trial(is_idle, sound, now);
        let open = worker.ready && (may_try || (!worker.health.is_ejected() && sound));
        let mut free = [0.0; 2];
        if open {
            free = RESOURCES.map(|resource| self.free_capacity(worker, resource, may_try));
        }
        if !sound {
            free[SLOT] = free[SLOT].min(1.0);
        }
        let zone_fee = if worker.listed.zone == self.settings.zone { 0.0 } else { costs.cross_zone };
        let connection_fee = if worker.connections.idle_since.is_empty() { costs.handshake } else { 0.0 };
        let tier_delay = pass.start_delays[worker.locality_tier];
        let start_delay = worker.timing.start_delay.pooled(tier_delay, now, START_DELAY_MEMORY);
        WorkerSnapshot {
            run_time_per_work: self.slowdown.run_time_per_work(worker, now),
            start_delay: start_delay.max(worker.timing.head_of_line_wait),
            success,
            fees: zone_fee + connection_fee,
            free,
            may_queue: open && self.may_queue(worker),
        }
    }

    /// Free capacity of a worker; infinite in a resource of which it reports nothing, for memory and for a
    /// trial.
    fn free_capacity(&self, worker: &Worker, resource: usize, is_trial: bool) -> f64 {
        let capacity = &worker.capacity[resource];
        if !capacity.reported && (resource == MEMORY || is_trial) {
            return f64::INFINITY;
        }
        let current = capacity.current(self.now, self.placement.pass.mean_run_time);
        let free = current - worker.bookings.booked[resource];
        if resource == SLOT { (free + SLOT_ROUNDING).floor() } else { free }
    }

    /// Whether a job may queue at a worker for the next slot: old reports leave slots idle, so a held job
    /// may, but not soon where that failed.
    fn may_queue(&self, worker: &Worker) -> bool {
        let mean_run_time = self.placement.pass.mean_run_time;
        let longest_waiting = self.jobs.waiting.first().and_then(|id| self.jobs.get(*id));
        let held = longest_waiting.map_or(0, |job| self.now - job.arrived_at);
        let slots = &worker.capacity[SLOT];
        let is_exhausted = slots.exhausted_at.is_some_and(|at| (self.now - at) as f64 <= mean_run_time);
        !is_exhausted && slots.reported && held as f64 > MIN_HELD_RUNS_TO_QUEUE * mean_run_time
    }
}
