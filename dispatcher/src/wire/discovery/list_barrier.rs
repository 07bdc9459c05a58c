//! Lets attempts wait for lists that have arrived from the discovery service and are not applied yet.

use super::DiscoveryHandle;
use crate::core::{Inbox, clock};
use roselock::Micros;
use std::time::Duration;

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Lets attempts wait for lists that have arrived and are not applied yet: behind other work, a list may wait to be read for longer
/// than an attempt may still be sent after it.
pub struct ListBarrier {
    handle: DiscoveryHandle,
    inbox: Inbox,
}

impl ListBarrier {
    /// Creates a barrier for the lists that the watcher of `handle` posts to `inbox`.
    pub fn new(handle: DiscoveryHandle, inbox: Inbox) -> ListBarrier {
        ListBarrier { handle, inbox }
    }

    /// Waits until the lists that have arrived by now are applied, at most until `deadline`.
    pub fn wait(&self, deadline: Micros) {
        let reads = self.handle.reads();
        let is_unread = || self.handle.has_unread_bytes() && self.handle.reads() == reads;
        while (is_unread() || self.inbox.has_unapplied_list()) && clock::now() < deadline {
            clock::sleep(CHECK_INTERVAL);
        }
    }
}
