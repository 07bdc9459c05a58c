//! The clients that wait for a released job: what the decisions pass on goes to all of them.

use super::outbox::PacketBody;
use super::peer::Peer;
use super::replies::{reply, reply_head};
use super::{Gearman, Jobs};
use crate::core::{Answer, Downstream, OutputKind, StreamId, clock};
use roselock::{Micros, SECOND};
use roselock_backlog::{Completion, EndedJob, Ending, JobNo, State};
use roselock_gearman::Kind;
use std::sync::Arc;

/// A client that waits for a job.
#[derive(Clone)]
pub struct WaitingClient {
    /// Its connection.
    pub peer: Arc<Peer>,
    /// Whether it asked for WORK_EXCEPTION.
    pub wants_exceptions: bool,
}

/// All clients that wait for a released job.
pub struct JobClients {
    /// The front.
    pub front: Arc<Gearman>,
    /// The job.
    pub job_no: JobNo,
    /// The stream of the release.
    pub stream: StreamId,
    /// Attempts that may have run in earlier releases.
    pub earlier_attempts: u32,
    /// Whether a repeat of what may have run is harmless.
    pub is_idempotent: bool,
}

/// A job that has ended for good.
struct FinalEnd {
    job: EndedJob<WaitingClient>,
    /// It was a background job, nobody waits for it, and no worker has said how it ended.
    is_lost: bool,
}

impl JobClients {
    /// Ends the release, and counts the end of the job. None if the job is queued again, or had ended before.
    fn complete(&self, ending: Ending, attempts_run: u32) -> Option<FinalEnd> {
        let now = clock::now();
        let attempts_run = attempts_run.saturating_sub(self.earlier_attempts);
        let mut jobs = self.front.jobs.lock();
        let completion =
            jobs.backlog.complete(self.job_no, self.stream, ending, attempts_run, self.is_idempotent, now)?;
        let Completion::Final(job) = completion else { return None };
        jobs.ends.record(ending);
        let has_nobody = job.background && job.waiters.is_empty();
        let ended_by_worker = match ending {
            Ending::Served => true,
            Ending::Failed => job.failed,
            Ending::Rejected | Ending::TimedOut => false,
        };
        let is_lost = has_nobody && !ended_by_worker;
        if is_lost {
            jobs.ends.lost += 1;
        }
        Some(FinalEnd { job, is_lost })
    }

    /// Sends the result to all clients.
    fn send_result(&self, job: &EndedJob<WaitingClient>, result: Vec<u8>) {
        let handle = self.front.job_handle(self.job_no);
        let head = reply_head(Kind::WorkComplete, &[handle.as_bytes()], result.len());
        let result = Arc::new(result);
        for waiter in &job.waiters {
            waiter.context.peer.send_final(&self.front, head.clone(), PacketBody::Bytes(result.clone()));
        }
    }

    /// Calls `send` for each client, if the job is still released under this stream.
    fn for_each_client(&self, jobs: &Jobs, send: impl Fn(&WaitingClient)) {
        let Some(job) = jobs.backlog.job(self.job_no) else { return };
        if job.state != State::Released(self.stream) {
            return;
        }
        for waiter in &job.waiters {
            send(&waiter.context);
        }
    }
}

impl Downstream for JobClients {
    fn answer(&self, answer: Answer, attempts_run: u32) {
        let Some(end) = self.complete(ending_of(&answer), attempts_run) else { return };
        let job = &end.job;
        match answer {
            Answer::Served(result) => self.send_result(job, result),
            Answer::Rejected(retry_after) => {
                self.front.notify_failed(job, rejection_text(retry_after).as_bytes());
            }
            Answer::Conflict => self.front.notify_failed(job, rejection_text(0).as_bytes()),
            Answer::Failed => {
                let reason = job.exception.as_deref().unwrap_or(b"failed; it may have run");
                self.front.notify_failed(job, reason);
            }
            Answer::TimedOut => self.front.notify_failed(job, b"no answer in time; it may have run"),
        }
        if end.is_lost {
            let reason = if job.attempts > 0 { "it may have run" } else { "it never ran" };
            self.front.log_lost(job, reason);
        }
    }

    fn running(&self, runs: bool) {
        self.front.jobs.lock().backlog.set_running(self.job_no, self.stream, runs);
    }

    fn progress(&self, share: f64) {
        let jobs = self.front.jobs.lock();
        let Some(job) = jobs.backlog.job(self.job_no) else { return };
        // A Gearman worker's own numbers are relayed as they are; HTTP hosts report a share.
        let percent = ((share * 100.0).clamp(0.0, 100.0).round() as u64, 100);
        let (numerator, denominator) = if job.progress.1 > 0 { job.progress } else { percent };
        let handle = self.front.job_handle(self.job_no);
        let numerator = numerator.to_string();
        let denominator = denominator.to_string();
        let args = [handle.as_bytes(), numerator.as_bytes(), denominator.as_bytes()];
        let status = reply(Kind::WorkStatus, &args);
        self.for_each_client(&jobs, |client| client.peer.outbox.write_if_low(status.clone()));
    }

    fn output(&self, kind: OutputKind, bytes: &[u8]) {
        let mut jobs = self.front.jobs.lock();
        let packet_kind = match kind {
            OutputKind::Data => Kind::WorkData,
            OutputKind::Warning => Kind::WorkWarning,
            OutputKind::Exception => {
                // It is passed on with the job's end: the attempt that raised it may not be the last.
                jobs.backlog.set_exception(self.job_no, bytes.to_vec());
                return;
            }
        };
        let packet = reply(packet_kind, &[self.front.job_handle(self.job_no).as_bytes(), bytes]);
        self.for_each_client(&jobs, |client| client.peer.send(packet.clone()));
    }
}

fn ending_of(answer: &Answer) -> Ending {
    match answer {
        Answer::Served(_) => Ending::Served,
        Answer::Rejected(_) | Answer::Conflict => Ending::Rejected,
        Answer::Failed => Ending::Failed,
        Answer::TimedOut => Ending::TimedOut,
    }
}

/// What clients are told of a rejected job. They may retry after this time, if it is not 0.
fn rejection_text(retry_after: Micros) -> String {
    if retry_after == 0 {
        return "refused; trying again is harmless".into();
    }
    format!("refused; try again after {:.3} s", retry_after as f64 / SECOND as f64)
}
