//! Final answers by the dispatcher itself: when a job ends without an answer from a worker, and whether it is
//! rejected or fails.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;

impl Dispatcher {
    /// Handles a job's timer: answers the job if its deadline is within two ticks.
    pub(crate) fn deadline_reached(&mut self, id: JobId, out: &mut Vec<Action>) {
        let answer_from = self.now + 2 * self.settings.tick;
        if self.jobs.get(id).is_some_and(|job| answer_from >= job.deadline) {
            self.send_final_answer(id, out);
        }
    }

    /// Answers a job in place of a worker. Rules 1 and 2: only this function does so, once per job, and it
    /// rejects a job only if a retry by the client does no harm.
    pub(crate) fn send_final_answer(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.ended || job.streaming {
            return;
        }
        let is_safe_to_retry = matches!(
            job.idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
        );
        if is_safe_to_retry || job.possible_runs().next().is_none() {
            out.push(Action::Reject { job: id, retry_after: self.retry_after(job) });
        } else {
            out.push(Action::Fail { job: id });
        }
        self.end_job(id, out);
    }

    /// Retry-After advice for a rejected job: the mean run time, after which the present jobs have run, or
    /// the time for which the job was held if that is longer; 0 where the site gives no advice.
    fn retry_after(&self, job: &Job) -> Micros {
        let limits = &self.settings.limits;
        let max_retry_after = limits.max_retry_after * limits.retry_after as Micros;
        let held = self.now - job.arrived_at;
        (self.mean_run_time() as Micros).max(held).min(max_retry_after)
    }

    /// Ends a job: cancels its attempts in flight, once, and removes it as soon as none is left.
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
}
