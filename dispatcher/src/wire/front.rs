//! The platform's front: requests of clients and callbacks of upstream hosts, on one listener.

mod connection;
mod request;
mod reservations;
mod writer;

use super::connection_limiter::ConnectionLimiter;
use crate::core::{FleetId, Inbox};
use may::net::TcpListener;
use roselock::settings::Site;
use roselock_admin::metrics::Metrics;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

/// What a front is made of.
pub struct FrontParameters {
    /// The settings and their names.
    pub site: Arc<Site>,
    /// The way to the owner thread.
    pub inbox: Inbox,
    /// The fleet that runs the streams.
    pub fleet: FleetId,
    /// Most connections.
    pub max_connections: usize,
    /// Bytes that all bodies may occupy together.
    pub body_bytes: usize,
    /// Whether the listener is the platform's, on which the next process accepts once this one stops.
    pub inherited: bool,
    /// The figures of the admin address; requests that are rejected here are counted here.
    pub metrics: Arc<Metrics>,
}

/// What all connections of the front share.
pub struct Front {
    /// The settings and their names.
    pub site: Arc<Site>,
    /// The connections. Some are reserved for callbacks, without which no stream would end.
    pub connections: Arc<ConnectionLimiter>,
    /// Whether the listener is the platform's, on which the next process accepts once this one stops.
    pub inherited: bool,
    inbox: Inbox,
    fleet: FleetId,
    /// Streams in flight.
    in_flight: AtomicUsize,
    /// Bytes that bodies may still occupy.
    free_body_bytes: AtomicUsize,
    metrics: Arc<Metrics>,
}

impl Front {
    /// A front without connections.
    pub fn new(parameters: FrontParameters) -> Arc<Front> {
        Arc::new(Front {
            site: parameters.site,
            connections: ConnectionLimiter::new(parameters.max_connections),
            inherited: parameters.inherited,
            inbox: parameters.inbox,
            fleet: parameters.fleet,
            in_flight: AtomicUsize::new(0),
            free_body_bytes: AtomicUsize::new(parameters.body_bytes),
            metrics: parameters.metrics,
        })
    }
}

/// Accepts connections; on an inherited listener until the shutdown begins, else for ever.
pub fn accept(front: Arc<Front>, listener: &TcpListener) {
    let connections = front.connections.clone();
    let inbox = front.inbox.clone();
    let is_inherited = front.inherited;
    let may_accept = move || !is_inherited || inbox.shutdown_requested_at().is_none();
    connections.accept(listener, may_accept, move |stream, peer| connection::serve(&front, stream, peer));
    tracing::info!("no more connections are taken: the next process takes them on the inherited listener");
}
