//! The table of upstream requests that have not ended, and the assignment of their numbers.

use super::fleets::HostId;
use crate::core::{Payload, RequestKind, StreamId, UpstreamConnection, UpstreamId};
use roselock::Micros;
use std::collections::HashMap;
use std::sync::Arc;

/// An upstream request that is waiting to be sent, is in flight, or has not released its connection.
pub(super) struct PendingRequest {
    pub(super) host: HostId,
    /// The stream of an attempt; 0 for a control request.
    pub(super) stream: StreamId,
    /// The number of the attempt within its stream, from 0; 0 for a control request.
    pub(super) attempt: u32,
    /// When the attempt was sent; 0 for a control request.
    pub(super) sent_at: Micros,
    /// The connection that carries it.
    pub(super) connection: Option<Arc<dyn UpstreamConnection>>,
    /// How long its connection had been idle, if it was a pooled one.
    pub(super) reused_idle: Option<Micros>,
    /// What it asks for, if it is a control request.
    pub(super) control_kind: Option<RequestKind>,
    /// Whether the host has accepted it.
    pub(super) accepted: bool,
    /// Whether the end of the attempt has been reported to the decision logic; always true for a control request.
    pub(super) concluded: bool,
    /// Whether the attempt is cancelled while its stream continues.
    pub(super) withdrawal_requested: bool,
    /// For a withdrawal, the attempt that ends with it, if any.
    pub(super) withdraws: Option<UpstreamId>,
    /// Whether it is in the dial queue of its host; nothing of it has been sent then.
    pub(super) in_dial_queue: bool,
}

impl PendingRequest {
    /// Creates an attempt of a stream.
    pub(super) fn attempt(host: HostId, stream: StreamId, attempt: u32, sent_at: Micros) -> PendingRequest {
        PendingRequest {
            host,
            stream,
            attempt,
            sent_at,
            connection: None,
            reused_idle: None,
            control_kind: None,
            accepted: false,
            concluded: false,
            withdrawal_requested: false,
            withdraws: None,
            in_dial_queue: false,
        }
    }
    /// Creates a control request. `withdraws` is the attempt that ends with a withdrawal, if any.
    pub(super) fn control(host: HostId, kind: RequestKind, withdraws: Option<UpstreamId>) -> PendingRequest {
        PendingRequest {
            control_kind: Some(kind),
            accepted: true,
            concluded: true,
            withdraws,
            ..PendingRequest::attempt(host, 0, 0, 0)
        }
    }
    pub(super) fn is_on_inbound_connection(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.is_inbound())
    }
    pub(super) fn is_preconnect(&self) -> bool {
        matches!(self.control_kind, Some(RequestKind::Preconnect))
    }
}

/// An attempt that was abandoned before its host had accepted it.
pub(super) struct AbandonedAttempt {
    pub(super) host: HostId,
    pub(super) payload: Arc<Payload>,
}

/// The upstream requests that have not ended.
#[derive(Default)]
pub(super) struct UpstreamRequests {
    pub(super) by_id: HashMap<UpstreamId, PendingRequest>,
    next_id: UpstreamId,
    /// Attempts that were abandoned before their hosts had accepted them, until their connections report the next
    /// event.
    pub(super) abandoned: HashMap<UpstreamId, AbandonedAttempt>,
}

impl UpstreamRequests {
    /// The number that [`UpstreamRequests::insert`] assigns next.
    pub(super) fn next_id(&self) -> UpstreamId {
        self.next_id
    }
    pub(super) fn insert(&mut self, request: PendingRequest) -> UpstreamId {
        let id = self.next_id;
        self.next_id += 1;
        self.by_id.insert(id, request);
        id
    }
    pub(super) fn get(&self, id: UpstreamId) -> Option<&PendingRequest> {
        self.by_id.get(&id)
    }
    pub(super) fn get_mut(&mut self, id: UpstreamId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(&id)
    }
    /// An attempt whose end has not been reported to the decision logic.
    pub(super) fn open_attempt(&self, id: UpstreamId) -> Option<&PendingRequest> {
        self.by_id.get(&id).filter(|request| !request.concluded)
    }
    /// Like [`UpstreamRequests::open_attempt`], but mutable.
    pub(super) fn open_attempt_mut(&mut self, id: UpstreamId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(&id).filter(|request| !request.concluded)
    }
    /// The open attempts that their hosts have not accepted and that meet the condition.
    pub(super) fn unaccepted_attempts(&self, condition: impl Fn(&PendingRequest) -> bool) -> Vec<UpstreamId> {
        let mut ids = Vec::new();
        for (id, request) in &self.by_id {
            if !request.concluded && !request.accepted && condition(request) {
                ids.push(*id);
            }
        }
        ids
    }
    /// Removes a request that is concluded and has released its connection.
    pub(super) fn remove_if_done(&mut self, id: UpstreamId) {
        if self.by_id.get(&id).is_some_and(|request| request.concluded && request.connection.is_none()) {
            self.by_id.remove(&id);
        }
    }
}
