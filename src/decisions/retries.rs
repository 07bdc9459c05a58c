//! The end of an attempt: what is learned from its outcome, and whether the job is retried.

use crate::api::*;
use crate::dispatcher::{AttemptResult, Dispatcher};
use crate::state::capacity::StartEvidence;
use crate::state::jobs::{RunTimeSample, TenantClass};

/// How long a worker that rejected a class despite free slots is assumed to reject it, in microseconds.
const CLASS_REJECTION_TTL: Micros = 10 * SECOND;
/// Reported free slots above which a rejection is not attributed to a lack of slots.
const MIN_FREE_SLOTS: f64 = 0.5;

/// An attempt that has ended, with the state of its booking before that.
struct EndedAttempt {
    /// Index of the worker.
    worker: usize,
    tenant_class: TenantClass,
    booked_before: f64,
    /// Microseconds since its start, or since the send if no start was reported.
    elapsed: Micros,
    /// The worker has not responded since the send, more than a tick ago. On a timeout or cancellation it is
    /// ejected, since freeing the booking must not make a vanished worker look idle.
    no_response: bool,
    /// Its run time, if it is known or assumed to have run.
    run: Option<RunTimeSample>,
}

impl Dispatcher {
    /// Handles the end of an attempt.
    pub(crate) fn attempt_ended(
        &mut self,
        id: JobId,
        number: u32,
        result: &AttemptResult,
        out: &mut Vec<Action>,
    ) {
        let Some(ended) = self.finish_attempt(id, number, result) else { return };
        self.learn_from_outcome(&ended, result, out);
        let is_unreachable = match result.outcome {
            Outcome::Reset | Outcome::ConnectFailed => true,
            Outcome::Timeout | Outcome::Cancelled => ended.no_response,
            _ => false,
        };
        if is_unreachable {
            self.eject(ended.worker, out);
        }
        self.close_if_draining(ended.worker, out);
        let job_ended = self.jobs.get(id).is_some_and(|job| job.ended);
        if result.concluded || result.outcome == Outcome::Ok || job_ended {
            self.end_job(id, out);
        } else {
            self.retry(id, out);
        }
    }

    /// Marks an attempt as ended, frees its booking, and records the worker's response and load report.
    fn finish_attempt(&mut self, id: JobId, number: u32, result: &AttemptResult) -> Option<EndedAttempt> {
        let now = self.now;
        let job = self.jobs.by_id.get_mut(&id)?;
        let attempt = job.attempts.get_mut(number as usize).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.never_ran = result.outcome.never_ran(self.settings.safety.rejection_may_have_run);
        let counts_as_running = attempt.started_at.is_some() || !self.settings.reports_start;
        let freed = std::mem::take(&mut attempt.booked).then_some(job.need);
        let job = &*job;
        let attempt = &job.attempts[number as usize];
        let ran = matches!(result.outcome, Outcome::Ok | Outcome::Error);
        let worker = &mut self.workers[attempt.worker];
        worker.changed = true;
        worker.timing.attempt_ended();
        if ran {
            worker.apply_report(result.report, now);
        }
        if let Some(need) = freed {
            worker.bookings.free(need, counts_as_running, now);
        }
        // A load report predates the answer: it still counts a job that ran, but never a rejected one.
        if !ran {
            worker.apply_report(result.report, now);
        }
        let elapsed = now - attempt.started_at.unwrap_or(attempt.sent_at);
        let silent_since_send =
            attempt.last_update_at == attempt.sent_at && worker.health.last_response_at < attempt.sent_at;
        if ran || result.outcome == Outcome::Rejected {
            worker.record_response(attempt.sent_at, now);
            worker.connections.idle_since.push(now);
        }
        worker.connections.may_be_open = true;
        let run = job.run_time_sample(elapsed as f64, 1.0);
        Some(EndedAttempt {
            worker: attempt.worker,
            tenant_class: job.tenant_class,
            booked_before: attempt.booked_before,
            elapsed,
            no_response: silent_since_send && elapsed > self.prices.tick,
            run: counts_as_running.then_some(run),
        })
    }

    /// Updates the estimates of the worker from the outcome.
    fn learn_from_outcome(&mut self, ended: &EndedAttempt, result: &AttemptResult, out: &mut Vec<Action>) {
        let now = self.now;
        let worker = &mut self.workers[ended.worker];
        match result.outcome {
            Outcome::Ok => {
                worker.health.record_success(now);
                if let Some(run) = &ended.run {
                    self.slowdown.learn(&mut self.work, worker, run, now);
                }
            }
            Outcome::Error => worker.health.record_error(now),
            // Rejected despite free slots: the worker rejects this class of the tenant.
            Outcome::Rejected if result.report.free_slots.is_some_and(|free| free > MIN_FREE_SLOTS) => {
                worker.reject_class(ended.tenant_class, now + CLASS_REJECTION_TTL);
            }
            Outcome::Rejected => worker.infer_slots(ended.booked_before, StartEvidence::Delayed, now),
            Outcome::Reset => self.connection_reset(ended.worker, out),
            Outcome::ConnectFailed if ended.elapsed < self.settings.limits.connect_timeout / 2 => {
                self.infer_restart(ended.worker);
            }
            _ => {}
        }
    }

    /// Handles a reset connection, which may mean a restart; a health check, where permitted, shows whether
    /// it does.
    fn connection_reset(&mut self, index: usize, out: &mut Vec<Action>) {
        self.infer_restart(index);
        let worker = &mut self.workers[index];
        worker.health.reset_is_only_sign = true;
        if self.settings.limits.health_checks_allowed {
            worker.health.checked_at = self.now;
            out.push(Action::HealthCheck(worker.endpoint.worker));
        }
    }

    /// Queues the job for one more attempt if its class and the site allow one. Otherwise it is answered as
    /// soon as it has no attempt in flight.
    pub(crate) fn retry(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.ended || job.waiting || job.streaming {
            return;
        }
        let any_in_flight = job.any_in_flight();
        let limits = &self.settings.limits;
        let may_retry = job.is_retryable(self.now)
            && job.attempts.len() < limits.max_attempts as usize
            && (!any_in_flight || limits.hedged_requests);
        if may_retry {
            self.jobs.requeue(id);
        } else if !any_in_flight {
            self.send_final_answer(id, out);
        }
    }
}

#[cfg(test)]
#[path = "retries_tests.rs"]
mod tests;
