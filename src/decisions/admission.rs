//! Admission of jobs with their quotas, and final answers: which job is shed or fails, and when.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::{Attempt, Job};

/// Least probability of a useful answer for which a job is held.
const MIN_USEFUL_PROBABILITY: f64 = 0.1;
/// The same where the slow end counts, in which one miss costs the credit of many answers.
const MIN_TIMELY_PROBABILITY: f64 = 0.6;

impl Dispatcher {
    /// Takes a new job. Rule 1: each job carries its own timer, a tick early, so that the answer is never
    /// late.
    pub(crate) fn admit(&mut self, request: &JobRequest, out: &mut Vec<Action>) {
        let class = request.class.0 as usize;
        if class >= self.settings.classes.len() || self.jobs.get(request.job).is_some() {
            return;
        }
        let hint = request.work_hint.filter(|hint| hint.is_finite() && *hint > 0.0);
        let work = self.work.expected_work(class, hint);
        let weight = self.priority_weight(class, work);
        self.work.record_job(work, weight);
        self.arrivals.record(self.now);
        self.retry_counter.record_admitted(self.settings.safety.retry_budget.as_ref(), self.now);
        let quota_weight = match request.tenant {
            Some(tenant) => self.arrivals.quota_weight(tenant, &self.settings, self.now),
            None => 1.0,
        };
        let delay = (request.budget - self.settings.tick).max(0);
        out.push(Action::Timer { delay, token: request.job.0 as u64 });
        let already_spent = self.work.time_already_spent(class, request.budget);
        let key = request.key.filter(|_| self.settings.costs.origin_fetch > 0.0);
        let job = Job {
            class,
            idempotency: self.settings.classes[class].idempotency,
            tenant_class: (request.tenant, request.class),
            need: [request.slots.max(0.0), request.memory.max(0.0)],
            work,
            hinted: hint.is_some(),
            key,
            cached_on: self.placement.cache_locations(key),
            arrived_at: self.now,
            first_asked_at: self.now - already_spent,
            deadline: self.now.saturating_add(request.budget.max(0)),
            relative_weight: quota_weight * weight / self.work.mean_weight.mean.max(f64::MIN_POSITIVE),
            waiting: true,
            ..Job::default()
        };
        self.jobs.insert_waiting(request.job, job);
    }

    /// The priority weight of a job of a class.
    fn priority_weight(&self, class: usize, work: f64) -> f64 {
        let weight = self.settings.classes[class].priority_weight;
        weight * if self.settings.weighted_by_work { work } else { 1.0 }
    }

    /// The timer of a job fired: if its deadline is near, it is answered.
    pub(crate) fn deadline_reached(&mut self, id: JobId, out: &mut Vec<Action>) {
        let answer_from = self.now + 2 * self.settings.tick;
        if self.jobs.get(id).is_some_and(|job| answer_from >= job.deadline) {
            self.answer(id, out);
        }
    }

    /// Rules 1 and 2: the only way to a final answer of our own, once for a job; it is rejected only if
    /// trying again is harmless.
    pub(crate) fn answer(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.ended || job.streaming {
            return;
        }
        let may_repeat = matches!(
            job.idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
        );
        if may_repeat || job.possible_runs().next().is_none() {
            out.push(Action::Reject { job: id, retry_after: self.retry_after(job) });
        } else {
            out.push(Action::Fail { job: id });
        }
        self.end_job(id, out);
    }

    /// How long the client of a rejected job ought to stay away: until the present jobs have run, or for as
    /// long as this one was held.
    fn retry_after(&self, job: &Job) -> Micros {
        let limits = &self.settings.limits;
        let longest = limits.max_retry_after * limits.retry_after as Micros;
        let held = self.now - job.arrived_at;
        (self.mean_run_time() as Micros).max(held).min(longest)
    }

    /// The job is over: cancels what is in flight, once, and forgets the job when nothing is.
    pub(crate) fn end_job(&mut self, id: JobId, out: &mut Vec<Action>) {
        self.jobs.stop_waiting(id);
        let Some(job) = self.jobs.get_mut(id) else { return };
        if self.settings.limits.cancel && !job.streaming && !job.ended {
            for (number, attempt) in job.attempts.iter().enumerate() {
                if attempt.in_flight {
                    out.push(Action::Cancel { job: id, attempt: number as u32 });
                }
            }
        }
        job.ended = true;
        if !job.any_in_flight() {
            self.jobs.by_id.remove(&id);
        }
    }

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

    fn is_cancellable_before_start(&self, job: &Job, attempt: &Attempt) -> bool {
        let may_cancel = self.settings.limits.cancel && self.settings.reports_start;
        let is_only_hope = !job.ended && !job.waiting;
        may_cancel && is_only_hope && attempt.booked && attempt.started_at.is_none()
    }

    /// Whether a waiting job may go to no ready worker, as each may still report on an earlier attempt.
    fn has_no_eligible_worker(&self, job: &Job) -> bool {
        let ring = &self.placement.hash_ring;
        let mut ready = ring.iter().map(|entry| entry.worker);
        job.waiting && !ring.is_empty() && ready.all(|worker| job.late_report_possible_from.contains(&worker))
    }
}
