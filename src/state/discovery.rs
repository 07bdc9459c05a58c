//! The endpoint list: when it is polled, how long it may be acted on, and which workers are suspended by
//! hand.

use crate::api::*;
use roselock_discovery_client::lease::ListLease;
use roselock_discovery_client::poll_schedule::PollSchedule;
use std::collections::BTreeMap;

/// What is known of the discovery service and its list.
pub(crate) struct DiscoveryState {
    /// When discovery is polled.
    pub(crate) poll_schedule: PollSchedule,
    /// How long the list may be acted on.
    pub(crate) lease: ListLease,
    /// Discovery has sent its list: a start that it reports from now on is a new one.
    pub(crate) synchronized: bool,
    /// The list is a cached one that discovery has not confirmed yet, and that calls for care.
    pub(crate) unconfirmed: bool,
    /// The workers suspended by hand, with their last listed state, if they were listed.
    pub(crate) suspended: BTreeMap<WorkerId, Option<EndpointState>>,
}

/// The lease on the list at the start.
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
            // Where discovery is not polled, nobody ever confirms.
            unconfirmed: settings.list_unconfirmed && settings.watch_required,
            suspended: BTreeMap::new(),
        }
    }

    /// Discovery has answered; whether that confirms a list that was unconfirmed until now.
    pub(crate) fn record_answer(&mut self, now: Micros) -> bool {
        self.lease.renew();
        self.poll_schedule.record_answer(now) && std::mem::take(&mut self.unconfirmed)
    }

    /// When a process started of which the list has a new start, by our own clock. Any clock may be stepped:
    /// that of the worker's machine, the list's and our own wall clock. A listed time is believed where our
    /// steady clock confirms it, which is the time since the list was in sync; otherwise the process has
    /// started now. Before the first answer of discovery nothing confirms it, nor contradicts it.
    pub(crate) fn start_time(&self, listed: Option<Micros>, now: Micros) -> Option<Micros> {
        if !self.synchronized {
            return listed.map(|started_at| started_at.min(now));
        }
        let in_sync_at = self.lease.in_sync_at(now);
        let confirmed = listed.filter(|started_at| (in_sync_at..=now).contains(started_at));
        Some(confirmed.unwrap_or(now))
    }

    /// The lines of a list with suspended workers draining, whatever the list says; its state there is kept
    /// for later.
    pub(crate) fn apply_suspensions(&mut self, endpoints: &[Endpoint]) -> Vec<Endpoint> {
        let mut applied = endpoints.to_vec();
        for endpoint in &mut applied {
            let Some(listed_state) = self.suspended.get_mut(&endpoint.worker) else { continue };
            *listed_state = Some(endpoint.state);
            if endpoint.state == EndpointState::Ready {
                endpoint.state = EndpointState::Draining;
            }
        }
        applied
    }
}
