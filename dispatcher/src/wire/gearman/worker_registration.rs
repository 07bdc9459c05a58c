//! Registration of functions by workers. A worker is an upstream host in the fleet of each of its functions.

use super::Gearman;
use super::outbox::OutboxMessage;
use super::peer::Peer;
use super::replies::{error_reply, reply};
use super::worker_jobs::report_not_started;
use crate::core::{
    ConnectionState, Input, ListedHost, UpstreamConnection, UpstreamEvent, UpstreamId, UpstreamRequest, clock,
};
use roselock::{CellId, Endpoint, EndpointState, KindId, ListMode, LoadReport, Micros, Outcome};
use roselock_gearman::Kind;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The upstream connection to a worker, for one function.
struct WorkerConnection {
    peer: Arc<Peer>,
    function: usize,
}

impl UpstreamConnection for WorkerConnection {
    fn start(&self, request: UpstreamRequest) -> bool {
        self.peer.outbox.post(OutboxMessage::Start { request, function: self.function })
    }

    fn abort(&self, id: UpstreamId) {
        let _ = self.peer.outbox.post(OutboxMessage::Abort(id));
    }

    fn cancel_unsent(&self, id: UpstreamId) -> bool {
        let _ = self.peer.outbox.post(OutboxMessage::CancelReservation(id));
        false
    }

    fn is_inbound(&self) -> bool {
        true
    }
}

impl Peer {
    /// Publishes the worker as an upstream host in the fleet of a function, with the given state.
    pub fn publish_endpoint(self: &Arc<Self>, front: &Gearman, function: usize, state: EndpointState) {
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
            _ => Some(Arc::new(WorkerConnection { peer: self.clone(), function })),
        };
        let host = ListedHost { uid: self.uid(), address: None, endpoint, connection };
        let fleet = front.function_registry.load().functions[function].fleet;
        let (mode, received_at) = (ListMode::Changes, clock::now());
        front.inbox.post(Input::Hosts { fleet, mode, hosts: vec![host], received_at });
    }

    /// Handles CAN_DO and CAN_DO_TIMEOUT: registers a function. The worker's first registration counts as its start time.
    pub fn register_function(
        self: &Arc<Self>,
        front: &Gearman,
        name: &[u8],
        time_limit: Option<Micros>,
    ) -> Option<Vec<u8>> {
        let index = front.find_or_add_function(name);
        let runs_on_workers =
            |function: &usize| front.function_registry.load().functions[*function].runs_on_workers();
        let Some(function) = index.filter(runs_on_workers) else {
            return Some(error_reply("UNKNOWN_FUNCTION", "no worker here runs this function"));
        };
        self.is_worker.store(true, Ordering::Relaxed);
        self.update(front, |worker| worker.can_do(function, time_limit, clock::now()));
        self.publish_endpoint(front, function, EndpointState::Ready);
        let is_busy = self.worker.lock().is_busy();
        front.inbox.post(Input::Capacity {
            fleet: front.function_registry.load().functions[function].fleet,
            worker: self.worker_id(),
            free_slots: if is_busy { 0.0 } else { 1.0 },
        });
        None
    }

    /// Handles CANT_DO: the worker is draining in the fleet of this function from now on.
    pub fn unregister_function(self: &Arc<Self>, front: &Gearman, name: &[u8]) -> Option<Vec<u8>> {
        let function = front.function_registry.load().find(name)?;
        self.unregister(front, function);
        None
    }

    /// Handles RESET_ABILITIES: the worker is draining in the fleets of all its functions.
    pub fn unregister_all(self: &Arc<Self>, front: &Gearman) -> Option<Vec<u8>> {
        for function in self.registered_functions() {
            self.unregister(front, function);
        }
        None
    }

    fn unregister(self: &Arc<Self>, front: &Gearman, function: usize) {
        let Some(reserved) = self.update(front, |worker| worker.cant_do(function)) else { return };
        self.publish_endpoint(front, function, EndpointState::Draining);
        // A reserved job that was not grabbed has not run.
        if let Some(job) = reserved {
            report_not_started(front, job.id, false);
        }
    }

    /// Handles PRE_SLEEP: the worker sleeps until it is woken. Returns the packet that wakes it immediately if a job has
    /// been reserved for it.
    pub fn pre_sleep(self: &Arc<Self>, front: &Gearman) -> Option<Vec<u8>> {
        self.republish_if_unresponsive(front);
        let must_wake = self.update(front, |worker| worker.pre_sleep());
        must_wake.then(|| reply(Kind::Noop, &[]))
    }

    /// Publishes a worker as ready again if it was unresponsive and has now sent a packet.
    pub fn republish_if_unresponsive(self: &Arc<Self>, front: &Gearman) {
        let functions: Vec<usize> = {
            let worker = self.worker.lock();
            if worker.is_unresponsive() { worker.registered_functions().collect() } else { Vec::new() }
        };
        for function in functions {
            self.publish_endpoint(front, function, EndpointState::Ready);
        }
    }

    /// Handles the end of a worker's connection. Its running job may have run; a job that was only reserved has not.
    pub fn disconnect_worker(self: &Arc<Self>, front: &Gearman) {
        let disconnected = self.update(front, |worker| worker.disconnect());
        if let Some(job) = disconnected.reserved {
            report_not_started(front, job.id, true);
        }
        if let Some(job) = disconnected.running {
            let report = LoadReport::default();
            let reset = UpstreamEvent::Ended { outcome: Outcome::Reset, report, body: Vec::new() };
            front.post_upstream_event(job.id, reset, ConnectionState::Closed);
        }
        for function in disconnected.functions {
            self.publish_endpoint(front, function, EndpointState::Gone);
        }
    }
}
