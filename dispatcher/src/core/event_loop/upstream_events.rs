//! Handling of events of upstream requests: those on their connections, and callbacks of their hosts.

use super::Core;
use super::fleets::HostId;
use crate::core::pool::{ConnectionUse, REUSE_DELAY_AFTER_ANSWER};
use crate::core::{
    CallbackEvent, ConnectionState, OutputKind, RequestKind, UpstreamEvent, UpstreamId, clock,
};
use roselock::{AttemptUpdate, LoadReport, Micros, Outcome};

impl Core {
    /// Handles an event of an upstream request, and the state of its connection after the event.
    pub(super) fn handle_upstream_event(
        &mut self,
        id: UpstreamId,
        event: UpstreamEvent,
        state: ConnectionState,
    ) {
        self.withdraw_abandoned(id, &event);
        let Some(request) = self.upstreams.get_mut(id) else { return };
        let host = request.host;
        let is_preconnect = request.is_preconnect();
        let reused_idle = request.reused_idle.take_if(|_| state != ConnectionState::Busy);
        match reused_idle {
            Some(idle) => self.record_reuse(host, idle, &event),
            None => self.record_dial_accepted(host, &event),
        }
        self.update_connection(id, &event, state);
        if is_preconnect {
            self.finish_preconnect(host, matches!(event, UpstreamEvent::ConnectionLost));
        }
        if state == ConnectionState::Free {
            self.assign_idle_connections(host);
        }
        self.apply_upstream_event(id, host, event, reused_idle.is_some());
        self.retry_withdrawal(id);
        self.end_lost_attempt(id);
        self.upstreams.remove_if_done(id);
    }

    /// Withdraws an attempt that its host accepted while it was being abandoned, so that the host stops running it.
    fn withdraw_abandoned(&mut self, id: UpstreamId, event: &UpstreamEvent) {
        let Some(abandoned) = self.upstreams.abandoned.remove(&id) else { return };
        if matches!(event, UpstreamEvent::Accepted) {
            let withdrawal = RequestKind::Withdraw(abandoned.payload);
            self.send_control(abandoned.host, withdrawal, Some(ConnectionUse::Control), None);
        }
    }

    /// Updates the idle timeout estimate with the result of reusing a connection that had been idle for `idle`.
    fn record_reuse(&mut self, host: HostId, idle: Micros, event: &UpstreamEvent) {
        let idle_timeout = &mut self.fleets[host.fleet].idle_timeout;
        match event {
            UpstreamEvent::Ended { outcome: Outcome::Reset, .. } | UpstreamEvent::ConnectionLost => {
                idle_timeout.record_failure(idle, clock::now());
            }
            UpstreamEvent::Accepted | UpstreamEvent::Ended { .. } | UpstreamEvent::HealthChecked { .. } => {
                idle_timeout.record_success(idle, clock::now());
            }
            _ => {}
        }
    }

    /// Records in the dial limiter of a host that it has accepted a new connection, if the event implies that.
    fn record_dial_accepted(&mut self, host: HostId, event: &UpstreamEvent) {
        let is_accepted = matches!(
            event,
            UpstreamEvent::Accepted
                | UpstreamEvent::HealthChecked { ok: true, .. }
                | UpstreamEvent::Withdrawn
        );
        if is_accepted && let Some(host) = self.fleets.host_mut(host) {
            host.dial_limiter.record_accepted();
        }
    }

    /// Releases the connection of a request if it has closed or become free. A free one returns to the pool of its
    /// host.
    fn update_connection(&mut self, id: UpstreamId, event: &UpstreamEvent, state: ConnectionState) {
        if state == ConnectionState::Busy {
            return;
        }
        let Some(request) = self.upstreams.get_mut(id) else { return };
        let Some(connection) = request.connection.take() else { return };
        if state == ConnectionState::Closed || connection.is_inbound() {
            return;
        }
        let Some(host) = self.fleets.host_mut(request.host).filter(|host| host.is_ready()) else { return };
        // A duplicate of the 202 response would not end an attempt, so no reuse delay is needed after it.
        let reuse_delay = if matches!(event, UpstreamEvent::Accepted) { 0 } else { REUSE_DELAY_AFTER_ANSWER };
        host.pool.put(connection, clock::now(), reuse_delay);
    }

    /// Applies an event to its attempt, health check or withdrawal.
    fn apply_upstream_event(&mut self, id: UpstreamId, host: HostId, event: UpstreamEvent, was_reused: bool) {
        match event {
            UpstreamEvent::Accepted => self.mark_accepted(id),
            UpstreamEvent::Started => {
                if let Some(request) = self.upstreams.get_mut(id) {
                    request.accepted = true;
                }
                self.report_progress(id, AttemptUpdate::Started);
            }
            UpstreamEvent::Progress(share) => self.report_progress(id, AttemptUpdate::Progress(share)),
            UpstreamEvent::Output { kind, bytes } => self.forward_output(id, kind, &bytes),
            UpstreamEvent::Ended { outcome, report, body } => {
                if outcome == Outcome::Reset {
                    self.mark_late_report_possible(id);
                }
                self.end_attempt(id, outcome, report, body);
            }
            UpstreamEvent::HealthChecked { ok, report } => self.report_health(host, ok, report),
            UpstreamEvent::Withdrawn => self.end_withdrawn_attempt(id),
            UpstreamEvent::ConnectionLost => self.handle_control_lost(id, host, was_reused),
            UpstreamEvent::ConnectionRejected { request_written } => {
                self.handle_connection_rejected(id, request_written);
            }
            UpstreamEvent::Ignored => {}
        }
    }

    /// Records that a host has accepted an attempt, and withdraws the attempt if it has been cancelled in the meantime.
    fn mark_accepted(&mut self, id: UpstreamId) {
        let Some(request) = self.upstreams.get_mut(id) else { return };
        request.accepted = true;
        if request.withdrawal_requested {
            self.withdraw(id);
        }
    }

    fn forward_output(&self, id: UpstreamId, kind: OutputKind, bytes: &[u8]) {
        let Some(request) = self.upstreams.open_attempt(id) else { return };
        if let Some(stream) = self.streams.get(request.stream) {
            stream.downstream.output(kind, bytes);
        }
    }

    /// Handles the loss of a control request's connection before the answer.
    fn handle_control_lost(&mut self, id: UpstreamId, host: HostId, was_reused: bool) {
        let Some(request) = self.upstreams.get_mut(id) else { return };
        let Some(kind) = request.control_kind.take() else { return };
        if was_reused {
            // A pooled connection may have been closed for being idle, so its loss does not indicate a failure of the
            // host. Retries on a new connection.
            let withdraws = request.withdraws.take();
            self.send_control(host, kind, None, withdraws);
        } else if matches!(kind, RequestKind::HealthCheck) {
            self.report_health(host, false, LoadReport::default());
        }
    }

    /// Ends an attempt whose connection was lost before the host had accepted it.
    fn end_lost_attempt(&mut self, id: UpstreamId) {
        let Some(request) = self.upstreams.open_attempt(id) else { return };
        if request.connection.is_none() && !request.accepted && !request.in_dial_queue {
            self.mark_late_report_possible(id);
            self.end_attempt_without_report(id, Outcome::Reset);
        }
    }

    /// Handles a callback of a host for a stream. Ignores callbacks from another host or a previous incarnation, for
    /// unknown streams, and for attempts that have ended.
    pub(super) fn handle_callback(
        &mut self,
        job_id: &str,
        from: &str,
        event: CallbackEvent,
        report: LoadReport,
    ) {
        let Some(id) = self.streams.get_by_job_id(job_id).and_then(|stream| stream.in_flight) else {
            tracing::debug!(id = job_id, from, "ignoring a callback: no attempt is in flight");
            return;
        };
        let Some(request) = self.upstreams.get(id) else { return };
        if self.fleets.host(request.host).is_none_or(|host| host.uid != from) {
            tracing::debug!(
                id = job_id,
                from,
                "ignoring a callback: the attempt in flight is at another host"
            );
            return;
        }
        match event {
            CallbackEvent::Started => self.report_progress(id, AttemptUpdate::Started),
            CallbackEvent::Progress(share) => self.report_progress(id, AttemptUpdate::Progress(share)),
            CallbackEvent::Ended(outcome, body) => {
                // The host repeats the callback until it receives a response, so it may arrive again.
                self.mark_late_report_possible(id);
                self.end_attempt(id, outcome, report, body);
            }
        }
        self.upstreams.remove_if_done(id);
    }
}
