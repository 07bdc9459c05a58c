//! Assigns jobs to workers: a job is reserved for a worker, then grabbed by it or aborted.

use super::Gearman;
use super::outbox::{OutgoingPacket, PacketBody};
use super::peer::Peer;
use super::replies::{reply, reply_head};
use super::worker_reports::{no_capacity_report, report_timeout};
use super::worker_state::ReservedJob;
use crate::core::{
    ConnectionState, Input, Payload, RequestKind, UpstreamEvent, UpstreamId, UpstreamRequest, clock,
};
use roselock::{Micros, Outcome};
use roselock_gearman::Kind;
use roselock_gearman::server::Reservation;
use std::sync::Arc;

/// How long the reply to a grab packet is delayed while jobs wait for a worker, so that the decision logic can choose the
/// worker for one of them, in microseconds.
const PENDING_GRAB_TIMEOUT: Micros = 250_000;

/// A job that a worker has grabbed.
struct GrabbedJob {
    id: UpstreamId,
    payload: Arc<Payload>,
}

impl Gearman {
    /// Posts an event of an attempt to the event loop.
    pub(super) fn post_upstream_event(
        &self,
        id: UpstreamId,
        event: UpstreamEvent,
        connection: ConnectionState,
    ) {
        self.inbox.post(Input::Upstream { id, event, connection });
    }
}

/// Reports an attempt that its worker has not grabbed and that therefore has not run. `has_disconnected` says whether the
/// worker's connection has ended.
pub fn report_not_started(front: &Gearman, id: UpstreamId, has_disconnected: bool) {
    let (outcome, connection) = if has_disconnected {
        (Outcome::ConnectFailed, ConnectionState::Closed)
    } else {
        (Outcome::Rejected, ConnectionState::Free)
    };
    let event = UpstreamEvent::Ended { outcome, report: no_capacity_report(), body: Vec::new() };
    front.post_upstream_event(id, event, connection);
}

/// The job handle for a worker. It differs for each attempt, so that late packets about earlier attempts are recognized.
fn attempt_handle(id: UpstreamId) -> Vec<u8> {
    format!("H:roselock:a{id}").into_bytes()
}

impl Peer {
    /// Reserves an attempt for the worker. Returns the packet that wakes the worker, if it sleeps.
    pub fn reserve(
        self: &Arc<Self>,
        front: &Gearman,
        request: UpstreamRequest,
        function: usize,
    ) -> Option<Vec<u8>> {
        let RequestKind::Run(payload) = request.kind else { return None };
        let job = ReservedJob { id: request.id, function, payload, grabbed_at: 0 };
        let grab_deadline = clock::now() + front.settings.grab_timeout;
        match self.update(front, |worker| worker.reserve(function, job, grab_deadline)) {
            Reservation::WakeUp => return Some(reply(Kind::Noop, &[])),
            Reservation::Awake => {}
            Reservation::Grabbing(kind) => return self.grab(front, kind),
            Reservation::Unavailable(job) => report_not_started(front, job.id, false),
            Reservation::Disconnected(job) => report_not_started(front, job.id, true),
        }
        None
    }

    /// Aborts an attempt. If the worker has grabbed the job, it stays busy until it reports the end of the job.
    pub fn abort(&self, front: &Gearman, id: UpstreamId) {
        let is_aborted = |job: &ReservedJob| job.id == id;
        let mut grabbed = None;
        let reserved = self.update(front, |worker| {
            let reserved = worker.cancel_reservation(is_aborted);
            if reserved.is_none() {
                grabbed = worker.abandon(is_aborted);
            }
            reserved
        });
        if let Some(job) = reserved {
            report_not_started(front, job.id, false);
        }
        // The event loop may not know yet that the job was grabbed: report that it may have run.
        if let Some(job) = grabbed {
            report_timeout(front, job.id);
        }
    }

    /// Ends an attempt whose job the worker has not grabbed. It has no effect if the worker has grabbed the job.
    pub fn cancel_reservation(&self, front: &Gearman, id: UpstreamId) {
        if let Some(job) = self.update(front, |worker| worker.cancel_reservation(|job| job.id == id)) {
            report_not_started(front, job.id, false);
        }
    }

    /// Handles GRAB_JOB and its variants: sends the job that is reserved for the worker. Returns NO_JOB if there is none,
    /// unless one may follow soon.
    pub fn grab(self: &Arc<Self>, front: &Gearman, kind: Kind) -> Option<Vec<u8>> {
        self.republish_if_unresponsive(front);
        let now = clock::now();
        self.cancel_stale_reservation(front);
        let may_wait = self.has_waiting_jobs(front);
        let grabbed = self.update(front, |worker| {
            let job = worker.grab(now, |job| attempt_handle(job.id))?;
            Some(GrabbedJob { id: job.id, payload: job.payload.clone() })
        });
        let Some(grabbed) = grabbed else {
            // The decision logic may be about to choose this worker for a waiting job.
            let is_waiting = may_wait
                && self.update(front, |worker| worker.wait_for_job(kind, now + PENDING_GRAB_TIMEOUT));
            return (!is_waiting).then(|| reply(Kind::NoJob, &[]));
        };
        if let Some(job) = self.worker.lock().running_mut(&attempt_handle(grabbed.id)) {
            job.grabbed_at = now;
        }
        front.post_upstream_event(grabbed.id, UpstreamEvent::Started, ConnectionState::Busy);
        self.send_job(front, kind, grabbed);
        None
    }

    /// Cancels the reservation of a job that has ended meanwhile, because its clients disconnected or it was cancelled.
    fn cancel_stale_reservation(&self, front: &Gearman) {
        let Some((id, job_no)) = self.reserved_job() else { return };
        let has_ended = front.jobs.lock().backlog.job(job_no).is_none();
        if !has_ended {
            return;
        }
        self.cancel_reservation(front, id);
    }

    /// The reserved attempt and the number of its job.
    fn reserved_job(&self) -> Option<(UpstreamId, u64)> {
        let worker = self.worker.lock();
        let job = worker.reserved()?;
        Some((job.id, job.job_no()?))
    }

    /// Whether jobs of any of the worker's functions wait for a worker.
    fn has_waiting_jobs(&self, front: &Gearman) -> bool {
        let functions = self.registered_functions();
        let jobs = front.jobs.lock();
        functions.iter().any(|function| jobs.backlog.counts(*function).has_waiting_jobs())
    }

    fn send_job(&self, front: &Gearman, kind: Kind, job: GrabbedJob) {
        let payload = job.payload;
        let registry = front.function_registry.load();
        let method = payload.part(&payload.method);
        let function =
            registry.find(method).map_or(method, |index| registry.functions[index].name.as_bytes());
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
