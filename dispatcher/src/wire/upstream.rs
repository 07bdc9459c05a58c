//! Connections to upstream hosts over HTTP/1.1, each with one upstream request at a time.

mod connection;
mod phase;
mod request;
mod response;

use super::discovery::{DiscoveryHandle, ListBarrier};
use crate::core::{Dialer, Inbox, RequestKind, UpstreamConnection, UpstreamId, UpstreamRequest};
use connection::Connection;
use may::sync::mpsc::{Sender, channel};
use phase::SharedPhase;
use roselock::settings::Site;
use roselock_admin::metrics::Metrics;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// This fraction (1/N) of the connections is reserved for withdrawals.
const WITHDRAWAL_RESERVE_DIVISOR: usize = 8;

/// State shared by all connections to upstream hosts.
struct DialerContext {
    inbox: Inbox,
    site: Arc<Site>,
    metrics: Arc<Metrics>,
    open_connections: AtomicUsize,
    lists: ListBarrier,
}

/// Opens connections to the upstream hosts of the HTTP fleet.
pub struct HttpDialer {
    shared: Arc<DialerContext>,
    max_connections: usize,
    poll_requests: Sender<()>,
}

impl HttpDialer {
    /// Creates a dialer for up to `max_connections` connections. `site` interprets load reports,
    /// `poll_requests` wakes the discovery client, `metrics` counts the attempts that were sent completely,
    /// and attempts wait for the lists of `discovery`.
    pub fn new(
        inbox: Inbox,
        site: Arc<Site>,
        metrics: Arc<Metrics>,
        max_connections: usize,
        poll_requests: Sender<()>,
        discovery: DiscoveryHandle,
    ) -> HttpDialer {
        let open_connections = AtomicUsize::new(0);
        let lists = ListBarrier::new(discovery, inbox.clone());
        let shared = Arc::new(DialerContext { inbox, site, metrics, open_connections, lists });
        HttpDialer { shared, max_connections, poll_requests }
    }
}

impl Dialer for HttpDialer {
    fn dial(&self, endpoint: SocketAddr, request: UpstreamRequest) -> Arc<dyn UpstreamConnection> {
        let (requests, pending_requests) = channel();
        let phase = SharedPhase::default();
        let connection = Connection::new(self.shared.clone(), endpoint, phase.clone());
        self.shared.open_connections.fetch_add(1, Ordering::SeqCst);
        let shared = self.shared.clone();
        may::go!(move || {
            connection.run(request, &pending_requests);
            shared.open_connections.fetch_sub(1, Ordering::SeqCst);
        });
        Arc::new(HttpConnectionHandle { requests, phase })
    }

    fn has_capacity(&self, kind: &RequestKind) -> bool {
        let reserved = match kind {
            RequestKind::Withdraw(_) => 0,
            _ => self.max_connections / WITHDRAWAL_RESERVE_DIVISOR,
        };
        self.shared.open_connections.load(Ordering::SeqCst) + reserved < self.max_connections
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
