//! Candidates: the order in which this dispatcher prefers workers, which of them a pass looks at, and what it
//! takes as true of each.

use crate::dispatcher::Dispatcher;
use crate::state::placement::{LOCAL, REMOTE, RingEntry, START_DELAY_MEMORY, WARMING_UP};
use crate::state::sequence::mix_bits;
use crate::state::workers::{MEMORY, RESOURCES, SLOT, Worker, WorkerSnapshot};
use roselock_discovery_client::poll_schedule::GOLDEN_RATIO;

/// Candidates with free capacity that a pass looks at: in our zone, in others, and of those that may be
/// warming up.
const CANDIDATES_WITH_ROOM: [usize; 3] = [5, 3, usize::MAX];
/// Workers of a zone that are tried where jobs wait for a mean run there.
const QUEUED_REACH: f64 = 4.0;
/// Least workers of a zone that are tried.
const MIN_REACH: f64 = 2.0;
/// Part of the best probability of success below which a worker gets single trials.
pub(crate) const TRIAL_BELOW: f64 = 0.6;
/// Mean runs for which a job is held before one may queue at a worker.
const MIN_HELD_RUNS_TO_QUEUE: f64 = 0.25;
/// Slots that an estimate may lack of a whole one.
const SLOT_ROUNDING: f64 = 0.25;

impl Dispatcher {
    /// Sorts the ready workers of our zone, then those of others, into one ring at all dispatchers, where
    /// each begins at a place of its own (the golden ratio spreads any numbers) and overflows into few
    /// neighbours.
    pub(crate) fn rebuild_order(&mut self) {
        let ready = self.workers.iter().enumerate().filter(|(_, worker)| worker.ready);
        let entry = |(index, worker): (usize, &Worker)| RingEntry {
            hash: mix_bits(worker.listed.worker.0),
            worker: index,
        };
        self.placement.hash_ring = ready.map(entry).collect();
        self.placement.hash_ring.sort_unstable();
        self.placement.order[LOCAL] = self.rotated_zone_order(false);
        self.placement.order[REMOTE] = self.rotated_zone_order(true);
        let ready_count = self.placement.hash_ring.len();
        let part = (ready_count as f64 / self.settings.fleet_size as f64).round().max(1.0) as usize;
        for (position, &index) in self.placement.order[LOCAL].iter().enumerate() {
            self.workers[index].locality_tier = if position < part { 0 } else { 1 };
        }
        for &index in &self.placement.order[REMOTE] {
            self.workers[index].locality_tier = 2;
        }
    }

    /// The ready workers of our zone or of others, from our place in the ring on.
    fn rotated_zone_order(&self, remote: bool) -> Vec<usize> {
        let is_remote = |index: usize| self.workers[index].listed.zone != self.settings.zone;
        let ring = self.placement.hash_ring.iter().map(|entry| entry.worker);
        let mut order: Vec<usize> = ring.filter(|index| is_remote(*index) == remote).collect();
        let start = (self.settings.instance_index as f64 * GOLDEN_RATIO).fract();
        let first = (start * order.len() as f64) as usize;
        order.rotate_left(first);
        order
    }

    /// Picks the workers of a pass: the first of our order, and past them until enough have free capacity. In
    /// a `full` pass all snapshots are taken anew, otherwise those of workers that changed.
    pub(crate) fn refresh_candidates(&mut self, full: bool) {
        self.slowdown.refresh(self.now);
        let mean_run_time = self.mean_run_time();
        self.placement.begin_pass(mean_run_time, self.now);
        self.drop_warmed_up();
        self.placement.candidates.clear();
        // A zone short of workers makes jobs wait that others would start at once. Queues that all
        // dispatchers fill never drain: the longer the wait, the fewer workers are tried.
        let [_, local_delay, remote_delay] = self.placement.pass.start_delays;
        self.select_candidates(LOCAL, QUEUED_REACH * mean_run_time / local_delay, full);
        self.select_candidates(REMOTE, QUEUED_REACH * mean_run_time / remote_delay, full);
        self.select_candidates(WARMING_UP, f64::INFINITY, full);
        let mut best = f64::MIN_POSITIVE;
        for &index in &self.placement.candidates {
            best = best.max(self.workers[index].snapshot.success);
        }
        self.placement.best_success = best;
    }

    /// Forgets workers that have warmed up.
    fn drop_warmed_up(&mut self) {
        let safety = &self.settings.safety;
        let warmed_up_before = self.now - safety.slow_start_window - safety.overload_window;
        let workers = &self.workers;
        let may_warm_up = |index: &usize| {
            workers[*index].started_at.is_some_and(|started_at| started_at > warmed_up_before)
        };
        self.placement.order[WARMING_UP].retain(may_warm_up);
    }

    /// Adds the candidates of one part of the order, the first `reach` workers at most.
    fn select_candidates(&mut self, part: usize, reach: f64, full: bool) {
        let most = CANDIDATES_WITH_ROOM[part];
        let reach = self.placement.order[part].len().min(reach.max(MIN_REACH) as usize);
        let mut with_room = 0;
        for position in 0..reach {
            let index = self.placement.order[part][position];
            if full || self.workers[index].changed {
                self.refresh_snapshot(index);
            }
            let worker = &self.workers[index];
            let may_send = !self.is_warming_up(worker) || self.is_slow_start_sender(worker);
            let has_room = may_send && worker.snapshot.free[SLOT] > 0.0;
            if has_room && !worker.rejects_any_class() {
                with_room += 1;
            }
            let is_new = part != WARMING_UP || (may_send && !self.placement.candidates.contains(&index));
            if (has_room || position < most) && is_new {
                self.placement.candidates.push(index);
            }
            if with_room == most {
                break;
            }
        }
    }

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

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
