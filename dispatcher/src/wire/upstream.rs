//! Connections to upstream hosts over HTTP/1.1, each with one upstream request at a time.

mod connection;
mod phase;
mod request;
mod response;

use super::discovery::{DiscoveryHandle, ListBarrier};
use crate::core::{
    Dialer, Inbox, RequestKind, ResourceLimit, UpstreamConnection, UpstreamId, UpstreamRequest,
};
use connection::Connection;
use may::sync::mpsc::{Sender, channel};
use phase::SharedPhase;
use roselock::settings::Site;
use roselock_admin::metrics::Metrics;
use std::net::SocketAddr;
use std::sync::Arc;

/// This fraction (1/N) of the connections is reserved for withdrawals.
const WITHDRAWAL_RESERVE_DIVISOR: usize = 8;

/// State shared by all connections to upstream hosts.
struct DialerContext {
    inbox: Inbox,
    site: Arc<Site>,
    metrics: Arc<Metrics>,
    connections: ResourceLimit,
    lists: ListBarrier,
}

/// Opens connections to the upstream hosts of the HTTP fleet.
pub struct HttpDialer {
    shared: Arc<DialerContext>,
    poll_requests: Sender<()>,
}

impl HttpDialer {
    /// Creates a dialer with a limit on connections. `site` interprets load reports,
    /// `poll_requests` wakes the discovery client, `metrics` counts the attempts that were sent completely,
    /// and attempts wait for the lists of `discovery`.
    pub fn new(
        inbox: Inbox,
        site: Arc<Site>,
        metrics: Arc<Metrics>,
        connections: ResourceLimit,
        poll_requests: Sender<()>,
        discovery: DiscoveryHandle,
    ) -> HttpDialer {
        let lists = ListBarrier::new(discovery, inbox.clone());
        let shared = Arc::new(DialerContext { inbox, site, metrics, connections, lists });
        HttpDialer { shared, poll_requests }
    }
}

impl Dialer for HttpDialer {
    fn dial(&self, endpoint: SocketAddr, request: UpstreamRequest) -> Arc<dyn UpstreamConnection> {
        let (requests, pending_requests) = channel();
        let phase = SharedPhase::default();
        let connection = Connection::new(self.shared.clone(), endpoint, phase.clone());
        self.shared.connections.add(1);
        let shared = self.shared.clone();
        may::go!(move || {
            connection.run(request, &pending_requests);
            shared.connections.remove(1);
        });
        Arc::new(HttpConnectionHandle { requests, phase })
    }

    fn has_capacity(&self, kind: &RequestKind) -> bool {
        let max_connections = self.shared.connections.current();
        let reserved = match kind {
            RequestKind::Withdraw(_) => 0,
            _ => max_connections / WITHDRAWAL_RESERVE_DIVISOR,
        };
        self.shared.connections.used() + reserved < max_connections
    }

    fn excess_connections(&self) -> usize {
        self.shared.connections.excess()
    }

    fn watch_endpoints(&self) {
        let _ = self.poll_requests.send(());
    }
}

/// The event loop's handle to a connection.
struct HttpConnectionHandle {
    requests: Sender<UpstreamRequest>,
    phase: SharedPhase,
}

impl UpstreamConnection for HttpConnectionHandle {
    fn start(&self, request: UpstreamRequest) -> bool {
        self.phase.begin_request();
        self.requests.send(request).is_ok()
    }

    fn is_open(&self) -> bool {
        self.phase.is_open()
    }

    fn cancel_unsent(&self, _: UpstreamId) -> bool {
        self.phase.cancel_unsent()
    }

    fn abort(&self, _: UpstreamId) {
        self.phase.abort();
    }
}

#[cfg(test)]
#[path = "upstream_tests.rs"]
mod tests;
