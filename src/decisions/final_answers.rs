//! Final answers of our own: when a job is answered without a worker's answer, and whether it is rejected or
//! fails.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;

impl Dispatcher {
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
}
