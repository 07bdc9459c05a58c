//! Handling of the inputs of the event loop.

use super::Core;
use super::fleets::HostId;
use crate::core::{CallbackEvent, Input, ListedHost, clock};
use roselock::{Event, LoadReport, Micros};

impl Core {
    /// Handles one input.
    pub fn handle(&mut self, input: Input) {
        match input {
            Input::StreamArrived(new) => {
                self.inbox.stream_received();
                self.admit_stream(*new);
            }
            Input::ClientDisconnected(id) => self.disconnect_client(id),
            Input::Upstream { id, event, connection } => self.handle_upstream_event(id, event, connection),
            Input::Callback { id, from, event, report, body, memory } => {
                self.handle_or_forward_callback(&id, &from, event, report, body);
                drop(memory);
            }
            Input::Hosts { fleet, mode, hosts, received_at } => {
                self.record_list_confirmation(fleet);
                log_list_application(&hosts, received_at);
                self.apply_list(fleet, mode, hosts);
                if self.fleets[fleet].dialer.is_some() {
                    self.inbox.record_applied_list();
                }
            }
            Input::Capacity { fleet, worker, free_slots } => {
                let report = LoadReport { free_slots: Some(free_slots), ..LoadReport::default() };
                self.report_health(HostId { fleet, worker }, true, report);
            }
            Input::FleetAdded { fleet, settings, seed } => {
                assert_eq!(fleet, self.fleets.len(), "fleets are added in the order of their numbers");
                self.add_fleet(*settings, seed, None).expect("the sender has validated the settings");
            }
            Input::WatchEnded { fleet, end } => {
                self.record_watch_end();
                self.fleets[fleet].events.push(Event::WatchEnded(end));
            }
            Input::DiscoveryMoved { fleet, at } => self.fleets[fleet].events.push(Event::DiscoveryMoved(at)),
            Input::SettingsChanged { fleet, settings } => self.fleets[fleet].update_settings(*settings),
            Input::DialLimitsChanged { fleet, limits } => {
                // Only changes existing limits: whether a fleet has limits is decided at the start.
                if let Some(current) = &mut self.fleets[fleet].dial_limits {
                    *current = limits;
                }
            }
            // These only wake the event loop, which polls the job sources and reads the shutdown request from the
            // inbox.
            Input::JobsAvailable | Input::ShutdownRequested => {}
        }
    }

    /// Handles a callback. If its stream is unknown here, it is forwarded to the other process of an upgrade, if there
    /// is one that may have the stream. A late callback for a stream that has ended here is not: it would fill the file
    /// through which callbacks are relayed.
    fn handle_or_forward_callback(
        &mut self,
        job_id: &str,
        from: &str,
        event: CallbackEvent,
        report: LoadReport,
        body: Option<Vec<u8>>,
    ) {
        let is_known = self.streams.knows_job_id(job_id, clock::now());
        if !is_known
            && let Some(relay) = &self.relay
            && let Some(body) = body
        {
            let relevance = self.streams.relevance_elsewhere(job_id);
            tracing::debug!(
                id = job_id,
                from,
                ?relevance,
                "forwarding a callback: its stream is unknown here"
            );
            return relay.forward(body, relevance);
        }
        self.handle_callback(job_id, from, event, report);
    }

    /// Passes the result of a health check, or an equivalent report, to the decision logic.
    pub(super) fn report_health(&mut self, host: HostId, ok: bool, report: LoadReport) {
        let event = Event::HealthCheckEnded { worker: host.worker, ok, report };
        self.fleets[host.fleet].events.push(event);
    }
}

/// Logs how long a list has waited in the queue.
fn log_list_application(hosts: &[ListedHost], received_at: Micros) {
    if !hosts.is_empty() {
        let waited_ms = (clock::now() - received_at) / 1000;
        tracing::debug!(entries = hosts.len(), waited_ms, "endpoint list applied");
    }
}
