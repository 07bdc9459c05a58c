//! Payoff: the value of starting a job on a worker now, based on the probability of a useful answer.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;
use crate::state::prices::PAYOFF_WINDOW_TICKS;
use crate::state::workers::Worker;

/// Weight of saved ticks (β, γ). Like the next weight it is small: both only rank otherwise equal choices.
const SAVED_STEPS_WEIGHT: f64 = 0.05;
/// Bonus for a start early within the latency objective (ζ2).
const EARLY_START_BONUS: f64 = 0.05;
/// Fraction of the latency objective that counts as early (t2').
const EARLY_START_FRACTION: f64 = 0.5;
/// Payoff of any start (σ).
const START_PAYOFF: f64 = 0.02;
/// Cost of missing the latency objective where the site scores tail latency, in priority weights of the job.
const TAIL_MISS_COST: f64 = 1.0;
/// Probabilities that a job's data is missing at its first and at its second cache location.
const CACHE_LOCATION_MISS_PROBABILITY: [f64; 2] = [0.3, 0.7];
/// Probability that data is missing at a worker that was sent its key recently: other data may have evicted
/// it.
const RECENT_KEY_MISS_PROBABILITY: f64 = 0.4;
/// Probability that a hinted job is answered in time although its expected run exceeds the client's deadline.
const LATE_HINTED_ANSWER_PROBABILITY: f64 = 0.1;

/// The value of starting a job on a worker now.
pub(crate) struct Payoff {
    /// In mean priority weights.
    pub(crate) value: f64,
    /// Expected run time in ticks (ô).
    pub(crate) ticks: f64,
}

/// Probabilities that the answer of a job is of use.
pub(crate) struct SuccessProbabilities {
    /// The job ends within its latency objective.
    pub(crate) within_objective: f64,
    /// The job ends before the client's deadline.
    pub(crate) before_deadline: f64,
}

impl Dispatcher {
    /// The payoff of starting a job on a worker now: the terms of the paper that [`super`] names, scaled by
    /// the job's priority weight. Its end-to-end indicator is replaced by the probability under the learned
    /// start delay.
    pub(crate) fn payoff(&self, job: &Job, index: usize) -> Payoff {
        let worker = &self.workers[index];
        let snapshot = &worker.snapshot;
        let costs = &self.settings.costs;
        // Relative to the best candidate, taken as 1: a fault of all workers alike excludes none of them.
        let success = snapshot.success / self.placement.best_success;
        let fees = snapshot.fees + self.expected_fetch_cost(job, worker, index);
        let ticks = job.work * snapshot.run_time_per_work / self.prices.tick as f64;
        let late_fraction = self.settings.classes[job.class].late_answer_fraction;
        let probabilities = self.success_probabilities(job, snapshot.run_time_per_work, snapshot.start_delay);
        let SuccessProbabilities { within_objective, before_deadline } = probabilities;
        if self.has_live_attempt(job) {
            // Beside an attempt on a live worker, another one adds only a chance of meeting the latency
            // objective, at the cost of its work.
            let gain = (1.0 - late_fraction) * within_objective * before_deadline * success;
            let value = job.relative_weight * (gain - costs.wasted_work) - fees;
            return Payoff { value, ticks };
        }
        let window_left = self.ticks_left_in_window();
        let throughput = late_fraction * before_deadline * ticks.min(window_left) / ticks;
        let saved =
            SAVED_STEPS_WEIGHT * ((window_left - ticks).max(0.0) + window_left) / (2.0 * PAYOFF_WINDOW_TICKS);
        let early_start = if self.starts_early(job) { EARLY_START_BONUS } else { 0.0 };
        let tail_miss = match self.settings.tail_miss_fraction {
            Some(_) => TAIL_MISS_COST * (1.0 - within_objective * before_deadline),
            None => 0.0,
        };
        let timely = (1.0 - late_fraction) * within_objective * before_deadline;
        let gain = throughput + timely + saved + early_start - tail_miss;
        let expected = success * gain - (1.0 - success) * costs.late_failure;
        Payoff { value: job.relative_weight * expected + START_PAYOFF - fees, ticks }
    }

    /// Expected cost of fetching a job's data from its origin, in mean priority weights.
    fn expected_fetch_cost(&self, job: &Job, worker: &Worker, index: usize) -> f64 {
        let Some(key) = job.key else { return 0.0 };
        let location = job.cached_on.iter().position(|cached_on| *cached_on == Some(index));
        let location_miss = location.map_or(1.0, |location| CACHE_LOCATION_MISS_PROBABILITY[location]);
        let key_miss = if worker.remembers_key(key) { RECENT_KEY_MISS_PROBABILITY } else { 1.0 };
        self.settings.costs.origin_fetch * location_miss * key_miss
    }

    /// Whether the job has an attempt in flight at a worker that is not ejected.
    fn has_live_attempt(&self, job: &Job) -> bool {
        job.in_flight().any(|attempt| !self.workers[attempt.worker].health.is_ejected())
    }

    fn ticks_left_in_window(&self) -> f64 {
        let now = self.now as f64 / self.prices.tick as f64;
        (self.prices.window_end - now + 1.0).max(1.0)
    }

    /// Whether a start now would be early within the job's latency objective.
    fn starts_early(&self, job: &Job) -> bool {
        let class = &self.settings.classes[job.class];
        let objective = class.latency_objective as f64 + class.objective_per_work * job.work * SECOND as f64;
        self.now as f64 - job.client_first_attempt_at as f64 <= EARLY_START_FRACTION * objective
    }

    /// Success probabilities of a job that starts after `start_delay` microseconds at a worker that takes
    /// `run_time_per_work` microseconds for one second's work.
    pub(crate) fn success_probabilities(
        &self,
        job: &Job,
        run_time_per_work: f64,
        start_delay: f64,
    ) -> SuccessProbabilities {
        let class = &self.settings.classes[job.class];
        let now = self.now as f64;
        let elapsed = now - job.client_first_attempt_at as f64;
        let time_left = job.deadline as f64 - now;
        let objective_left = class.latency_objective as f64 - elapsed - start_delay;
        if job.hinted {
            let run = job.work * run_time_per_work;
            let slack = objective_left + class.objective_per_work * job.work * SECOND as f64 - run;
            let uncertainty = 0.2 * run + 0.5 * start_delay + 2.0 * self.settings.tick as f64;
            let is_before_deadline = run + start_delay < time_left;
            return SuccessProbabilities {
                within_objective: 1.0 / (1.0 + (-slack / uncertainty).exp()),
                before_deadline: if is_before_deadline { 1.0 } else { LATE_HINTED_ANSWER_PROBABILITY },
            };
        }
        // Without a hint the work follows the distribution of the class: the shorter the job, the smaller its
        // latency objective; the longer the job, the less time is left before the deadline.
        let distribution = &self.work.classes[job.class].distribution;
        let gain = class.objective_per_work * SECOND as f64 - run_time_per_work;
        let before_deadline = distribution.probability_below((time_left - start_delay) / run_time_per_work);
        let within_objective = if objective_left >= 0.0 && gain >= 0.0 {
            before_deadline
        } else if objective_left >= 0.0 {
            before_deadline.min(distribution.probability_below(objective_left / -gain))
        } else if gain >= 0.0 {
            (before_deadline - distribution.probability_below(-objective_left / gain)).max(0.0)
        } else {
            0.0
        };
        SuccessProbabilities { within_objective, before_deadline: before_deadline.max(within_objective) }
    }
}

#[cfg(test)]
#[path = "payoff_tests.rs"]
mod tests;
