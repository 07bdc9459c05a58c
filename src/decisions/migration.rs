//! Migration: withdraws an attempt that has not started, so that its job can go to another worker.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::capacity::StartEvidence;
use crate::state::jobs::Job;

impl Dispatcher {
    /// Whether an attempt of the job may be withdrawn before it starts. This applies only in a fleet, where
    /// other dispatchers fill workers unseen by this one.
    pub(crate) fn may_migrate(&self, job: &Job) -> bool {
        let limits = &self.settings.limits;
        limits.cancel
            && !limits.hedged_requests
            && self.settings.reports_start
            && self.settings.fleet_size > 1
            && job.idempotency == Idempotency::Idempotent
            && job.attempts.len() < limits.max_attempts as usize
    }

    /// Withdraws attempts that have passed their start timeout. Load reports are old and all dispatchers act
    /// on the same ones, so a worker may be full on arrival; a job that may be repeated does not wait there
    /// for long.
    pub(crate) fn withdraw_stalled_attempts(&mut self, out: &mut Vec<Action>) {
        let mut stalled = Vec::new();
        for (id, job) in &self.jobs.by_id {
            if self.is_stalled(job) {
                stalled.push(*id);
            }
        }
        for id in stalled {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let number = job.attempts.len() - 1;
            let attempt = &mut job.attempts[number];
            attempt.withdrawn = true;
            let worker = &mut self.workers[attempt.worker];
            worker.infer_slots(attempt.booked_before, StartEvidence::Delayed, self.now);
            worker.changed = true;
            out.push(Action::Cancel { job: id, attempt: number as u32 });
        }
    }

    /// Whether the latest attempt has passed its start timeout and a worker not yet tried is left.
    fn is_stalled(&self, job: &Job) -> bool {
        let Some(latest) = job.attempts.last() else { return false };
        let is_unstarted = latest.holds_booking() && latest.started_at.is_none() && !latest.withdrawn;
        if job.ended || !is_unstarted || self.now - latest.sent_at < latest.start_timeout {
            return false;
        }
        let was_tried = |worker: usize| job.attempts.iter().any(|attempt| attempt.worker == worker);
        self.may_migrate(job) && self.placement.hash_ring.iter().any(|entry| !was_tried(entry.worker))
    }
}
