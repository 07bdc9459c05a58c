//! The endpoint list: its application to the hosts of a fleet, its validity, and the readiness of the process.

use super::Core;
use super::attempts::CancelReason;
use super::fleets::{Fleet, Host};
use crate::core::{ConnectionState, FleetId, ListedHost, UpstreamEvent, clock};
use roselock::{EndpointState, Event, ListMode, LoadReport, Micros, Outcome};
use roselock_discovery_client::startup_stage::StartupProgress;

/// Maximum number of hosts per fleet that are remembered after they are gone.
const MAX_GONE_HOSTS: usize = 1024;

/// The status of the endpoint lists of all fleets.
pub(super) struct ListStatus {
    /// Whether the lists of all fleets were valid at the same time at least once.
    was_valid: bool,
    /// The progress of the startup.
    pub(super) startup: StartupProgress,
}

impl ListStatus {
    /// The status at startup, with or without a cached list.
    pub(super) fn new(now: Micros, has_cached_list: bool) -> ListStatus {
        ListStatus { was_valid: false, startup: StartupProgress::new(now, has_cached_list) }
    }
}

impl Core {
    /// Applies the endpoint list of a fleet, or changes to it.
    pub(super) fn apply_list(&mut self, fleet: FleetId, mode: ListMode, hosts: Vec<ListedHost>) {
        self.admin.suspensions.record_listed(hosts.iter().map(|listed| listed.uid.as_str()));
        for listed in &hosts {
            if listed.endpoint.state == EndpointState::Gone && listed.address.is_none() {
                self.end_unaccepted_attempts(fleet, listed);
            }
        }
        self.fleets[fleet].apply_list(mode, hosts);
        self.clear_dial_queues(|host| !host.is_ready());
        self.cancel_unsent_at(fleet, CancelReason::Unavailable, |host| !host.is_ready());
        self.update_readiness();
    }

    /// Ends the attempts that a host on an inbound connection had not accepted before it left. They have not run.
    fn end_unaccepted_attempts(&mut self, fleet: FleetId, departed: &ListedHost) {
        let ids = self.upstreams.unaccepted_attempts(|request| {
            request.host.fleet == fleet && request.host.worker == departed.endpoint.worker
        });
        for id in ids {
            let event = UpstreamEvent::Ended {
                outcome: Outcome::ConnectFailed,
                report: LoadReport::default(),
                body: Vec::new(),
            };
            self.handle_upstream_event(id, event, ConnectionState::Closed);
        }
    }

    /// Updates the readiness of the process: it is ready if any host accepts jobs and the list has been valid once.
    /// After that, an expired list does not make the process unready: all dispatchers would become unready at the same
    /// time.
    fn update_readiness(&mut self) {
        let mut listed = self.fleets.iter().filter(|fleet| fleet.dialer.is_some());
        self.list_status.was_valid |= listed.all(|fleet| fleet.dispatcher.list_is_valid());
        let has_ready_host = self.fleets.iter().any(|fleet| fleet.hosts.values().any(Host::is_ready));
        self.inbox.set_has_ready_host(has_ready_host && self.list_status.was_valid);
    }

    /// Updates the validity of a fleet's list after a step. Logs when the list expires and when it is valid again.
    pub(super) fn update_list_validity(&mut self, fleet: FleetId) {
        let fleet = &mut self.fleets[fleet];
        let is_valid = fleet.dispatcher.list_is_valid();
        if fleet.list_is_valid == is_valid {
            return;
        }
        fleet.list_is_valid = is_valid;
        if !self.list_status.was_valid {
            self.update_readiness();
        } else if is_valid {
            tracing::info!("endpoint list synchronized");
        } else {
            tracing::warn!("endpoint list expired, no new attempts until the discovery service responds");
        }
    }

    /// Ends the attempts that have not been sent at fleets whose list has expired: the hosts may be draining.
    pub(super) fn cancel_unsent_at_expired_lists(&mut self, now: Micros) {
        for id in 0..self.fleets.len() {
            let fleet = &mut self.fleets[id];
            let Some(expired_at) = fleet.next_list_expiry().filter(|at| *at <= now) else { continue };
            fleet.cancelled_for_expiry_at = Some(expired_at);
            self.cancel_unsent_at(id, CancelReason::ListExpired, |_| true);
        }
    }

    /// Records that the discovery service has confirmed the list of a fleet, unless all hosts of the fleet are on
    /// inbound connections.
    pub(super) fn record_list_confirmation(&mut self, fleet: FleetId) {
        if self.fleets[fleet].dialer.is_none() {
            return;
        }
        let startup = &mut self.list_status.startup;
        let confirmed_after = startup.record_list(clock::now());
        if let Some(after) = confirmed_after {
            let after_s = (after as f64 / 1e5).round() / 10.0;
            let calls = startup.calls;
            let failed_calls = startup.failed_calls;
            tracing::info!(after_s, calls, failed_calls, "endpoint list confirmed");
        }
        self.admin.metrics.set_startup_progress(startup, confirmed_after);
    }

    /// Records that the endpoint list is being polled, or a watch on it opened.
    pub(super) fn record_watch_start(&mut self) {
        self.list_status.startup.record_call();
        self.admin.metrics.set_startup_progress(&self.list_status.startup, None);
    }

    /// Records that a watch on the endpoint list has ended, or could not be opened.
    pub(super) fn record_watch_end(&mut self) {
        self.list_status.startup.record_watch_end();
        self.admin.metrics.set_startup_progress(&self.list_status.startup, None);
    }
}

impl Fleet {
    /// Applies the endpoint list to the hosts, and passes it to the decision logic.
    fn apply_list(&mut self, mode: ListMode, hosts: Vec<ListedHost>) {
        if mode.is_complete() {
            self.mark_unlisted_hosts_gone(&hosts, mode);
        }
        let mut endpoints = Vec::with_capacity(hosts.len());
        for listed in hosts {
            endpoints.push(listed.endpoint.clone());
            let host = self.hosts.entry(listed.endpoint.worker).or_insert_with(|| Host::new(&listed));
            log_state_change(host, listed.endpoint.state, mode);
            host.update(listed);
        }
        let gone = self.hosts.values().filter(|host| host.is_gone()).count();
        if gone > MAX_GONE_HOSTS {
            self.hosts.retain(|_, host| !host.is_gone());
        }
        self.events.push(Event::EndpointList { mode, endpoints });
    }

    fn mark_unlisted_hosts_gone(&mut self, listed: &[ListedHost], mode: ListMode) {
        for (worker, host) in &mut self.hosts {
            if !listed.iter().any(|entry| entry.endpoint.worker == *worker) {
                log_state_change(host, EndpointState::Gone, mode);
                host.entry.state = EndpointState::Gone;
                host.pool.clear();
            }
        }
    }
}

/// Logs that a list changes the state of a host.
fn log_state_change(host: &Host, state: EndpointState, mode: ListMode) {
    let previous = host.entry.state;
    if previous != state {
        tracing::debug!(worker = host.uid, ?previous, ?state, ?mode, "listed state of a worker changed");
    }
}
