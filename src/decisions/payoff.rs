//! Payoff: the value of starting a job on a worker now, from the probabilities that its answer is of use.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;
use crate::state::prices::WINDOW;
use crate::state::workers::Worker;

/// Weight of saved steps (β, γ); small, as the next: they order what is otherwise equal.
const SAVED_STEPS_WEIGHT: f64 = 0.05;
/// Weight of a start early in the latency objective (ζ2).
const EARLY_START_BONUS: f64 = 0.05;
/// Part of the latency objective that counts as early (t2').
const EARLY_START_FRACTION: f64 = 0.5;
/// Payoff of any start (σ).
const START_PAYOFF: f64 = 0.02;
/// Cost of an answer after the latency objective where the slow end counts, in priority weights of the job.
const TAIL_MISS_COST: f64 = 1.0;
/// Probability that data is missing at its first and second cache location.
const CACHE_LOCATION_MISS: [f64; 2] = [0.3, 0.7];
/// Probability that data is missing where we sent its key: others may have evicted it.
const RECENT_KEY_MISS: f64 = 0.4;
/// Probability that a hinted job whose run would exceed its client's time is answered nevertheless.
const LATE_HINTED_PROBABILITY: f64 = 0.1;

/// The value of starting a job on a worker now.
pub(crate) struct Payoff {
    /// In mean priority weights.
    pub(crate) value: f64,
    /// Expected run time in ticks (ô).
    pub(crate) ticks: f64,
}

/// How likely the answer of a job is of use.
pub(crate) struct SuccessProbabilities {
    /// It ends within the latency objective.
    pub(crate) in_time: f64,
    /// It ends before the client's deadline.
    pub(crate) before_deadline: f64,
}

impl Dispatcher {
    /// The paper's terms, with the priority weight for its weights; its end-to-end indicator is taken at its
    /// probability under the learned start delay.
    pub(crate) fn payoff(&self, job: &Job, index: usize) -> Payoff {
        let worker = &self.workers[index];
        let snapshot = &worker.snapshot;
        let costs = &self.settings.costs;
        // With the best candidate taken as 1, a fault of all workers alike locks none of them out.
        let success = snapshot.success / self.placement.best_success;
        let fees = snapshot.fees + self.fetch_fee(job, worker, index);
        let ticks = job.work * snapshot.run_time_per_work / self.prices.tick as f64;
        let late_fraction = self.settings.classes[job.class].late_answer_fraction;
        let probabilities = self.success_probabilities(job, snapshot.run_time_per_work, snapshot.start_delay);
        let SuccessProbabilities { in_time, before_deadline } = probabilities;
        if self.has_live_attempt(job) {
            // Beside an attempt on a live worker another adds only the probability of being in time, at its
            // work.
            let gain = (1.0 - late_fraction) * in_time * before_deadline * success;
            let value = job.relative_weight * (gain - costs.wasted_work) - fees;
            return Payoff { value, ticks };
        }
        let window_left = self.ticks_left_in_window();
        let throughput = late_fraction * before_deadline * ticks.min(window_left) / ticks;
        let saved = SAVED_STEPS_WEIGHT * ((window_left - ticks).max(0.0) + window_left) / (2.0 * WINDOW);
        let early_start = if self.starts_early(job) { EARLY_START_BONUS } else { 0.0 };
        let tail_miss = match self.settings.tail_miss_fraction {
            Some(_) => TAIL_MISS_COST * (1.0 - in_time * before_deadline),
            None => 0.0,
        };
        let timely = (1.0 - late_fraction) * in_time * before_deadline;
        let gain = throughput + timely + saved + early_start - tail_miss;
        let expected = success * gain - (1.0 - success) * costs.late_failure;
        Payoff { value: job.relative_weight * expected + START_PAYOFF - fees, ticks }
    }

    /// Expected cost of fetching the job's data from its origin, in mean priority weights.
    fn fetch_fee(&self, job: &Job, worker: &Worker, index: usize) -> f64 {
        let Some(key) = job.key else { return 0.0 };
        let location = job.cached_on.iter().position(|cached_on| *cached_on == Some(index));
        let miss_there = location.map_or(1.0, |location| CACHE_LOCATION_MISS[location]);
        let miss_of_key = if worker.remembers_key(key) { RECENT_KEY_MISS } else { 1.0 };
        self.settings.costs.origin_fetch * miss_there * miss_of_key
    }

    /// Whether an attempt of the job is in flight at a worker that is not ejected.
    fn has_live_attempt(&self, job: &Job) -> bool {
        job.in_flight().any(|attempt| !self.workers[attempt.worker].health.is_ejected())
    }

    fn ticks_left_in_window(&self) -> f64 {
        let now = self.now as f64 / self.prices.tick as f64;
        (self.prices.window_end - now + 1.0).max(1.0)
    }

    /// Whether a start now is early in the job's latency objective.
    fn starts_early(&self, job: &Job) -> bool {
        let class = &self.settings.classes[job.class];
        let objective = class.latency_objective as f64 + class.objective_per_work * job.work * SECOND as f64;
        self.now as f64 - job.first_asked_at as f64 <= EARLY_START_FRACTION * objective
    }

    /// Probabilities for a job that starts after `start_delay` microseconds at a worker that takes
    /// `run_time_per_work` microseconds for one second's work.
    pub(crate) fn success_probabilities(
        &self,
        job: &Job,
        run_time_per_work: f64,
        start_delay: f64,
    ) -> SuccessProbabilities {
        let class = &self.settings.classes[job.class];
        let now = self.now as f64;
        let spent = now - job.first_asked_at as f64;
        let left = job.deadline as f64 - now;
        let objective_left = class.latency_objective as f64 - spent - start_delay;
        if job.hinted {
            let run = job.work * run_time_per_work;
            let slack = objective_left + class.objective_per_work * job.work * SECOND as f64 - run;
            let spread = 0.2 * run + 0.5 * start_delay + 2.0 * self.settings.tick as f64;
            let is_before_deadline = run + start_delay < left;
            return SuccessProbabilities {
                in_time: 1.0 / (1.0 + (-slack / spread).exp()),
                before_deadline: if is_before_deadline { 1.0 } else { LATE_HINTED_PROBABILITY },
            };
        }
        // Without a hint the work is any of its class: a short job has the smaller objective, a long one less
        // time.
        let distribution = &self.work.classes[job.class].distribution;
        let gain = class.objective_per_work * SECOND as f64 - run_time_per_work;
        let ends = distribution.probability_below((left - start_delay) / run_time_per_work);
        let in_time = if objective_left >= 0.0 && gain >= 0.0 {
            ends
        } else if objective_left >= 0.0 {
            ends.min(distribution.probability_below(objective_left / -gain))
        } else if gain >= 0.0 {
            (ends - distribution.probability_below(-objective_left / gain)).max(0.0)
        } else {
            0.0
        };
        SuccessProbabilities { in_time, before_deadline: ends.max(in_time) }
    }
}

#[cfg(test)]
#[path = "payoff_tests.rs"]
mod tests;
