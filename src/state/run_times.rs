//! Estimates of run times: the work of each class, and the slowdown of workers relative to speed 1.

use super::estimates::{DecayingMean, LogNormalEstimate, RunningMean};
use super::jobs::RunTimeSample;
use super::workers::Worker;
use crate::api::*;
use std::collections::BTreeMap;

/// Time constant of the slowdown of a worker: speeds change during faults that last some ten seconds.
const WORKER_TIME_CONSTANT_US: f64 = 6e6;
/// Time constant of the slowdown of a machine kind and of the fleet.
const KIND_TIME_CONSTANT_US: f64 = 20e6;
/// Maximum distance of a slowdown sample from the estimate, in log units, which limits the effect of heavy
/// tails.
const MAX_LOG_DEVIATION: f64 = 1.0;
/// Weight of a slowdown sample of a job without a work hint.
const UNHINTED_SAMPLE_WEIGHT: f64 = 0.3;
/// Maximum weight, in samples, of the mean work of a class with hints.
const MAX_HINTED_WORK_SAMPLES: f64 = 100.0;
/// Maximum weight, in samples, of the mean work of a class as inferred from run times.
const MAX_INFERRED_WORK_SAMPLES: f64 = 50.0;
/// Maximum weight of a work distribution, in samples.
const MAX_DISTRIBUTION_SAMPLES: f64 = 200.0;
/// Maximum weight of the means over all classes, in jobs.
const MAX_JOB_SAMPLES: f64 = 200.0;
/// Weight of the prior of the mean work, in jobs.
const PRIOR_WORK_SAMPLES: f64 = 2.0;
/// Lower bound of the work of a sample. Run times have the same lower bound.
const MIN_SAMPLE_SECONDS: f64 = 1e-6;

/// Estimates for the jobs of a class.
pub(crate) struct ClassEstimate {
    /// Mean work in seconds at speed 1.
    pub(crate) mean_work: RunningMean,
    /// Distribution of the work, learned from the run times of jobs without hints.
    pub(crate) distribution: LogNormalEstimate,
    /// Longest budget of any job of the class so far, in microseconds; taken to be that of a client's first
    /// attempt.
    pub(crate) longest_budget: Micros,
}

/// Estimates of the work of jobs.
pub(crate) struct WorkEstimates {
    pub(crate) classes: Vec<ClassEstimate>,
    /// Mean priority weight of a job.
    pub(crate) mean_weight: RunningMean,
    /// Mean work of a job in seconds at speed 1.
    pub(crate) mean_work: RunningMean,
}

impl WorkEstimates {
    /// Estimates before any sample: the work of a class is its latency objective.
    pub(crate) fn new(classes: &[Class]) -> WorkEstimates {
        let initial_work = |class: &Class| class.latency_objective.max(SECOND / 1000) as f64 / SECOND as f64;
        let mean = classes.iter().map(initial_work).sum::<f64>() / classes.len() as f64;
        let estimate = |class: &Class| ClassEstimate {
            mean_work: RunningMean { mean: initial_work(class), samples: 1.0 },
            distribution: LogNormalEstimate::new(initial_work(class)),
            longest_budget: 0,
        };
        WorkEstimates {
            classes: classes.iter().map(estimate).collect(),
            mean_weight: RunningMean::default(),
            mean_work: RunningMean { mean, samples: PRIOR_WORK_SAMPLES },
        }
    }

    /// Expected work of an arriving job in seconds at speed 1: its hint, or else the mean of its class.
    pub(crate) fn expected_work(&mut self, class: usize, hint: Option<f64>) -> f64 {
        let mean_work = &mut self.classes[class].mean_work;
        if let Some(hint) = hint {
            mean_work.add(hint, 1.0, MAX_HINTED_WORK_SAMPLES);
        }
        hint.unwrap_or(mean_work.mean)
    }

    /// Records the work and the priority weight of an arriving job.
    pub(crate) fn record_job(&mut self, work: f64, weight: f64) {
        self.mean_weight.add(weight, 1.0, MAX_JOB_SAMPLES);
        self.mean_work.add(work, 1.0, MAX_JOB_SAMPLES);
    }

    /// Time since the client's first attempt, in microseconds, when a job with this budget arrives. Each
    /// retry of a client comes with a smaller budget, so the difference to the longest budget has been spent.
    pub(crate) fn time_since_first_attempt(&mut self, class: usize, budget: Micros) -> Micros {
        let longest = &mut self.classes[class].longest_budget;
        *longest = (*longest).max(budget);
        if budget > *longest / 2 { *longest - budget } else { 0 }
    }

    /// Updates the work estimates of a class from the run time of a job without a hint and the slowdown of
    /// its worker.
    fn learn_class_work(&mut self, class: usize, run_seconds: f64, log_slowdown: f64, weight: f64) {
        let class = &mut self.classes[class];
        class.mean_work.add(run_seconds / log_slowdown.exp(), weight, MAX_INFERRED_WORK_SAMPLES);
        class.distribution.add(run_seconds.ln() - log_slowdown, weight, MAX_DISTRIBUTION_SAMPLES);
    }
}

/// Slowdown of workers, machine kinds and the fleet relative to speed 1, as log(run time / work).
#[derive(Default)]
pub(crate) struct SlowdownEstimates {
    fleet: DecayingMean,
    kinds: BTreeMap<KindId, DecayingMean>,
    /// Pooled mean of each kind as of the last pass.
    kind_means: BTreeMap<KindId, f64>,
}

impl SlowdownEstimates {
    /// Recomputes the means of the kinds for a pass.
    pub(crate) fn refresh(&mut self, now: Micros) {
        let fleet = self.fleet_mean(now);
        let pooled = |kind: &DecayingMean| kind.pooled(fleet, now, KIND_TIME_CONSTANT_US);
        self.kind_means = self.kinds.iter().map(|(id, kind)| (*id, pooled(kind))).collect();
    }

    pub(crate) fn fleet_mean(&self, now: Micros) -> f64 {
        self.fleet.pooled(0.0, now, KIND_TIME_CONSTANT_US)
    }

    /// Log slowdown of a worker: the mean of its samples with the mean of its kind as the prior, which in
    /// turn has that of the fleet as the prior.
    pub(crate) fn of_worker(&self, worker: &Worker, now: Micros) -> f64 {
        let kind = self.kind_means.get(&worker.endpoint.kind).copied().unwrap_or(0.0);
        worker
            .timing
            .log_slowdown
            .pooled(kind, now, WORKER_TIME_CONSTANT_US)
            .max(worker.timing.min_log_slowdown)
    }

    /// Run time in microseconds of one second of work at a worker.
    pub(crate) fn run_time_per_work(&self, worker: &Worker, now: Micros) -> f64 {
        self.of_worker(worker, now).exp() * SECOND as f64
    }

    /// Updates the estimates from a run time at a worker.
    pub(crate) fn learn(
        &mut self,
        work_estimates: &mut WorkEstimates,
        worker: &mut Worker,
        sample: &RunTimeSample,
        now: Micros,
    ) {
        let run_seconds = sample.run_time.max(1.0) / SECOND as f64;
        let current = self.of_worker(worker, now);
        if !sample.hinted {
            work_estimates.learn_class_work(sample.class, run_seconds, current, sample.weight);
        }
        let log = (run_seconds / sample.work.max(MIN_SAMPLE_SECONDS)).ln();
        let log = log.clamp(current - MAX_LOG_DEVIATION, current + MAX_LOG_DEVIATION);
        let weight = if sample.hinted { sample.weight } else { UNHINTED_SAMPLE_WEIGHT * sample.weight };
        worker.timing.log_slowdown.add(log, weight, now, WORKER_TIME_CONSTANT_US);
        let kind = self.kinds.entry(worker.endpoint.kind).or_default();
        kind.add(log, weight, now, KIND_TIME_CONSTANT_US);
        self.fleet.add(log, weight, now, KIND_TIME_CONSTANT_US);
    }
}
