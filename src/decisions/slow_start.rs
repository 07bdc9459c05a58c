//! Slow start: how much work a worker that may be warming up may be sent, and by which dispatchers.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;
use crate::state::resources::SLOT;
use crate::state::sequence::mix_bits;
use crate::state::workers::Worker;

/// Fraction of the budget that is used, because the capacity behind it is only an estimate.
const BUDGET_SAFETY_FACTOR: f64 = 0.7;
/// Minimum fleet size at which dispatchers rotate as slow-start senders; in a smaller fleet each has a share
/// at some worker anyway.
const MIN_FLEET_FOR_ROTATION: u32 = 16;
/// Length of a rotation period, in which a worker's senders stay the same, in overload windows.
const ROTATION_PERIOD_WINDOWS: Micros = 4;
/// How long a process that was seen to be down counts as restarted, in microseconds, since the list lags
/// behind.
const INFERRED_RESTART_TTL: Micros = 5 * SECOND;

impl Dispatcher {
    /// Minimum fraction of its capacity that a worker had at time `at`, given the slowest warm-up allowed.
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

    /// Work, in seconds at speed 1, that all dispatchers together may send to a worker in slow start within
    /// an overload window, given its capacity at the start of the window.
    fn slow_start_budget(&self, worker: &Worker) -> f64 {
        let safety = &self.settings.safety;
        let fraction = self.warm_up_fraction(worker, self.now - safety.overload_window);
        let slowdown = self.slowdown.of_worker(worker, self.now).exp();
        let capacity = worker.capacity[SLOT].total.max(1.0) * fraction / slowdown;
        let window = safety.overload_window as f64;
        BUDGET_SAFETY_FACTOR * safety.overload_multiple * capacity * window / SECOND as f64
    }

    /// Number of dispatchers that may send to a worker in slow start: few enough that a job of any class fits
    /// into the share of each.
    fn slow_start_senders(&self, worker: &Worker) -> f64 {
        let mean_work = self.work.classes.iter().map(|class| class.mean_work.mean);
        let heaviest = mean_work.fold(f64::MIN_POSITIVE, f64::max);
        let senders = (self.slow_start_budget(worker) / heaviest).floor();
        senders.clamp(1.0, self.settings.fleet_size as f64)
    }

    /// Whether this dispatcher is one of those senders in the current rotation period, which all dispatchers
    /// derive from their common clock. Dispatchers with more traffic relative to the quotas are preferred;
    /// the expected number of senders stays the same. In the last overload window of a period only
    /// dispatchers that are also senders in the next period may send, so that two sets never send within one
    /// window.
    pub(crate) fn is_slow_start_sender(&self, worker: &Worker) -> bool {
        let fleet_size = self.settings.fleet_size;
        let senders = self.slow_start_senders(worker);
        let relative_traffic = self.arrivals.relative_to_quotas(&self.settings, self.now);
        let id = mix_bits(worker.endpoint.worker.0);
        let window = self.settings.safety.overload_window.max(1);
        let rotates = fleet_size >= MIN_FLEET_FOR_ROTATION;
        let period = if rotates { ROTATION_PERIOD_WINDOWS * window } else { Micros::MAX / 4 };
        let shifted_now = self.now + (id % period as u64) as Micros;
        let rank = |at: Micros| self.sequence_rank(mix_bits(id ^ (at / period) as u64)) as f64;
        if senders >= fleet_size as f64 {
            return true;
        }
        rank(shifted_now).max(rank(shifted_now + window)) < senders * relative_traffic
    }

    /// Rule 4: whether a job fits into this dispatcher's share of the slow-start budget, or, if its work has
    /// not been measured yet, is the dispatcher's only one at the worker.
    pub(crate) fn within_slow_start_budget(&self, worker: &Worker, job: &Job) -> bool {
        if !self.is_warming_up(worker) {
            return true;
        }
        if !self.is_slow_start_sender(worker) {
            return false;
        }
        let class = &self.work.classes[job.class].mean_work;
        // A short job counts as the mean of its class; otherwise many of them would overload a worker.
        let work = job.work.max(class.mean);
        let recent_work = worker.work_sent_since(self.now - self.settings.safety.overload_window);
        let is_unmeasured = class.samples <= 1.0;
        let is_only_job = recent_work + worker.bookings.booked[SLOT] == 0.0;
        let share = if is_unmeasured && is_only_job {
            work
        } else {
            self.slow_start_budget(worker) / self.slow_start_senders(worker)
        };
        work + recent_work <= share
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
