//! The clients of a released job: progress, output and the final answer are sent to all of them.

use super::outbox::PacketBody;
use super::peer::Peer;
use super::replies::{reply, reply_head};
use super::{Gearman, Jobs};
use crate::core::{Answer, Downstream, OutputKind, StreamId, clock};
use roselock::{Micros, SECOND};
use roselock_backlog::{Completion, EndedJob, Ending, JobNo, State};
use roselock_gearman::Kind;
use std::sync::Arc;

/// A client that waits for the result of a job.
#[derive(Clone)]
pub struct WaitingClient {
    /// The client's connection.
    pub peer: Arc<Peer>,
    /// Whether the client enabled WORK_EXCEPTION packets.
    pub wants_exceptions: bool,
}

/// All clients that wait for a released job.
pub struct JobClients {
    /// The front end.
    pub front: Arc<Gearman>,
    /// The number of the job.
    pub job_no: JobNo,
    /// The stream of the release.
    pub stream: StreamId,
    /// Number of attempts that may have run in earlier releases.
    pub prior_attempts: u32,
    /// Whether an attempt that may have run can be repeated without harm.
    pub is_idempotent: bool,
}

/// A job that has ended and is not queued again.
struct FinalCompletion {
    job: EndedJob<WaitingClient>,
    /// Whether this is a background job without waiting clients whose outcome no worker has reported.
    is_lost: bool,
}

impl JobClients {
    /// Ends the release, and counts the job if it has ended. Returns `None` if the job is queued again or had already
    /// ended.
    fn complete(&self, ending: Ending, attempts_run: u32) -> Option<FinalCompletion> {
        let now = clock::now();
        let attempts_run = attempts_run.saturating_sub(self.prior_attempts);
        let mut jobs = self.front.jobs.lock();
        let completion =
            jobs.backlog.complete(self.job_no, self.stream, ending, attempts_run, self.is_idempotent, now)?;
        let Completion::Final(job) = completion else { return None };
        jobs.ended_counts.record(ending);
        let is_unattended = job.background && job.waiters.is_empty();
        let is_reported_by_worker = match ending {
            Ending::Served => true,
            Ending::Failed => job.failed,
            Ending::Rejected | Ending::TimedOut => false,
        };
        let is_lost = is_unattended && !is_reported_by_worker;
        if is_lost {
            jobs.ended_counts.lost += 1;
        }
        Some(FinalCompletion { job, is_lost })
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

    /// Calls `send` for each client if this stream is still the current release of the job.
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
        let Some(completion) = self.complete(ending_from_answer(&answer), attempts_run) else { return };
        let job = &completion.job;
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
        if completion.is_lost {
            let reason = if job.attempts > 0 { "it may have run" } else { "it never ran" };
            self.front.log_lost(job, reason);
        }
    }

    fn running(&self, is_running: bool) {
        self.front.jobs.lock().backlog.set_running(self.job_no, self.stream, is_running);
    }

    fn progress(&self, share: f64) {
        let jobs = self.front.jobs.lock();
        let Some(job) = jobs.backlog.job(self.job_no) else { return };
        // Gearman workers report a fraction, which is relayed unchanged; HTTP hosts report a share from 0 to 1.
        let percent = ((share * 100.0).clamp(0.0, 100.0).round() as u64, 100);
        let (numerator, denominator) = if job.progress.1 > 0 { job.progress } else { percent };
        let handle = self.front.job_handle(self.job_no);
        let numerator = numerator.to_string();
        let denominator = denominator.to_string();
        let args = [handle.as_bytes(), numerator.as_bytes(), denominator.as_bytes()];
        let status = reply(Kind::WorkStatus, &args);
        self.for_each_client(&jobs, |client| client.peer.outbox.write_unless_congested(status.clone()));
    }

    fn output(&self, kind: OutputKind, bytes: &[u8]) {
        let mut jobs = self.front.jobs.lock();
        let packet_kind = match kind {
            OutputKind::Data => Kind::WorkData,
            OutputKind::Warning => Kind::WorkWarning,
            OutputKind::Exception => {
                // Stored until the job ends, because the attempt that raised it may be followed by another.
                jobs.backlog.set_exception(self.job_no, bytes.to_vec());
                return;
            }
        };
        let packet = reply(packet_kind, &[self.front.job_handle(self.job_no).as_bytes(), bytes]);
        self.for_each_client(&jobs, |client| client.peer.send(packet.clone()));
    }
}

fn ending_from_answer(answer: &Answer) -> Ending {
    match answer {
        Answer::Served(_) => Ending::Served,
        Answer::Rejected(_) | Answer::Conflict => Ending::Rejected,
        Answer::Failed => Ending::Failed,
        Answer::TimedOut => Ending::TimedOut,
    }
}

/// The WORK_EXCEPTION reason for a rejected job, with the time after which clients may retry unless that is 0.
fn rejection_text(retry_after: Micros) -> String {
    if retry_after == 0 {
        return "refused; trying again is harmless".into();
    }
    format!("refused; try again after {:.3} s", retry_after as f64 / SECOND as f64)
}
