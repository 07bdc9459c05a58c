//! Handles the reports of workers about their jobs, and the timeouts of workers.

use super::Gearman;
use super::peer::Peer;
use super::replies::{error_reply, reply};
use super::worker_jobs::report_not_started;
use super::worker_state::ReservedJob;
use crate::core::{ConnectionState, OutputKind, UpstreamEvent, UpstreamId, clock};
use roselock::{EndpointState, LoadReport, Micros, Outcome};
use roselock_gearman::packet::parse_number;
use roselock_gearman::server::{Expiry, Finish};
use roselock_gearman::{Kind, Packet};
use std::sync::Arc;

/// The load report of a worker at the end of an attempt: the worker had no capacity for other jobs during the attempt.
pub fn no_capacity_report() -> LoadReport {
    LoadReport { free_slots: Some(0.0), ..LoadReport::default() }
}

/// Reports an attempt that was aborted after its worker had grabbed it: it may have run.
pub fn report_timeout(front: &Gearman, id: UpstreamId) {
    let event =
        UpstreamEvent::Ended { outcome: Outcome::Timeout, report: no_capacity_report(), body: Vec::new() };
    front.post_upstream_event(id, event, ConnectionState::Free);
}

impl Peer {
    /// The attempt that the worker runs under a handle.
    fn running_attempt(&self, handle: &[u8]) -> Option<UpstreamId> {
        self.worker.lock().running(handle).map(|job| job.id)
    }

    /// The number of the job that the worker runs under a handle.
    fn running_job_no(&self, handle: &[u8]) -> Option<u64> {
        self.worker.lock().running(handle).and_then(ReservedJob::job_no)
    }

    /// Handles WORK_STATUS, WORK_DATA and WORK_WARNING: relays progress and output that precede the result.
    pub fn relay_output(&self, front: &Gearman, packet: &Packet) -> Option<Vec<u8>> {
        let (handle, event) = match *packet {
            Packet::WorkStatus { handle, numerator, denominator } => (
                handle,
                self.record_progress(front, handle, parse_number(numerator)?, parse_number(denominator)?)?,
            ),
            Packet::WorkData { handle, data } => {
                (handle, UpstreamEvent::Output { kind: OutputKind::Data, bytes: data.to_vec() })
            }
            Packet::WorkWarning { handle, data } => {
                (handle, UpstreamEvent::Output { kind: OutputKind::Warning, bytes: data.to_vec() })
            }
            _ => return None,
        };
        let id = self.running_attempt(handle)?;
        front.post_upstream_event(id, event, ConnectionState::Busy);
        None
    }

    /// Records the progress of the job under a handle. Returns `None` if the worker does not run the job.
    fn record_progress(
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

    /// Handles WORK_EXCEPTION: relays the reason why the job fails. The job ends with the WORK_FAIL that follows.
    pub fn relay_exception(&self, front: &Gearman, handle: &[u8], reason: &[u8]) -> Option<Vec<u8>> {
        let id = self.running_attempt(handle)?;
        post_exception(front, id, reason.to_vec());
        None
    }

    /// Handles WORK_COMPLETE (with a result) and WORK_FAIL (without): ends the running attempt. Reports about other
    /// attempts have no effect.
    pub fn finish(&self, front: &Gearman, handle: &[u8], result: Option<&[u8]>) -> Option<Vec<u8>> {
        let job = match self.update(front, |worker| worker.finish(handle)) {
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
        let event = UpstreamEvent::Ended { outcome, report: no_capacity_report(), body };
        front.post_upstream_event(job.id, event, ConnectionState::Free);
        None
    }

    /// Fails the running job because its result is too large. The worker is then free for another job.
    pub fn fail_with_too_large_result(&self, front: &Gearman) {
        let Some(job) = self.update(front, |worker| worker.take_running()) else { return };
        post_exception(front, job.id, b"the result is too large".to_vec());
        let event =
            UpstreamEvent::Ended { outcome: Outcome::Error, report: no_capacity_report(), body: Vec::new() };
        front.post_upstream_event(job.id, event, ConnectionState::Free);
    }

    /// Handles a timeout of the worker: a reserved job was not grabbed, a running job has exceeded its time limit, or no
    /// job was found for a delayed grab packet.
    pub fn expire(self: &Arc<Self>, front: &Gearman, now: Micros) {
        match self.update(front, |worker| worker.expire(now)) {
            None => {}
            Some(Expiry::NoJob) => self.send(reply(Kind::NoJob, &[])),
            Some(Expiry::NotGrabbed(job)) => {
                tracing::warn!(worker = self.uid(), "Gearman worker was woken but did not grab its job");
                for function in self.registered_functions() {
                    self.publish_endpoint(front, function, EndpointState::Draining);
                }
                report_not_started(front, job.id, false);
            }
            Some(Expiry::NotFinished(job)) => {
                tracing::warn!(worker = self.uid(), "Gearman worker exceeded its own time limit");
                report_timeout(front, job.id);
            }
        }
    }
}

fn post_exception(front: &Gearman, id: UpstreamId, reason: Vec<u8>) {
    let event = UpstreamEvent::Output { kind: OutputKind::Exception, bytes: reason };
    front.post_upstream_event(id, event, ConnectionState::Busy);
}

impl Gearman {
    /// Records the run time of a job that a worker has ended, and whether the job failed.
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
