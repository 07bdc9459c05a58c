//! What a worker reports of its job, and what its timer does.

use super::Gearman;
use super::peer::Peer;
use super::replies::{error_reply, reply};
use super::worker_jobs::report_never_ran;
use super::worker_state::ReservedJob;
use crate::core::{ConnectionState, OutputKind, UpstreamEvent, UpstreamId, clock};
use roselock::{EndpointState, LoadReport, Micros, Outcome};
use roselock_gearman::packet::number;
use roselock_gearman::server::{Expiry, Finish};
use roselock_gearman::{Kind, Packet};
use std::sync::Arc;

/// The load report of a worker at the end of an attempt: while that ran, it had no capacity for another.
pub fn full_report() -> LoadReport {
    LoadReport { free_slots: Some(0.0), ..LoadReport::default() }
}

/// Reports an attempt that was aborted after its worker had grabbed it: it may have run.
pub fn report_late(front: &Gearman, id: UpstreamId) {
    let event = UpstreamEvent::Ended { outcome: Outcome::Timeout, report: full_report(), body: Vec::new() };
    front.post_upstream(id, event, ConnectionState::Free);
}

impl Peer {
    /// The attempt that it runs under a handle, if there is one.
    fn running_attempt(&self, handle: &[u8]) -> Option<UpstreamId> {
        self.worker.lock().running(handle).map(|job| job.id)
    }

    /// The number of the job that it runs under a handle.
    fn running_job_no(&self, handle: &[u8]) -> Option<u64> {
        self.worker.lock().running(handle).and_then(ReservedJob::job_no)
    }

    /// Passes on what precedes the result: WORK_STATUS, WORK_DATA and WORK_WARNING.
    pub fn relay_output(&self, front: &Gearman, packet: &Packet) -> Option<Vec<u8>> {
        let (handle, event) = match *packet {
            Packet::WorkStatus { handle, numerator, denominator } => {
                (handle, self.progress(front, handle, number(numerator)?, number(denominator)?)?)
            }
            Packet::WorkData { handle, data } => {
                (handle, UpstreamEvent::Output { kind: OutputKind::Data, bytes: data.to_vec() })
            }
            Packet::WorkWarning { handle, data } => {
                (handle, UpstreamEvent::Output { kind: OutputKind::Warning, bytes: data.to_vec() })
            }
            _ => return None,
        };
        let id = self.running_attempt(handle)?;
        front.post_upstream(id, event, ConnectionState::Busy);
        None
    }

    /// Notes the progress of the job under a handle; none if it does not run that.
    fn progress(
        &self,
        front: &Gearman,
        handle: &[u8],
        numerator: u64,
        denominator: u64,
    ) -> Option<UpstreamEvent> {
        let job_no = self.running_job_no(handle)?;
        front.jobs.lock().backlog.set_progress(job_no, numerator, denominator);
        let share = if denominator > 0 { numerator as f64 / denominator as f64 } else { 0.0 };
        Some(UpstreamEvent::Progress(share.clamp(0.0, 1.0)))
    }

    /// WORK_EXCEPTION: notes why its job will fail. The job ends with the failure that follows.
    pub fn relay_exception(&self, front: &Gearman, handle: &[u8], reason: &[u8]) -> Option<Vec<u8>> {
        let id = self.running_attempt(handle)?;
        post_exception(front, id, reason.to_vec());
        None
    }

    /// WORK_COMPLETE with a result, or WORK_FAIL without one: ends its job. Reports about other attempts have no effect.
    pub fn finish(&self, front: &Gearman, handle: &[u8], result: Option<&[u8]>) -> Option<Vec<u8>> {
        let job = match self.change(front, |worker| worker.finish(handle)) {
            Finish::Running(job) => job,
            Finish::Abandoned => return None,
            Finish::Unknown => {
                let text = "this connection has no job under this handle";
                return Some(error_reply("JOB_NOT_FOUND", text));
            }
        };
        front.record_run(&job, result.is_some());
        let (outcome, body) = match result {
            Some(data) => (Outcome::Ok, data.to_vec()),
            None => (Outcome::Error, Vec::new()),
        };
        let event = UpstreamEvent::Ended { outcome, report: full_report(), body };
        front.post_upstream(job.id, event, ConnectionState::Free);
        None
    }

    /// Its result is too large: the job fails, and it is free for another.
    pub fn fail_with_too_large_result(&self, front: &Gearman) {
        let Some(job) = self.change(front, |worker| worker.take_running()) else { return };
        post_exception(front, job.id, b"the result is too large".to_vec());
        let event = UpstreamEvent::Ended { outcome: Outcome::Error, report: full_report(), body: Vec::new() };
        front.post_upstream(job.id, event, ConnectionState::Free);
    }

    /// Its timer has expired: it has not grabbed the job that was reserved for it, has not ended the one that it has, or
    /// there is still no job for it.
    pub fn expire(self: &Arc<Self>, front: &Gearman, now: Micros) {
        match self.change(front, |worker| worker.expire(now)) {
            None => {}
            Some(Expiry::NoJob) => self.send(reply(Kind::NoJob, &[])),
            Some(Expiry::NotGrabbed(job)) => {
                tracing::warn!(worker = self.uid(), "gearman: a worker was woken and did not come");
                for function in self.able() {
                    self.list(front, function, EndpointState::Draining);
                }
                report_never_ran(front, job.id, false);
            }
            Some(Expiry::NotFinished(job)) => {
                tracing::warn!(worker = self.uid(), "Gearman worker exceeds its own time limit");
                report_late(front, job.id);
            }
        }
    }
}

fn post_exception(front: &Gearman, id: UpstreamId, reason: Vec<u8>) {
    let event = UpstreamEvent::Output { kind: OutputKind::Exception, bytes: reason };
    front.post_upstream(id, event, ConnectionState::Busy);
}

impl Gearman {
    /// Notes that a worker has ended a job, and whether it failed.
    fn record_run(&self, job: &ReservedJob, has_result: bool) {
        let mut jobs = self.jobs.lock();
        jobs.backlog.record_run(job.function, clock::now() - job.grabbed_at);
        if has_result {
            return;
        }
        if let Some(job_no) = job.job_no() {
            jobs.backlog.set_failed(job_no);
        }
    }
}
