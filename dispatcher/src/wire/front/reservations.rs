//! Connections that streams in flight occupy, of which some are reserved for callbacks.

use super::Front;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Number of connections that are reserved for callbacks.
const CALLBACK_CONNECTIONS: usize = 96;
/// At most this fraction (1/N) of all connections is reserved for callbacks.
const CALLBACK_RESERVE_DIVISOR: usize = 4;

/// A stream in flight. It occupies a connection until its answer is written.
pub(super) struct InFlightStream {
    front: Arc<Front>,
}

impl InFlightStream {
    /// Admits a stream. Returns `None` if it would use a connection that is reserved for callbacks.
    pub(super) fn admit(front: &Arc<Front>) -> Option<InFlightStream> {
        // The stream is counted before the check. If it is not admitted, dropping it decrements the count.
        let stream = InFlightStream { front: front.clone() };
        let others = front.in_flight.fetch_add(1, Ordering::SeqCst);
        let max_connections = front.connections.max_connections();
        let reserved = CALLBACK_CONNECTIONS.min(max_connections / CALLBACK_RESERVE_DIVISOR);
        (others + reserved < max_connections).then_some(stream)
    }
}

impl Drop for InFlightStream {
    fn drop(&mut self) {
        self.front.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
