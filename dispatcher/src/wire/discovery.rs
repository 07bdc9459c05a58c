//! The discovery client: polls the endpoint list of upstream hosts and watches its changes.

mod handle;
mod stream;
mod watch_error;

use super::http::deadline_after;
use super::list::{EndpointList, listed_hosts};
use super::list_history::ListHistory;
use crate::core::{FleetId, Inbox, Input, ListedHost, clock};
use crate::lifecycle::error_chain::ErrorChain;
pub use handle::DiscoveryHandle;
use handle::Location;
use may::sync::mpsc::Receiver;
use roselock::Micros;
use roselock::settings::Site;
use roselock_admin::metrics::Metrics;
use roselock_discovery_client::poll_schedule::{GOLDEN_RATIO, WatchEnd, WatchEndReason};
use std::sync::Arc;
use std::time::Duration;
use watch_error::WatchError;

/// The pause between watches where lists are pushed: the service is this machine's agent, so it needs no backoff.
const PUSH_RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longest chunk of a watch, and the longest full list, in bytes: 3,200 workers with 1,300 bytes each.
const MAX_LIST_BYTES: usize = 4 << 20;

/// What a [`DiscoveryWatcher`] is made of.
pub struct WatcherParameters {
    /// Where discovery is.
    pub handle: DiscoveryHandle,
    /// The revision of the cached list, from which on changes are watched.
    pub cached_revision: u64,
    /// Zones and kinds that lists name get ids of their own in this copy.
    pub site: Site,
    /// The way to the decisions.
    pub inbox: Inbox,
    /// Whose hosts are listed.
    pub fleet: FleetId,
    /// Counts malformed lists.
    pub metrics: Arc<Metrics>,
    /// How long after a move of discovery the full list is polled at the earliest.
    pub resync_after: Micros,
}

/// Keeps the watch on the endpoint list, and hands lists to the decisions.
pub struct DiscoveryWatcher {
    handle: DiscoveryHandle,
    /// The latest revision; none where the full list has to be polled.
    revision: Option<u64>,
    /// The latest complete list had no host, and no change since has added one.
    is_list_empty: bool,
    /// Watches in a row that ended with an empty list.
    consecutive_empty_lists: u32,
    site: Site,
    inbox: Inbox,
    fleet: FleetId,
    metrics: Arc<Metrics>,
    resync_after: Micros,
    /// When the full list is polled after a move, unless it comes by itself until then.
    resync_at: Option<Micros>,
    progress: WatchProgress,
    /// What the service at the present address has sent.
    history: ListHistory,
}

/// How far the present watch has come.
#[derive(Clone, Copy, Debug, Default)]
struct WatchProgress {
    /// A connection came up.
    connected: bool,
    /// When the latest event was received.
    last_event_at: Option<Micros>,
}

impl DiscoveryWatcher {
    /// A watcher that has not polled yet.
    pub fn new(parameters: WatcherParameters) -> DiscoveryWatcher {
        DiscoveryWatcher {
            handle: parameters.handle,
            revision: Some(parameters.cached_revision),
            is_list_empty: false,
            consecutive_empty_lists: 0,
            site: parameters.site,
            inbox: parameters.inbox,
            fleet: parameters.fleet,
            metrics: parameters.metrics,
            resync_after: parameters.resync_after,
            resync_at: None,
            progress: WatchProgress::default(),
            history: ListHistory::default(),
        }
    }

    /// Records the cached list as what discovery sent last; its hosts.
    pub fn record_cached(&mut self, mut list: EndpointList) -> Vec<ListedHost> {
        self.history.record(&mut list);
        listed_hosts(&list, &mut self.site)
    }

    /// Watches after each poll request, until the watch ends; where lists are pushed, all the time. When to poll again is
    /// decided elsewhere; but after a move the watch continues at the new address at once.
    pub fn run(mut self, poll_requests: &Receiver<()>) {
        let mut generation = 0;
        while self.handle.always_watches() || poll_requests.recv().is_ok() {
            let end = self.watch_across_moves(poll_requests, &mut generation);
            self.inbox.post(Input::WatchEnded { fleet: self.fleet, end });
            if self.handle.always_watches() {
                may::coroutine::sleep(PUSH_RECONNECT_PAUSE);
            }
        }
    }

    /// Watches until a watch ends for another reason than a move. `generation` is that of the latest watch.
    fn watch_across_moves(&mut self, poll_requests: &Receiver<()>, generation: &mut u64) -> WatchEnd {
        loop {
            // One watch answers all requests until now.
            discard_pending(poll_requests);
            let location = self.handle.location();
            if location.generation != *generation {
                *generation = location.generation;
                self.note_move(location.moved_at);
            }
            let end = self.watch_once(location);
            // The watch has answered the requests that came while it was open. Discarded before the generation is
            // compared: a later move sends a request of its own.
            discard_pending(poll_requests);
            if self.handle.location().generation == location.generation {
                return end;
            }
        }
    }

    /// Discovery is at another address. Only changes are watched there, which costs it little when all dispatchers move
    /// at once. Its revisions may be others, so that changes say too little: the full list is polled later, by each
    /// dispatcher at a time of its own.
    fn note_move(&mut self, moved_at: Micros) {
        self.inbox.post(Input::DiscoveryMoved { fleet: self.fleet, at: moved_at });
        // Revisions of the former address cannot be compared with those of this one.
        self.history = ListHistory::default();
        let position = (f64::from(self.site.settings.instance_index) * GOLDEN_RATIO).fract();
        let spread = (self.resync_after as f64 * position) as Micros;
        self.resync_at = Some(deadline_after(self.resync_after + spread));
    }

    /// One watch, from the connection to its end.
    fn watch_once(&mut self, location: Location) -> WatchEnd {
        let started_at = clock::now();
        self.progress = WatchProgress::default();
        let Err(error) = self.watch(location);
        self.count_empty_lists();
        tracing::warn!(address = %location.address, reason = %ErrorChain(&error), "discovery watch closed");
        let reason = self.end_reason(&error);
        // Without any event the service is known not to answer since the watch began, or since it refused.
        let unanswered_at = if reason == WatchEndReason::Refused { clock::now() } else { started_at };
        WatchEnd { reason, in_sync_until: self.progress.last_event_at.unwrap_or(unanswered_at) }
    }

    fn count_empty_lists(&mut self) {
        if self.is_list_empty {
            self.consecutive_empty_lists = self.consecutive_empty_lists.saturating_add(1);
            // The revision of an empty list says nothing.
            self.revision = None;
        } else {
            self.consecutive_empty_lists = 0;
        }
    }

    fn end_reason(&self, error: &WatchError) -> WatchEndReason {
        match error {
            WatchError::LocalShortage(_) => WatchEndReason::LocalFailure,
            _ if !self.progress.connected => WatchEndReason::Unreachable,
            WatchError::Silent => WatchEndReason::Silent,
            _ => WatchEndReason::Refused,
        }
    }
}

fn discard_pending(poll_requests: &Receiver<()>) {
    while poll_requests.try_recv().is_ok() {}
}
