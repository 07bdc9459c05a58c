//! Load shedding: which jobs are answered at once, as no answer of a worker would be of use.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::{Attempt, Job};

/// Least probability of a useful answer for which a job is held.
const MIN_USEFUL_PROBABILITY: f64 = 0.1;
/// The same where the slow end counts, in which one miss costs the credit of many answers.
const MIN_TIMELY_PROBABILITY: f64 = 0.6;

impl Dispatcher {
    /// Answers at once each job that may not be sent again, or that a free worker would hardly serve in time,
    /// nor late for some value: it would only take capacity, also at its worker, from those that wait here.
    pub(crate) fn shed_hopeless(&mut self, out: &mut Vec<Action>) {
        let candidates = self.placement.candidates.iter();
        let run_times = candidates.map(|worker| self.workers[*worker].snapshot.run_time_per_work);
        let shortest = run_times.fold(f64::INFINITY, f64::min);
        let mut hopeless = Vec::new();
        for (id, job) in &self.jobs.by_id {
            if self.is_hopeless(job, shortest) {
                hopeless.push(*id);
            }
        }
        for id in hopeless {
            self.answer(id, out);
        }
    }

    /// `shortest_run_time` is the run time in microseconds of one second's work at the fastest candidate.
    fn is_hopeless(&self, job: &Job, shortest_run_time: f64) -> bool {
        if self.has_no_eligible_worker(job) {
            return true;
        }
        let run_time_per_work = match job.in_flight().next_back() {
            None if job.waiting && shortest_run_time.is_finite() => {
                if !job.is_repeatable(self.now) {
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
        let counts_slow_end = self.settings.tail_miss_fraction.is_some();
        let least = if counts_slow_end { MIN_TIMELY_PROBABILITY } else { MIN_USEFUL_PROBABILITY };
        probabilities.in_time.max(late_value) < least
    }

    /// Whether the attempt could be cancelled before it runs, and the job has no other one waiting.
    fn is_cancellable_before_start(&self, job: &Job, attempt: &Attempt) -> bool {
        let may_cancel = self.settings.limits.cancel && self.settings.reports_start;
        let relies_on_attempts = !job.ended && !job.waiting;
        may_cancel && relies_on_attempts && attempt.booked && attempt.started_at.is_none()
    }

    /// Whether a waiting job may go to no ready worker, as each may still report on an earlier attempt.
    fn has_no_eligible_worker(&self, job: &Job) -> bool {
        let ring = &self.placement.hash_ring;
        let mut ready = ring.iter().map(|entry| entry.worker);
        job.waiting && !ring.is_empty() && ready.all(|worker| job.late_report_possible_from.contains(&worker))
    }
}
