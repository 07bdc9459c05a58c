//! The platform's front: clients' streams and upstream hosts' call-backs on one listener.

mod connection;
mod request;
mod room;
mod writer;

use super::connection_limiter::ConnectionLimiter;
use crate::core::{FleetId, Inbox};
use may::net::TcpListener;
use roselock::settings::Site;
use roselock_admin::metrics::Metrics;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

/// What all connections of the front share.
pub struct Front {
    /// The settings and their names.
    pub site: Arc<Site>,
    /// The way to the decisions.
    pub inbox: Inbox,
    /// Who runs the streams.
    pub fleet: FleetId,
    /// Its connections; some of them are kept for call-backs, without which no stream would end.
    pub connections: Arc<ConnectionLimiter>,
    /// Streams held.
    pub held: AtomicUsize,
    /// Bytes that bodies may still take.
    pub bytes: AtomicUsize,
    /// Whether the listener is the platform's, on which the next process accepts once this one stops.
    pub inherited: bool,
    /// The figures of the admin address: who is turned away here is counted here.
    pub metrics: Arc<Metrics>,
}

/// The answer to a call-back.
const CALLED_BACK: u16 = 204;
/// Connections kept for call-backs.
const FOR_CALL_BACKS: usize = 96;

/// Accepts connections for ever.
pub fn accept(front: Arc<Front>, listener: &TcpListener) {
    let table = front.connections.clone();
    let (inbox, inherited) = (front.inbox.clone(), front.inherited);
    let go_on = move || !(inherited && inbox.shutdown_requested_at().is_some());
    table.accept(listener, go_on, move |stream, peer| connection::serve(&front, stream, peer));
    tracing::info!("no more connections are taken: the next process takes them on the inherited listener");
}
