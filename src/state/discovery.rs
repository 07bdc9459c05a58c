//! State of the endpoint list: its poll schedule, its lease, and the workers suspended by an operator.

use crate::api::*;
use roselock_discovery_client::lease::ListLease;
use roselock_discovery_client::poll_schedule::PollSchedule;
use std::collections::BTreeSet;

/// What is known about the discovery service and its endpoint list.
pub(crate) struct DiscoveryState {
    /// When the discovery service is polled.
    pub(crate) poll_schedule: PollSchedule,
    /// How long the list may be used without contact to the discovery service.
    pub(crate) lease: ListLease,
    /// The discovery service has sent its list, so that any start it reports from now on is a new one.
    pub(crate) synchronized: bool,
    /// The list is a cached one that the discovery service has not confirmed yet, so it must be used with
    /// care.
    pub(crate) unconfirmed: bool,
    /// The workers suspended by an operator. Their listed state is that of their entries.
    pub(crate) suspended: BTreeSet<WorkerId>,
}

/// The lease on the list before the first answer of the discovery service.
fn initial_lease(settings: &Settings) -> ListLease {
    let connect_timeout = settings.limits.connect_timeout;
    if !settings.list_lease_enabled {
        ListLease::unlimited()
    } else if settings.list_unconfirmed {
        ListLease::trusted(connect_timeout)
    } else {
        ListLease::unconfirmed(connect_timeout)
    }
}

impl DiscoveryState {
    pub(crate) fn new(settings: &Settings) -> DiscoveryState {
        DiscoveryState {
            poll_schedule: PollSchedule::new(settings.list_call_time),
            lease: initial_lease(settings),
            synchronized: false,
            // Without polls the list would never be confirmed.
            unconfirmed: settings.list_unconfirmed && settings.watch_required,
            suspended: BTreeSet::new(),
        }
    }

    /// Records an answer of the discovery service; returns whether it confirms a list that was unconfirmed
    /// until now.
    pub(crate) fn record_answer(&mut self, now: Micros) -> bool {
        self.lease.renew();
        self.poll_schedule.record_answer(now) && std::mem::take(&mut self.unconfirmed)
    }

    /// Start time, on this dispatcher's clock, of a process for which the list gives a new start time. The
    /// wall clocks of the worker's machine, of the discovery service and of this dispatcher may all be
    /// stepped, so a listed time is accepted only if the monotonic clock confirms it, that is, if it lies
    /// between the last time the list was in sync and now. Otherwise the process is taken to have started
    /// now. Before the first answer of the discovery service, nothing confirms or contradicts the listed
    /// time, and it is accepted.
    pub(crate) fn start_time(&self, listed: Option<Micros>, now: Micros) -> Option<Micros> {
        if !self.synchronized {
            return listed.map(|started_at| started_at.min(now));
        }
        let in_sync_at = self.lease.in_sync_at(now);
        let confirmed = listed.filter(|started_at| (in_sync_at..=now).contains(started_at));
        Some(confirmed.unwrap_or(now))
    }

    /// Whether a worker with this entry may be sent jobs: it is listed as ready, and not suspended.
    pub(crate) fn is_ready(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == EndpointState::Ready && !self.suspended.contains(&endpoint.worker)
    }
}
