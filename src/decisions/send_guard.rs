//! The send guard: all rules that a send must satisfy, checked in one place independently of the decisions
//! before it.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::{Attempt, Job};
use crate::state::workers::Worker;

/// Time that a repeat may take to arrive at a worker, in microseconds.
const REPEAT_ARRIVAL_MARGIN: Micros = SECOND / 100;

impl Dispatcher {
    /// Whether a job may be sent to a worker under rules 2 to 5 and the site's limits. Every send passes this
    /// check.
    pub(crate) fn may_send(&self, job: &Job, index: usize) -> bool {
        let worker = &self.workers[index];
        self.accepts_sends(worker)
            && self.may_attempt(job)
            && !job.late_report_possible_from.contains(&index)
            && self.is_eligible(job, worker)
            && self.may_hedge(job, index)
            && self.repeat_is_safe(job, worker)
            && self.within_slow_start_budget(worker, job)
    }

    /// Rule 3: nothing new is sent to a worker once its drain has been notified, nor based on an expired
    /// list.
    fn accepts_sends(&self, worker: &Worker) -> bool {
        worker.ready && self.list_is_valid()
    }

    /// Whether the job may have one more attempt at any worker.
    fn may_attempt(&self, job: &Job) -> bool {
        let attempts = job.attempts.len();
        !job.ended
            && !job.streaming
            && self.now < job.deadline
            && attempts < self.settings.limits.max_attempts as usize
            && (attempts == 0 || self.within_retry_budget())
    }

    /// Rule 5: whether the site's retry budget allows one more attempt beyond a job's first.
    fn within_retry_budget(&self) -> bool {
        self.retry_counter.allows_retry(self.settings.safety.retry_budget.as_ref(), self.now)
    }

    /// Whether the worker is of the kind that the class requires. While the list is unconfirmed, a job that
    /// must not run twice also requires that the worker has responded.
    fn is_eligible(&self, job: &Job, worker: &Worker) -> bool {
        let kind = self.settings.classes[job.class].kind;
        let needs_response = self.discovery.unconfirmed && job.idempotency == Idempotency::NonIdempotent;
        kind.is_none_or(|kind| kind == worker.endpoint.kind)
            && !(needs_response && worker.health.is_ejected())
    }

    /// Whether an attempt here may start beside those in flight: only where hedged requests are allowed, and
    /// only at a worker that has none of them.
    fn may_hedge(&self, job: &Job, index: usize) -> bool {
        let is_elsewhere = job.in_flight().all(|attempt| attempt.worker != index);
        !job.any_in_flight() || (self.settings.limits.hedged_requests && is_elsewhere)
    }

    /// Rule 2: whether a repeat is safe after the attempts that may have run.
    fn repeat_is_safe(&self, job: &Job, worker: &Worker) -> bool {
        let Some(first_run) = job.possible_runs().next() else { return true };
        match job.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { scope, window } => {
                // The repeat must arrive while the workers in the key's scope still remember the key.
                let in_window = self.now - first_run.sent_at < window - REPEAT_ARRIVAL_MARGIN;
                let shares_keys = |attempt: &Attempt| {
                    scope.shares_keys(&self.workers[attempt.worker].endpoint, &worker.endpoint)
                };
                in_window && job.possible_runs().all(shares_keys)
            }
        }
    }
}

#[cfg(test)]
#[path = "send_guard_tests.rs"]
mod tests;
