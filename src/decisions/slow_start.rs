//! Slow start: how much work a worker that may be warming up bears, and which dispatchers may send it.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;
use crate::state::resources::SLOT;
use crate::state::sequence::mix_bits;
use crate::state::workers::Worker;

/// Part of the budget that is used, since the capacity behind it is a guess.
const BUDGET_USED: f64 = 0.7;
/// Dispatchers from which on they take turns; fewer have a part somewhere anyway.
const MIN_FLEET_FOR_ROTATION: u32 = 16;
/// Overload windows for which the same dispatchers send to a worker.
const ROTATION_WINDOWS: Micros = 4;
/// How long a process that was seen down counts as started, in microseconds, as the list is late.
const INFERRED_RESTART_TTL: Micros = 5 * SECOND;

impl Dispatcher {
    /// Least part of its capacity that a worker had at that time, with the slowest warm-up allowed.
    fn warm_up_fraction(&self, worker: &Worker, at: Micros) -> f64 {
        let safety = &self.settings.safety;
        let inferred_start = worker.health.down_within(INFERRED_RESTART_TTL, self.now);
        let Some(started_at) = worker.started_at.max(inferred_start) else { return 1.0 };
        if at >= started_at.saturating_add(safety.slow_start_window) {
            return 1.0;
        }
        let progress = (at - started_at).max(0) as f64 / safety.slow_start_window as f64;
        safety.initial_capacity_fraction + (1.0 - safety.initial_capacity_fraction) * progress
    }

    /// Whether a worker may have been warming up within the overload window that ends now.
    pub(crate) fn is_warming_up(&self, worker: &Worker) -> bool {
        self.warm_up_fraction(worker, self.now - self.settings.safety.overload_window) < 1.0
    }

    /// Work in seconds at speed 1 that all dispatchers together may send to a worker that is warming up
    /// within an overload window, by what it could do at the start of the window.
    fn slow_start_budget(&self, worker: &Worker) -> f64 {
        let safety = &self.settings.safety;
        let fraction = self.warm_up_fraction(worker, self.now - safety.overload_window);
        let slowdown = self.slowdown.of_worker(worker, self.now).exp();
        let capacity = worker.capacity[SLOT].total.max(1.0) * fraction / slowdown;
        let window = safety.overload_window as f64;
        BUDGET_USED * safety.overload_multiple * capacity * window / SECOND as f64
    }

    /// How many dispatchers may send to it: so few that a job of any class fits into the part of each.
    fn slow_start_senders(&self, worker: &Worker) -> f64 {
        let mean_work = self.work.classes.iter().map(|class| class.mean_work.mean);
        let heaviest = mean_work.fold(f64::MIN_POSITIVE, f64::max);
        let senders = (self.slow_start_budget(worker) / heaviest).floor();
        senders.clamp(1.0, self.settings.fleet_size as f64)
    }

    /// Whether we are one of them in this turn of the common clock. The busy, by the quotas, come first; the
    /// expected sum stays. In the last window of a turn only those send that are also of the next turn, so
    /// that two sets never send within one window.
    pub(crate) fn is_slow_start_sender(&self, worker: &Worker) -> bool {
        let fleet_size = self.settings.fleet_size;
        let senders = self.slow_start_senders(worker);
        let relative_traffic = self.arrivals.relative_to_quotas(&self.settings, self.now);
        let id = mix_bits(worker.listed.worker.0);
        let window = self.settings.safety.overload_window.max(1);
        let rotates = fleet_size >= MIN_FLEET_FOR_ROTATION;
        let turn = if rotates { ROTATION_WINDOWS * window } else { Micros::MAX / 4 };
        let shifted_now = self.now + (id % turn as u64) as Micros;
        let rank = |at: Micros| self.sequence_rank(mix_bits(id ^ (at / turn) as u64)) as f64;
        if senders >= fleet_size as f64 {
            return true;
        }
        rank(shifted_now).max(rank(shifted_now + window)) < senders * relative_traffic
    }

    /// Rule 4: whether a job fits into our part of the slow-start budget, or is the only one where its work
    /// is a guess.
    pub(crate) fn within_slow_start_budget(&self, worker: &Worker, job: &Job) -> bool {
        if !self.is_warming_up(worker) {
            return true;
        }
        if !self.is_slow_start_sender(worker) {
            return false;
        }
        let class = &self.work.classes[job.class].mean_work;
        // A short job counts as the mean of its class, or a crowd of them would overload a worker.
        let work = job.work.max(class.mean);
        let recent_work = worker.work_sent_since(self.now - self.settings.safety.overload_window);
        let is_guess = class.samples <= 1.0;
        let is_alone = recent_work + worker.bookings.booked[SLOT] == 0.0;
        let part = if is_guess && is_alone {
            work
        } else {
            self.slow_start_budget(worker) / self.slow_start_senders(worker)
        };
        work + recent_work <= part
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
