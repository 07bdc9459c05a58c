//! How a job gets to a worker: reserved for it, grabbed by it, or aborted.

use super::Gearman;
use super::outbox::{OutgoingPacket, PacketBody};
use super::peer::Peer;
use super::replies::{reply, reply_head};
use super::worker_reports::{full_report, report_late};
use super::worker_state::ReservedJob;
use crate::core::{
    ConnectionState, Input, Payload, RequestKind, UpstreamEvent, UpstreamId, UpstreamRequest, clock,
};
use roselock::{Micros, Outcome};
use roselock_gearman::Kind;
use roselock_gearman::server::Reservation;
use std::sync::Arc;

/// How long a worker that grabs waits for the decisions, while there are jobs that wait for a worker, in microseconds.
const GRAB_WAIT: Micros = 250_000;

/// A job that a worker grabs.
struct GrabbedJob {
    id: UpstreamId,
    payload: Arc<Payload>,
}

impl Gearman {
    /// Passes on what has become of an attempt.
    pub(super) fn post_upstream(&self, id: UpstreamId, event: UpstreamEvent, connection: ConnectionState) {
        self.inbox.post(Input::Upstream { id, event, connection });
    }
}

/// Reports an attempt that no worker has seen: its connection had ended, or it had a job already.
pub fn report_never_ran(front: &Gearman, id: UpstreamId, has_disconnected: bool) {
    let (outcome, connection) = if has_disconnected {
        (Outcome::ConnectFailed, ConnectionState::Closed)
    } else {
        (Outcome::Rejected, ConnectionState::Free)
    };
    let event = UpstreamEvent::Ended { outcome, report: full_report(), body: Vec::new() };
    front.post_upstream(id, event, connection);
}

/// The handle of a job for a worker: another for each attempt, so that a late packet about an earlier one is recognized.
fn attempt_handle(id: UpstreamId) -> Vec<u8> {
    format!("H:roselock:a{id}").into_bytes()
}

impl Peer {
    /// Reserves an attempt for it. Returns the packet that wakes it, if it sleeps.
    pub fn reserve(
        self: &Arc<Self>,
        front: &Gearman,
        request: UpstreamRequest,
        function: usize,
    ) -> Option<Vec<u8>> {
        let RequestKind::Run(payload) = request.kind else { return None };
        let job = ReservedJob { id: request.id, function, payload, grabbed_at: 0 };
        let grab_by = clock::now() + front.settings.grab_timeout;
        match self.change(front, |worker| worker.reserve(function, job, grab_by)) {
            Reservation::WakeUp => return Some(reply(Kind::Noop, &[])),
            Reservation::Awake => {}
            Reservation::Grabbing(kind) => return self.grab(front, kind),
            Reservation::Unavailable(job) => report_never_ran(front, job.id, false),
            Reservation::Disconnected(job) => report_never_ran(front, job.id, true),
        }
        None
    }

    /// Aborts an attempt. A job that it has grabbed stays with it, and it is busy until it says how that ended.
    pub fn abort(&self, front: &Gearman, id: UpstreamId) {
        let is_it = |job: &ReservedJob| job.id == id;
        let mut grabbed = None;
        let reserved = self.change(front, |worker| {
            let reserved = worker.cancel_reservation(is_it);
            if reserved.is_none() {
                grabbed = worker.abandon(is_it);
            }
            reserved
        });
        if let Some(job) = reserved {
            report_never_ran(front, job.id, false);
        }
        // If the owner did not know yet that it was grabbed, it learns now that it may have run.
        if let Some(job) = grabbed {
            report_late(front, job.id);
        }
    }

    /// GRAB_JOB and the like: sends it the job that is reserved for it. Returns NO_JOB if there is none, unless one may
    /// follow soon.
    pub fn grab(self: &Arc<Self>, front: &Gearman, kind: Kind) -> Option<Vec<u8>> {
        self.relist_if_unresponsive(front);
        let now = clock::now();
        self.withdraw_stale(front);
        let may_wait = self.has_waiting_jobs(front);
        let grabbed = self.change(front, |worker| {
            let job = worker.grab(now, |job| attempt_handle(job.id))?;
            Some(GrabbedJob { id: job.id, payload: job.payload.clone() })
        });
        let Some(grabbed) = grabbed else {
            // The decisions may be about to choose it for a job that waits.
            let waits = may_wait && self.change(front, |worker| worker.wait_for_job(kind, now + GRAB_WAIT));
            return (!waits).then(|| reply(Kind::NoJob, &[]));
        };
        if let Some(job) = self.worker.lock().running_mut(&attempt_handle(grabbed.id)) {
            job.grabbed_at = now;
        }
        front.post_upstream(grabbed.id, UpstreamEvent::Started, ConnectionState::Busy);
        self.send_job(front, kind, grabbed);
        None
    }

    /// Takes back the reserved job if that has ended meanwhile: its clients have left, or it was cancelled.
    fn withdraw_stale(&self, front: &Gearman) {
        let Some((id, job_no)) = self.reserved_job() else { return };
        let has_ended = front.jobs.lock().backlog.job(job_no).is_none();
        if !has_ended {
            return;
        }
        if let Some(job) = self.change(front, |worker| worker.cancel_reservation(|job| job.id == id)) {
            report_never_ran(front, job.id, false);
        }
    }

    /// The attempt that is reserved for it, and the number of its job.
    fn reserved_job(&self) -> Option<(UpstreamId, u64)> {
        let worker = self.worker.lock();
        let job = worker.reserved()?;
        Some((job.id, job.job_no()?))
    }

    /// Whether a job of one of its functions waits for a worker.
    fn has_waiting_jobs(&self, front: &Gearman) -> bool {
        let functions = self.able();
        let jobs = front.jobs.lock();
        functions.iter().any(|function| jobs.backlog.counts(*function).wants_workers())
    }

    fn send_job(&self, front: &Gearman, kind: Kind, job: GrabbedJob) {
        let payload = job.payload;
        let registry = front.functions.load();
        let method = payload.part(&payload.method);
        let function = registry.find(method).map_or(method, |index| registry.all[index].name.as_bytes());
        let handle = attempt_handle(job.id);
        let unique = payload.part(&payload.target);
        let reducer = payload.part(&payload.reducer);
        let size = payload.body.len();
        let head = match kind {
            Kind::GrabJobUniq => reply_head(Kind::JobAssignUniq, &[&handle, function, unique], size),
            Kind::GrabJobAll => reply_head(Kind::JobAssignAll, &[&handle, function, unique, reducer], size),
            _ => reply_head(Kind::JobAssign, &[&handle, function], size),
        };
        let body = PacketBody::JobData(payload);
        self.outbox.write(OutgoingPacket { head, body, is_final: false });
    }
}
