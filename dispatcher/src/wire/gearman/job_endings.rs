//! How jobs end: counted, their clients notified, and lost ones logged.

use super::Gearman;
use super::job_clients::WaitingClient;
use super::outbox::PacketBody;
use super::peer::Peer;
use super::replies::reply;
use crate::core::Input;
use roselock_backlog::{Cancellation, EndedJob, Ending, JobNo};
use roselock_gearman::Kind;
use std::sync::atomic::Ordering;

/// Jobs that have ended since the start, by how.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndCounts {
    /// With a result.
    pub served: u64,
    /// Failed, or without an answer in time.
    pub failed: u64,
    /// Rejected by the decisions, or given up at the end of the process.
    pub rejected: u64,
    /// No worker was free in time.
    pub expired: u64,
    /// Cancelled by an administrator.
    pub cancelled: u64,
    /// Awaited by a client that disconnected; also counted where others still wait.
    pub abandoned: u64,
    /// Background jobs among the ended ones of which no worker has said how they ended.
    pub lost: u64,
}

impl EndCounts {
    /// Counts a job that the decisions have ended.
    pub fn record(&mut self, ending: Ending) {
        match ending {
            Ending::Served => self.served += 1,
            Ending::Rejected => self.rejected += 1,
            Ending::Failed | Ending::TimedOut => self.failed += 1,
        }
    }
}

/// A connection has ended: foreground jobs that only its client waited for are given up.
pub fn disconnect_client(front: &Gearman, peer: &Peer) {
    let mut jobs = front.jobs.lock();
    let awaited = jobs.backlog.jobs_awaited_by(peer.number) as u64;
    let streams = jobs.backlog.disconnect_client(peer.number);
    jobs.ends.abandoned += awaited;
    let should_notify = front.should_notify_owner(&mut jobs);
    drop(jobs);
    for stream in streams {
        front.inbox.post(Input::ClientDisconnected(stream));
    }
    front.notify_owner_if(should_notify);
}

impl Gearman {
    /// Cancels a job, unless a worker has it or may have had it, and counts its end.
    pub(super) fn cancel(&self, job_no: JobNo) -> Cancellation<WaitingClient> {
        let mut jobs = self.jobs.lock();
        let cancellation = jobs.backlog.cancel(job_no);
        if let Cancellation::Cancelled(ended, _) = &cancellation {
            let is_lost = ended.background && ended.waiters.is_empty();
            jobs.ends.cancelled += 1;
            jobs.ends.lost += u64::from(is_lost);
        }
        cancellation
    }

    /// Notifies all clients that wait for a job that it has failed, with the reason for those that asked for it.
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

    /// Logs a background job of which no worker has said how it ended: nobody else will.
    pub(super) fn log_lost(&self, ended: &EndedJob<WaitingClient>, reason: &str) {
        let registry = self.functions.load();
        let function = registry.all.get(ended.function).map_or("?", |function| &function.name);
        let handle = self.job_handle(ended.no);
        let unique = String::from_utf8_lossy(&ended.unique).into_owned();
        let ran = ended.attempts;
        // Tests and operators wait for this text.
        tracing::warn!(handle, unique, function, ran, "gearman: a background job has ended: {reason}");
    }

    /// The process is about to end: the jobs that are not released are given up, their clients notified, and lost ones
    /// logged. From now on submissions are rejected. Jobs that the decisions reject until the end are queued again, so
    /// this is called repeatedly until then.
    pub(super) fn drain_waiting_jobs(&self) {
        self.is_drained.store(true, Ordering::SeqCst);
        let mut jobs = self.jobs.lock();
        let drained = jobs.backlog.drain();
        jobs.ends.rejected += drained.len() as u64;
        jobs.ends.lost += drained.iter().filter(|ended| ended.background).count() as u64;
        drop(jobs);
        for ended in &drained {
            self.notify_failed(ended, b"refused; this server is about to end; trying again is harmless");
            if ended.background {
                self.log_lost(ended, "the process ends, and no worker has it");
            }
        }
        if !drained.is_empty() {
            tracing::warn!(jobs = drained.len(), "Gearman jobs given up at the end of the process");
        }
    }
}
