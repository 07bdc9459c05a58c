//! What requests take of the process while they are read or held: bytes of bodies, and connections.

use super::{FOR_CALL_BACKS, Front};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Room for bytes beyond the first few of a message.
pub(super) struct Bulk(Arc<Front>, usize);

impl Bulk {
    /// None where there is none.
    pub(super) fn new(front: &Arc<Front>, bytes: usize) -> Option<Bulk> {
        let less = |left: usize| left.checked_sub(bytes);
        let taken = front.bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less);
        taken.is_ok().then(|| Bulk(front.clone(), bytes))
    }
}

impl Drop for Bulk {
    fn drop(&mut self) {
        self.0.bytes.fetch_add(self.1, Ordering::SeqCst);
    }
}

/// A stream that a connection holds until its answer is written, and the room for its body.
pub(super) struct Held {
    front: Arc<Front>,
    _bulk: Bulk,
}

impl Held {
    /// None where so many are held that call-backs might find no connection.
    pub(super) fn new(front: &Arc<Front>, bulk: Bulk) -> Option<Held> {
        let held = Held { front: front.clone(), _bulk: bulk };
        let others = front.held.fetch_add(1, Ordering::SeqCst);
        (others + FOR_CALL_BACKS.min(front.connections.max_connections / 4)
            < front.connections.max_connections)
            .then_some(held)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.front.held.fetch_sub(1, Ordering::SeqCst);
    }
}
