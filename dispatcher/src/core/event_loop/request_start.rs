//! Assignment of a connection to an upstream request: an inbound, a pooled or a new one, or else a place in the dial
//! queue.

use super::Core;
use super::upstream_requests::PendingRequest;
use crate::core::pool::ConnectionUse;
use crate::core::{RequestKind, UpstreamConnection, UpstreamId, UpstreamRequest, clock};
use roselock::Micros;
use roselock_dial_limiter::rejected_recently;
use std::net::SocketAddr;
use std::sync::Arc;

impl Core {
    /// Starts an upstream request on the inbound connection of its host, on a pooled connection that is eligible for
    /// `connection_use`, or on a new one; without a `connection_use` pooled connections are not used. An attempt may be
    /// put into the dial queue of its host. Returns `None` if the request could neither be started nor queued.
    pub(super) fn start_request(
        &mut self,
        pending: PendingRequest,
        kind: RequestKind,
        deadline: Micros,
        connection_use: Option<ConnectionUse>,
    ) -> Option<UpstreamId> {
        let now = clock::now();
        let request = self.upstream_request(&pending, kind, deadline, now);
        let host = self.fleets.host(pending.host)?;
        if let Some(connection) = host.connection.clone() {
            return self.start_on(connection, pending, request);
        }
        let address = host.address?;
        if let Some(connection_use) = connection_use
            && let Some(idle) = self.take_idle_connection(pending.host, now, connection_use)
        {
            let reused_idle = Some(now - idle.idle_since);
            return self.start_on(idle.connection, PendingRequest { reused_idle, ..pending }, request);
        }
        if !self.fleets[pending.host.fleet].has_dial_capacity(&request.kind) {
            // All file descriptors are in use. Closing an idle connection makes one available for the next attempt.
            self.close_oldest_idle_connection(pending.host.fleet);
            return None;
        }
        let is_preconnect = matches!(request.kind, RequestKind::Preconnect);
        if is_preconnect || self.may_dial(&pending, &request, connection_use, now) {
            return self.dial(address, pending, request);
        }
        // Only attempts are queued; the caller retries a control request that got no connection.
        match request.class {
            Some(_) => self.join_dial_queue(pending, request),
            None => None,
        }
    }

    fn upstream_request(
        &self,
        pending: &PendingRequest,
        kind: RequestKind,
        deadline: Micros,
        now: Micros,
    ) -> UpstreamRequest {
        let is_attempt = matches!(kind, RequestKind::Run(_));
        let stream = self.streams.get(pending.stream).filter(|_| is_attempt);
        UpstreamRequest {
            id: self.upstreams.next_id(),
            kind,
            decided_at: now,
            connect_by: now + self.fleets[pending.host.fleet].settings.limits.connect_timeout,
            begin_by: stream.map_or(Micros::MAX, |stream| stream.begin_by),
            deadline,
            class: stream.map(|stream| stream.class.0 as usize),
        }
    }

    fn start_on(
        &mut self,
        connection: Arc<dyn UpstreamConnection>,
        pending: PendingRequest,
        request: UpstreamRequest,
    ) -> Option<UpstreamId> {
        if !connection.start(request) {
            return None;
        }
        Some(self.upstreams.insert(PendingRequest { connection: Some(connection), ..pending }))
    }

    /// Whether the dial limits of the host allow a new connection now; if so, the dial is recorded. Attempts keep their
    /// order: none overtakes queued ones. While connections are being rejected, an attempt that must not run twice is
    /// not sent on a new connection.
    fn may_dial(
        &mut self,
        pending: &PendingRequest,
        request: &UpstreamRequest,
        connection_use: Option<ConnectionUse>,
        now: Micros,
    ) -> bool {
        let fleet = &mut self.fleets[pending.host.fleet];
        let Some(limits) = fleet.dial_limits else { return true };
        let Some(host) = fleet.hosts.get_mut(&pending.host.worker) else { return false };
        let needs_accepted_connection =
            connection_use == Some(ConnectionUse::Once) && rejected_recently(fleet.last_rejection, now);
        let would_overtake = !host.dial_queue.is_empty() && request.class.is_some();
        let is_limited = host.dial_limiter.next_dial_at(limits, now) > now;
        if is_limited || needs_accepted_connection || would_overtake {
            return false;
        }
        host.dial_limiter.record_dial(limits, now);
        true
    }

    fn dial(
        &mut self,
        address: SocketAddr,
        pending: PendingRequest,
        request: UpstreamRequest,
    ) -> Option<UpstreamId> {
        let dialer = self.fleets[pending.host.fleet].dialer.as_ref()?;
        let connection = dialer.dial(address, request);
        Some(self.upstreams.insert(PendingRequest { connection: Some(connection), ..pending }))
    }
}
