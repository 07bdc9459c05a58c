//! Load shedding: which jobs are answered at once because a worker's answer would hardly be of use.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::{Attempt, Job};

/// Jobs whose probability of a useful answer is lower are shed.
const MIN_USEFUL_PROBABILITY: f64 = 0.1;
/// The same where the site scores tail latency: there one miss costs the value of many answers.
const MIN_TIMELY_PROBABILITY: f64 = 0.6;

impl Dispatcher {
    /// Answers at once each job that may not be sent again, or that even a free worker is unlikely to serve
    /// within its latency objective, or late for part of the value. Such a job, even if it is queued at a
    /// worker, would only take capacity from the waiting jobs.
    pub(crate) fn shed_jobs(&mut self, out: &mut Vec<Action>) {
        let candidates = self.placement.candidates.iter();
        let run_times = candidates.map(|worker| self.workers[*worker].snapshot.run_time_per_work);
        let shortest_run_time = run_times.fold(f64::INFINITY, f64::min);
        let mut to_shed = Vec::new();
        for (id, job) in &self.jobs.by_id {
            if self.should_shed(job, shortest_run_time) {
                to_shed.push(*id);
            }
        }
        for id in to_shed {
            self.send_final_answer(id, out);
        }
    }

    /// Whether to shed a job. `shortest_run_time` is the run time, in microseconds, of one second's work at
    /// the fastest candidate.
    fn should_shed(&self, job: &Job, shortest_run_time: f64) -> bool {
        if self.has_no_eligible_worker(job) {
            return true;
        }
        let run_time_per_work = match job.in_flight().next_back() {
            None if job.waiting && shortest_run_time.is_finite() => {
                if !job.is_retryable(self.now) {
                    return true;
                }
                shortest_run_time
            }
            Some(attempt) if self.is_cancellable_before_start(job, attempt) => {
                self.slowdown.run_time_per_work(&self.workers[attempt.worker], self.now)
            }
            _ => return false,
        };
        let probabilities = self.success_probabilities(job, run_time_per_work, 0.0);
        let late_value =
            self.settings.classes[job.class].late_answer_fraction * probabilities.before_deadline;
        let scores_tail_latency = self.settings.tail_miss_fraction.is_some();
        let min_probability =
            if scores_tail_latency { MIN_TIMELY_PROBABILITY } else { MIN_USEFUL_PROBABILITY };
        probabilities.within_objective.max(late_value) < min_probability
    }

    /// Whether the attempt can still be cancelled before it runs, and the job does not wait for another send.
    fn is_cancellable_before_start(&self, job: &Job, attempt: &Attempt) -> bool {
        let may_cancel = self.settings.limits.cancel && self.settings.reports_start;
        let relies_on_attempts = !job.ended && !job.waiting;
        may_cancel && relies_on_attempts && attempt.booked && attempt.started_at.is_none()
    }

    /// Whether a waiting job can be sent to no ready worker, because each may still report on an earlier
    /// attempt.
    fn has_no_eligible_worker(&self, job: &Job) -> bool {
        let ring = &self.placement.hash_ring;
        let mut ready = ring.iter().map(|entry| entry.worker);
        job.waiting && !ring.is_empty() && ready.all(|worker| job.late_report_possible_from.contains(&worker))
    }
}
