//! The HTTP front end: serves requests of clients and callbacks of upstream hosts on one listener.

mod connection;
mod request;
mod reservations;
mod writer;

use super::connection_limiter::ConnectionLimiter;
use crate::core::{FleetId, Inbox, MemoryBudget, ResourceLimit};
use may::net::TcpListener;
use roselock::settings::Site;
use roselock_admin::metrics::Metrics;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

/// The parameters of a [`Front`].
pub struct FrontParameters {
    /// The settings, with the names of classes and tenants.
    pub site: Arc<Site>,
    /// The inbox of the event loop.
    pub inbox: Inbox,
    /// The fleet that runs the streams.
    pub fleet: FleetId,
    /// Limit on connections.
    pub connection_limit: ResourceLimit,
    /// The memory for request bodies.
    pub memory: Arc<MemoryBudget>,
    /// Whether the listener is inherited from the platform. The next process then accepts on it once this one
    /// stops.
    pub inherited: bool,
    /// The metrics of the admin address, which count requests that the front end rejects.
    pub metrics: Arc<Metrics>,
}

/// State shared by all connections of the front end.
pub struct Front {
    /// The settings, with the names of classes and tenants.
    pub site: Arc<Site>,
    /// The connections. Some are reserved for callbacks, because streams end only by callbacks.
    pub connections: Arc<ConnectionLimiter>,
    /// Whether the listener is inherited from the platform. The next process then accepts on it once this one
    /// stops.
    pub inherited: bool,
    inbox: Inbox,
    fleet: FleetId,
    /// Number of streams in flight.
    in_flight: AtomicUsize,
    /// The memory for request bodies.
    memory: Arc<MemoryBudget>,
    metrics: Arc<Metrics>,
}

impl Front {
    /// Creates a front end without connections.
    pub fn new(parameters: FrontParameters) -> Arc<Front> {
        Arc::new(Front {
            site: parameters.site,
            connections: ConnectionLimiter::new(parameters.connection_limit),
            inherited: parameters.inherited,
            inbox: parameters.inbox,
            fleet: parameters.fleet,
            in_flight: AtomicUsize::new(0),
            memory: parameters.memory,
            metrics: parameters.metrics,
        })
    }
}

/// Accepts connections: until the shutdown begins if the listener is inherited, otherwise indefinitely.
pub fn accept(front: Arc<Front>, listener: &TcpListener) {
    let connections = front.connections.clone();
    let inbox = front.inbox.clone();
    let is_inherited = front.inherited;
    let may_accept = move || !is_inherited || inbox.shutdown_requested_at().is_none();
    connections.accept(listener, may_accept, move |stream, peer| connection::serve(&front, stream, peer));
    tracing::info!("stopped accepting connections: the next process accepts on the inherited listener");
}
