//! What requests occupy of the process while they are read or in flight: memory for bodies, and connections.

use super::Front;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Connections that are reserved for callbacks.
const CALLBACK_CONNECTIONS: usize = 96;
/// At most one part in this many of all connections is reserved for callbacks.
const CALLBACK_RESERVE_DIVISOR: usize = 4;

/// Memory for the bytes of a message beyond the first few, until this is dropped.
pub(super) struct BodyMemory {
    front: Arc<Front>,
    bytes: usize,
}

impl BodyMemory {
    /// Reserves memory; none if there is not enough left.
    pub(super) fn reserve(front: &Arc<Front>, bytes: usize) -> Option<BodyMemory> {
        let subtract = |free: usize| free.checked_sub(bytes);
        let reserved = front.free_body_bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, subtract);
        reserved.is_ok().then(|| BodyMemory { front: front.clone(), bytes })
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.front.free_body_bytes.fetch_add(self.bytes, Ordering::SeqCst);
    }
}

/// A stream in flight, which occupies a connection until its answer is written, with the memory for its body.
pub(super) struct InFlightStream {
    front: Arc<Front>,
    _memory: BodyMemory,
}

impl InFlightStream {
    /// None if so many are in flight that callbacks might find no connection.
    pub(super) fn admit(front: &Arc<Front>, memory: BodyMemory) -> Option<InFlightStream> {
        // Counted before the check, and by its drop no more if it is not admitted.
        let stream = InFlightStream { front: front.clone(), _memory: memory };
        let others = front.in_flight.fetch_add(1, Ordering::SeqCst);
        let max_connections = front.connections.max_connections;
        let reserved = CALLBACK_CONNECTIONS.min(max_connections / CALLBACK_RESERVE_DIVISOR);
        (others + reserved < max_connections).then_some(stream)
    }
}

impl Drop for InFlightStream {
    fn drop(&mut self) {
        self.front.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
