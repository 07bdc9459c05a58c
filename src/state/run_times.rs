//! Run times: the work of each class and by how much workers run slower than speed 1.

use super::estimates::{DecayingMean, LogNormalEstimate, RunningMean};
use super::jobs::RunTimeSample;
use super::workers::Worker;
use crate::api::*;
use std::collections::BTreeMap;

/// Time constant of the slowdown of a worker, in microseconds: speeds change within faults of some ten
/// seconds.
const WORKER_SLOWDOWN_MEMORY: f64 = 6e6;
/// Time constant of the slowdown of a kind and of the fleet, in microseconds.
const KIND_SLOWDOWN_MEMORY: f64 = 20e6;
/// Bound of a slowdown sample around the estimate, in log units, against heavy tails.
const MAX_LOG_DEVIATION: f64 = 1.0;
/// Weight of a slowdown sample of a job without a work hint.
const UNHINTED_WEIGHT: f64 = 0.3;
/// Samples that the means of hinted work stand for, at most.
const HINTED_WORK_SAMPLES: f64 = 100.0;
/// Samples that the mean of inferred work stands for, at most.
const INFERRED_WORK_SAMPLES: f64 = 50.0;
/// Samples that a work distribution stands for, at most.
const DISTRIBUTION_SAMPLES: f64 = 200.0;
/// Jobs that the means over all classes stand for, at most.
const MEAN_JOB_SAMPLES: f64 = 200.0;
/// Weight of the first guess of the mean work, in jobs.
const FIRST_GUESS_SAMPLES: f64 = 2.0;
/// Least work and run time of a sample, in seconds.
const MIN_SAMPLE: f64 = 1e-6;

/// What is known of the jobs of a class.
pub(crate) struct ClassEstimate {
    /// Seconds at speed 1.
    pub(crate) mean_work: RunningMean,
    /// How the work varies, where it is learned from runs.
    pub(crate) distribution: LogNormalEstimate,
    /// The longest budget that a job of the class came with, in microseconds: that of a client's first
    /// attempt.
    pub(crate) longest_budget: Micros,
}

/// What is known of the work of jobs.
pub(crate) struct WorkEstimates {
    pub(crate) classes: Vec<ClassEstimate>,
    pub(crate) mean_weight: RunningMean,
    /// Seconds at speed 1.
    pub(crate) mean_work: RunningMean,
}

impl WorkEstimates {
    /// First guesses: the work of a class is its latency objective.
    pub(crate) fn new(classes: &[Class]) -> WorkEstimates {
        let first_guess = |class: &Class| class.latency_objective.max(SECOND / 1000) as f64 / SECOND as f64;
        let mean = classes.iter().map(first_guess).sum::<f64>() / classes.len() as f64;
        let estimate = |class: &Class| ClassEstimate {
            mean_work: RunningMean { mean: first_guess(class), samples: 1.0 },
            distribution: LogNormalEstimate::new(first_guess(class)),
            longest_budget: 0,
        };
        WorkEstimates {
            classes: classes.iter().map(estimate).collect(),
            mean_weight: RunningMean::default(),
            mean_work: RunningMean { mean, samples: FIRST_GUESS_SAMPLES },
        }
    }

    /// The work of a job that arrives, in seconds at speed 1: the hint, or else the mean of its class.
    pub(crate) fn expected_work(&mut self, class: usize, hint: Option<f64>) -> f64 {
        let mean_work = &mut self.classes[class].mean_work;
        if let Some(hint) = hint {
            mean_work.add(hint, 1.0, HINTED_WORK_SAMPLES);
        }
        hint.unwrap_or(mean_work.mean)
    }

    /// Records the work and the priority weight of a job that arrives.
    pub(crate) fn record_job(&mut self, work: f64, weight: f64) {
        self.mean_weight.add(weight, 1.0, MEAN_JOB_SAMPLES);
        self.mean_work.add(work, 1.0, MEAN_JOB_SAMPLES);
    }

    /// How long before its arrival a client first asked, in microseconds: each further attempt of a client
    /// brings the smaller budget.
    pub(crate) fn time_already_spent(&mut self, class: usize, budget: Micros) -> Micros {
        let longest = &mut self.classes[class].longest_budget;
        *longest = (*longest).max(budget);
        if budget > *longest / 2 { *longest - budget } else { 0 }
    }

    /// Without hints the work of a class is known only through the run times and speeds seen.
    fn learn_unhinted(&mut self, class: usize, run_seconds: f64, log_slowdown: f64, weight: f64) {
        let class = &mut self.classes[class];
        class.mean_work.add(run_seconds / log_slowdown.exp(), weight, INFERRED_WORK_SAMPLES);
        class.distribution.add(run_seconds.ln() - log_slowdown, weight, DISTRIBUTION_SAMPLES);
    }
}

/// By how much workers, kinds and the fleet run slower than speed 1, as log(run time / work).
#[derive(Default)]
pub(crate) struct SlowdownEstimates {
    fleet: DecayingMean,
    kinds: BTreeMap<KindId, DecayingMean>,
    /// Mean of each kind as of the last pass.
    kind_means: BTreeMap<KindId, f64>,
}

impl SlowdownEstimates {
    /// Fixes the means of the kinds for a pass.
    pub(crate) fn refresh(&mut self, now: Micros) {
        let fleet = self.fleet_mean(now);
        let pooled = |kind: &DecayingMean| kind.pooled(fleet, now, KIND_SLOWDOWN_MEMORY);
        self.kind_means = self.kinds.iter().map(|(id, kind)| (*id, pooled(kind))).collect();
    }

    pub(crate) fn fleet_mean(&self, now: Micros) -> f64 {
        self.fleet.pooled(0.0, now, KIND_SLOWDOWN_MEMORY)
    }

    /// Of a worker: its own samples over those of its kind over those of the fleet.
    pub(crate) fn of_worker(&self, worker: &Worker, now: Micros) -> f64 {
        let kind = self.kind_means.get(&worker.listed.kind).copied().unwrap_or(0.0);
        worker.timing.log_slowdown.pooled(kind, now, WORKER_SLOWDOWN_MEMORY).max(worker.timing.overrun)
    }

    /// Microseconds that one second's work takes at a worker.
    pub(crate) fn run_time_per_work(&self, worker: &Worker, now: Micros) -> f64 {
        self.of_worker(worker, now).exp() * SECOND as f64
    }

    /// Learns from a run time at a worker.
    pub(crate) fn learn(
        &mut self,
        work_estimates: &mut WorkEstimates,
        worker: &mut Worker,
        sample: &RunTimeSample,
        now: Micros,
    ) {
        let run_seconds = sample.run_time.max(1.0) / SECOND as f64;
        let present = self.of_worker(worker, now);
        if !sample.hinted {
            work_estimates.learn_unhinted(sample.class, run_seconds, present, sample.weight);
        }
        let log = (run_seconds / sample.work.max(MIN_SAMPLE)).ln();
        let log = log.clamp(present - MAX_LOG_DEVIATION, present + MAX_LOG_DEVIATION);
        let weight = if sample.hinted { sample.weight } else { UNHINTED_WEIGHT * sample.weight };
        worker.timing.log_slowdown.add(log, weight, now, WORKER_SLOWDOWN_MEMORY);
        let kind = self.kinds.entry(worker.listed.kind).or_default();
        kind.add(log, weight, now, KIND_SLOWDOWN_MEMORY);
        self.fleet.add(log, weight, now, KIND_SLOWDOWN_MEMORY);
    }
}
