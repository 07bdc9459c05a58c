//! Workers register functions: such a connection is an upstream host in the fleet of each of its functions.

use super::Gearman;
use super::outbox::OutboxMessage;
use super::peer::Peer;
use super::replies::{error_reply, reply};
use super::worker_jobs::report_never_ran;
use crate::core::{
    ConnectionState, Input, ListedHost, UpstreamConnection, UpstreamEvent, UpstreamId, UpstreamRequest, clock,
};
use roselock::{CellId, Endpoint, EndpointState, KindId, ListMode, LoadReport, Micros, Outcome};
use roselock_gearman::Kind;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The connection of the decisions to a worker, for one function.
struct WorkerLink {
    peer: Arc<Peer>,
    function: usize,
}

impl UpstreamConnection for WorkerLink {
    fn start(&self, request: UpstreamRequest) -> bool {
        self.peer.outbox.post(OutboxMessage::Start { request, function: self.function })
    }

    fn abort(&self, id: UpstreamId) {
        let _ = self.peer.outbox.post(OutboxMessage::Abort(id));
    }

    fn is_inbound(&self) -> bool {
        true
    }
}

impl Peer {
    /// Lists it as an upstream host of a function's fleet, in this state.
    pub fn list(self: &Arc<Self>, front: &Gearman, function: usize, state: EndpointState) {
        let endpoint = Endpoint {
            worker: self.worker_id(),
            state,
            zone: front.site.load().settings.zone,
            cell: CellId(0),
            kind: KindId(0),
            units: 1.0,
            started_at: self.worker.lock().registered_at(),
        };
        let connection: Option<Arc<dyn UpstreamConnection>> = match state {
            EndpointState::Gone => None,
            _ => Some(Arc::new(WorkerLink { peer: self.clone(), function })),
        };
        let host = ListedHost { uid: self.uid(), address: None, endpoint, connection };
        let fleet = front.functions.load().all[function].fleet;
        front.inbox.post(Input::Hosts { fleet, mode: ListMode::Changes, hosts: vec![host] });
    }

    /// CAN_DO or CAN_DO_TIMEOUT: registers a function. The first time it is listed as a host that has just started.
    pub fn register_function(
        self: &Arc<Self>,
        front: &Gearman,
        name: &[u8],
        time_limit: Option<Micros>,
    ) -> Option<Vec<u8>> {
        let known = front.function_for(name);
        let runs_on_workers = |function: &usize| front.functions.load().all[*function].runs_on_workers();
        let Some(function) = known.filter(runs_on_workers) else {
            return Some(error_reply("UNKNOWN_FUNCTION", "no worker here runs this function"));
        };
        self.is_worker.store(true, Ordering::Relaxed);
        self.change(front, |worker| worker.can_do(function, time_limit, clock::now()));
        self.list(front, function, EndpointState::Ready);
        let is_engaged = self.worker.lock().is_engaged();
        front.inbox.post(Input::Capacity {
            fleet: front.functions.load().all[function].fleet,
            worker: self.worker_id(),
            free_slots: if is_engaged { 0.0 } else { 1.0 },
        });
        None
    }

    /// CANT_DO: it is draining for this function from now on.
    pub fn unregister_function(self: &Arc<Self>, front: &Gearman, name: &[u8]) -> Option<Vec<u8>> {
        let function = front.functions.load().find(name)?;
        self.unregister(front, function);
        None
    }

    /// RESET_ABILITIES: it is draining for all of its functions.
    pub fn unregister_all(self: &Arc<Self>, front: &Gearman) -> Option<Vec<u8>> {
        for function in self.able() {
            self.unregister(front, function);
        }
        None
    }

    fn unregister(self: &Arc<Self>, front: &Gearman, function: usize) {
        let Some(reserved) = self.change(front, |worker| worker.cant_do(function)) else { return };
        self.list(front, function, EndpointState::Draining);
        // A job that was reserved for it and not grabbed has not run.
        if let Some(job) = reserved {
            report_never_ran(front, job.id, false);
        }
    }

    /// PRE_SLEEP: it sleeps until it is woken; that is at once if a job was reserved for it meanwhile.
    pub fn pre_sleep(self: &Arc<Self>, front: &Gearman) -> Option<Vec<u8>> {
        self.relist_if_unresponsive(front);
        let must_wake = self.change(front, |worker| worker.pre_sleep());
        must_wake.then(|| reply(Kind::Noop, &[]))
    }

    /// A worker that was unresponsive has sent something: it is listed again.
    pub fn relist_if_unresponsive(self: &Arc<Self>, front: &Gearman) {
        let functions: Vec<usize> = {
            let worker = self.worker.lock();
            if worker.is_unresponsive() { worker.able().collect() } else { Vec::new() }
        };
        for function in functions {
            self.list(front, function, EndpointState::Ready);
        }
    }

    /// The connection has ended: the job that it had may have run, one that was only reserved for it has not.
    pub fn disconnect_worker(self: &Arc<Self>, front: &Gearman) {
        let had = self.change(front, |worker| worker.disconnect());
        if let Some(job) = had.reserved {
            report_never_ran(front, job.id, true);
        }
        if let Some(job) = had.running {
            let report = LoadReport::default();
            let reset = UpstreamEvent::Ended { outcome: Outcome::Reset, report, body: Vec::new() };
            front.post_upstream(job.id, reset, ConnectionState::Closed);
        }
        for function in had.functions {
            self.list(front, function, EndpointState::Gone);
        }
    }
}
