//! The ends of jobs: counts them, notifies their clients, and logs lost background jobs.

use super::Gearman;
use super::job_clients::WaitingClient;
use super::outbox::PacketBody;
use super::peer::Peer;
use super::replies::reply;
use crate::core::Input;
use roselock_backlog::{Cancellation, EndedJob, Ending, JobNo};
use roselock_gearman::Kind;
use std::sync::atomic::Ordering;

/// The number of jobs that have ended since the process started, by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndedJobCounts {
    /// Jobs that ended with a result.
    pub served: u64,
    /// Jobs that failed or timed out.
    pub failed: u64,
    /// Jobs that the decision logic rejected, or that were dropped at the end of the process.
    pub rejected: u64,
    /// Jobs that exceeded their maximum wait for a worker.
    pub expired: u64,
    /// Jobs that an administrator cancelled.
    pub cancelled: u64,
    /// Jobs whose client disconnected while waiting, including those for which other clients still wait.
    pub abandoned: u64,
    /// Background jobs that ended without a worker reporting their outcome. Each is also counted above.
    pub lost: u64,
}

impl EndedJobCounts {
    /// Counts a job that the decision logic has ended.
    pub fn record(&mut self, ending: Ending) {
        match ending {
            Ending::Served => self.served += 1,
            Ending::Rejected => self.rejected += 1,
            Ending::Failed | Ending::TimedOut => self.failed += 1,
        }
    }
}

/// Handles the end of a client's connection: abandons the foreground jobs for which no other client waits.
pub fn disconnect_client(front: &Gearman, peer: &Peer) {
    let mut jobs = front.jobs.lock();
    let awaited = jobs.backlog.jobs_awaited_by(peer.number) as u64;
    let streams = jobs.backlog.disconnect_client(peer.number);
    jobs.ended_counts.abandoned += awaited;
    let should_notify = front.should_notify_event_loop(&mut jobs);
    drop(jobs);
    for stream in streams {
        front.inbox.post(Input::ClientDisconnected(stream));
    }
    front.notify_event_loop_if(should_notify);
}

impl Gearman {
    /// Cancels and counts a job, unless a worker has or may have had it.
    pub(super) fn cancel_job(&self, job_no: JobNo) -> Cancellation<WaitingClient> {
        let mut jobs = self.jobs.lock();
        let cancellation = jobs.backlog.cancel(job_no);
        if let Cancellation::Cancelled(ended, _) = &cancellation {
            let is_lost = ended.background && ended.waiters.is_empty();
            jobs.ended_counts.cancelled += 1;
            jobs.ended_counts.lost += u64::from(is_lost);
        }
        cancellation
    }

    /// Sends WORK_FAIL to all clients of a job, preceded by WORK_EXCEPTION with the reason where the client enabled that.
    pub(super) fn notify_failed(&self, ended: &EndedJob<WaitingClient>, reason: &[u8]) {
        let handle = self.job_handle(ended.no);
        for waiter in &ended.waiters {
            let client = &waiter.context;
            if client.wants_exceptions {
                client.peer.send(reply(Kind::WorkException, &[handle.as_bytes(), reason]));
            }
            let failed = reply(Kind::WorkFail, &[handle.as_bytes()]);
            client.peer.send_final(self, failed, PacketBody::None);
        }
    }

    /// Logs a background job that ended without a worker reporting its outcome, because nothing else reports its end.
    pub(super) fn log_lost(&self, ended: &EndedJob<WaitingClient>, reason: &str) {
        let registry = self.function_registry.load();
        let function = registry.functions.get(ended.function).map_or("?", |function| &function.name);
        let handle = self.job_handle(ended.no);
        let unique = String::from_utf8_lossy(&ended.unique).into_owned();
        let ran = ended.attempts;
        // Tests and operators' tools match this text.
        tracing::warn!(handle, unique, function, ran, "gearman: a background job has ended: {reason}");
    }

    /// Drops the jobs that are not released because the process is about to end: notifies their clients and logs lost
    /// jobs. Submissions are rejected from now on. Called repeatedly until the process ends, because jobs that the
    /// decision logic rejects meanwhile are queued again.
    pub(super) fn drain_waiting_jobs(&self) {
        self.is_drained.store(true, Ordering::SeqCst);
        let mut jobs = self.jobs.lock();
        let drained = jobs.backlog.drain();
        jobs.ended_counts.rejected += drained.len() as u64;
        jobs.ended_counts.lost += drained.iter().filter(|ended| ended.background).count() as u64;
        drop(jobs);
        for ended in &drained {
            self.notify_failed(ended, b"refused; this server is about to end; trying again is harmless");
            if ended.background {
                self.log_lost(ended, "the process ends, and no worker has it");
            }
        }
        if !drained.is_empty() {
            tracing::warn!(jobs = drained.len(), "dropped waiting Gearman jobs at the end of the process");
        }
    }
}
