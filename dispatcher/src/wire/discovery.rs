//! The discovery client: fetches the endpoint list of upstream hosts and watches for changes to it.

mod handle;
mod list_barrier;
mod stream;
mod watch_error;

use super::http::deadline_after;
use super::list::{EndpointList, listed_hosts};
use super::list_history::ListHistory;
use crate::core::{FleetId, Inbox, Input, ListedHost, clock};
use crate::lifecycle::error_chain::ErrorChain;
pub use handle::DiscoveryHandle;
use handle::Location;
pub use list_barrier::ListBarrier;
use may::sync::mpsc::Receiver;
use roselock::Micros;
use roselock::settings::Site;
use roselock_admin::metrics::Metrics;
use roselock_discovery_client::poll_schedule::{GOLDEN_RATIO_CONJUGATE, WatchEnd, WatchEndReason};
use std::sync::Arc;
use std::time::Duration;
use watch_error::WatchError;

/// Delay between watches when lists are pushed. The service is then an agent on this machine, so no backoff
/// is needed.
const PUSH_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Maximum size in bytes of a chunk of a watch and of a full list: 3,200 workers with 1,300 bytes each.
const MAX_LIST_BYTES: usize = 4 << 20;

/// The parameters of a [`DiscoveryWatcher`].
pub struct WatcherParameters {
    /// The address of the discovery service, which may change.
    pub handle: DiscoveryHandle,
    /// The revision of the cached list; changes after it are watched.
    pub cached_revision: u64,
    /// This copy of the settings assigns ids to the zones and kinds that lists name.
    pub site: Site,
    /// The inbox of the event loop.
    pub inbox: Inbox,
    /// The fleet whose hosts are listed.
    pub fleet: FleetId,
    /// Counts malformed lists.
    pub metrics: Arc<Metrics>,
    /// Minimum time between a move of the discovery service and fetching the full list.
    pub resync_after: Micros,
}

/// Watches the endpoint list, and passes lists to the event loop.
pub struct DiscoveryWatcher {
    handle: DiscoveryHandle,
    /// The latest revision; `None` if the full list has to be fetched.
    revision: Option<u64>,
    /// Whether the latest complete list was empty, and no later change has added a host.
    is_list_empty: bool,
    /// Number of consecutive watches that ended with an empty list.
    consecutive_empty_lists: u32,
    site: Site,
    inbox: Inbox,
    fleet: FleetId,
    metrics: Arc<Metrics>,
    resync_after: Micros,
    /// When the full list is fetched after a move, unless the discovery service sends it before.
    resync_at: Option<Micros>,
    progress: WatchProgress,
    /// Whether the service has sent an event since the start.
    has_received_event: bool,
    /// Whether a call before the first event was not answered in time.
    awaits_slow_answer: bool,
    /// The lists that the service at the current address has sent.
    history: ListHistory,
}

/// Progress of the current watch.
#[derive(Clone, Copy, Debug, Default)]
struct WatchProgress {
    /// Whether a connection was established.
    connected: bool,
    /// When the latest event was received, if any.
    last_event_at: Option<Micros>,
}

impl DiscoveryWatcher {
    /// Creates a watcher that starts at the revision of the cached list.
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
            has_received_event: false,
            awaits_slow_answer: false,
            history: ListHistory::default(),
        }
    }

    /// Records the cached list as the last one that the discovery service sent, and returns its hosts.
    pub fn record_cached(&mut self, mut list: EndpointList) -> Vec<ListedHost> {
        self.history.record(&mut list);
        listed_hosts(&list, &mut self.site)
    }

    /// Starts a watch after each poll request, or continuously if lists are pushed. The caller schedules the
    /// poll requests; only after a move does the watch continue at the new address immediately.
    pub fn run(mut self, poll_requests: &Receiver<()>) {
        while self.handle.always_watches() || poll_requests.recv().is_ok() {
            let end = self.watch_across_moves(poll_requests);
            self.inbox.post(Input::WatchEnded { fleet: self.fleet, end });
            if self.handle.always_watches() {
                clock::sleep(PUSH_RECONNECT_DELAY);
            }
        }
    }

    /// Watches until a watch ends for a reason other than a move.
    fn watch_across_moves(&mut self, poll_requests: &Receiver<()>) -> WatchEnd {
        loop {
            // One watch serves all requests received so far.
            drain_poll_requests(poll_requests);
            let (location, first_move_at) = self.handle.take_moves();
            if let Some(moved_at) = first_move_at {
                self.record_move(moved_at);
            }
            let end = self.watch_once(location);
            // The watch has served the requests that were received while it was open. They are discarded
            // before the generation is compared, because a later move sends its own request.
            drain_poll_requests(poll_requests);
            if self.handle.location().generation == location.generation {
                return end;
            }
        }
    }

    /// Handles a move of the discovery service to another address. At first only changes are watched there,
    /// to keep the load on the service low when all dispatchers move at once. The service may number its
    /// revisions differently, so changes alone are not sufficient: the full list is fetched later, by each
    /// dispatcher at a different time.
    fn record_move(&mut self, moved_at: Micros) {
        self.inbox.post(Input::DiscoveryMoved { fleet: self.fleet, at: moved_at });
        // Revisions of the former address are not comparable with those of the new one.
        self.history = ListHistory::default();
        let position = (f64::from(self.site.settings.instance_index) * GOLDEN_RATIO_CONJUGATE).fract();
        let spread = (self.resync_after as f64 * position) as Micros;
        self.resync_at = Some(deadline_after(self.resync_after + spread));
    }

    /// Runs one watch, from connecting to its end.
    fn watch_once(&mut self, location: Location) -> WatchEnd {
        let started_at = clock::now();
        self.progress = WatchProgress::default();
        let Err(error) = self.watch(location);
        self.handle.forget_connection();
        self.update_empty_list_count();
        tracing::warn!(address = %location.address, reason = %ErrorChain(&error), "discovery watch closed");
        let reason = self.end_reason(&error);
        self.has_received_event |= self.progress.last_event_at.is_some();
        self.awaits_slow_answer = reason == WatchEndReason::TimedOut && !self.has_received_event;
        // Without any event, the service has not answered since the watch began, or, of a service that many dispatchers call,
        // since it refused the request.
        let is_small_fleet = self.site.settings.poll_parameters().is_small_fleet();
        let counts_refusal = reason == WatchEndReason::Refused && !is_small_fleet;
        let unanswered_at = if counts_refusal { clock::now() } else { started_at };
        WatchEnd { reason, in_sync_until: self.progress.last_event_at.unwrap_or(unanswered_at) }
    }

    fn update_empty_list_count(&mut self) {
        if self.is_list_empty {
            self.consecutive_empty_lists = self.consecutive_empty_lists.saturating_add(1);
            // The revision of an empty list carries no information, so the next watch fetches the full list.
            self.revision = None;
        } else {
            self.consecutive_empty_lists = 0;
        }
    }

    fn end_reason(&self, error: &WatchError) -> WatchEndReason {
        match error {
            WatchError::LocalShortage(_) => WatchEndReason::LocalFailure,
            _ if !self.progress.connected => WatchEndReason::Unreachable,
            WatchError::TimedOut => WatchEndReason::TimedOut,
            _ => WatchEndReason::Refused,
        }
    }
}

fn drain_poll_requests(poll_requests: &Receiver<()>) {
    while poll_requests.try_recv().is_ok() {}
}
