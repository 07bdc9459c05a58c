//! Control requests to upstream hosts: health checks, withdrawals of cancelled attempts, and connections that are
//! opened in advance.

use super::Core;
use super::fleets::HostId;
use super::unsent_withdrawals::UnsentWithdrawal;
use super::upstream_requests::PendingRequest;
use crate::core::pool::ConnectionUse;
use crate::core::{RequestKind, UpstreamId, clock};
use roselock::{LoadReport, Micros, Outcome};

/// Timeout of a control request, in microseconds. A withdrawal that did not reach its host, which may be down or at
/// capacity, is retried after the same time.
const CONTROL_TIMEOUT: Micros = 250_000;
/// How long after a withdrawal got no connection it is retried, in microseconds.
const NO_CONNECTION_RETRY_DELAY: Micros = 20_000;

impl Core {
    /// Cancels an attempt whose stream continues. The attempt ends only when the host has acknowledged the withdrawal,
    /// since the next attempt might otherwise reach a host before the withdrawal does. If the host has not accepted the
    /// attempt yet, the withdrawal is sent once it has.
    pub(super) fn cancel_attempt(&mut self, id: UpstreamId) {
        let Some(request) = self.upstreams.open_attempt_mut(id) else { return };
        if request.withdrawal_requested {
            return;
        }
        if request.in_dial_queue {
            return self.leave_dial_queue(id);
        }
        if request.is_on_inbound_connection() {
            return self.abandon_attempt(id, Outcome::Cancelled);
        }
        request.withdrawal_requested = true;
        if request.accepted {
            self.withdraw(id);
        }
    }

    /// Sends the withdrawal of an open attempt.
    pub(super) fn withdraw(&mut self, id: UpstreamId) {
        let Some((host, kind)) = self.withdrawal_request(id) else { return };
        self.send_control(host, kind, Some(ConnectionUse::Control), Some(id));
    }

    /// The withdrawal of an open attempt, and its host.
    fn withdrawal_request(&self, id: UpstreamId) -> Option<(HostId, RequestKind)> {
        let request = self.upstreams.open_attempt(id)?;
        let payload = self.streams.get(request.stream)?.payload.clone();
        Some((request.host, RequestKind::Withdraw(payload)))
    }

    /// Ends the attempt whose withdrawal the host has acknowledged.
    pub(super) fn end_withdrawn_attempt(&mut self, control_id: UpstreamId) {
        let withdraws = self.upstreams.get_mut(control_id).and_then(|request| request.withdraws.take());
        let Some(attempt) = withdraws else { return };
        self.mark_late_report_possible(attempt);
        self.end_attempt_without_report(attempt, Outcome::Cancelled);
        self.upstreams.remove_if_done(attempt);
    }

    /// Schedules a retry of a withdrawal whose connection was lost before the answer: the host may not have received
    /// it. Until a withdrawal is acknowledged, the attempt counts as in flight.
    pub(super) fn retry_withdrawal(&mut self, control_id: UpstreamId) {
        let Some(request) = self.upstreams.get_mut(control_id) else { return };
        if request.connection.is_some() {
            return;
        }
        let Some(attempt) = request.withdraws.take() else { return };
        let Some((host, kind)) = self.withdrawal_request(attempt) else { return };
        let due_at = clock::now() + CONTROL_TIMEOUT;
        self.unsent_withdrawals.push(UnsentWithdrawal { due_at, host, kind, withdraws: Some(attempt) });
    }

    /// Sends a control request on a pooled connection; without a `connection_use`, on a new one.
    pub(super) fn send_control(
        &mut self,
        host: HostId,
        kind: RequestKind,
        connection_use: Option<ConnectionUse>,
        withdraws: Option<UpstreamId>,
    ) {
        let now = clock::now();
        let pending = PendingRequest::control(host, kind.clone(), withdraws);
        let started = self.start_request(pending, kind.clone(), now + CONTROL_TIMEOUT, connection_use);
        if started.is_some() {
            return;
        }
        match kind {
            RequestKind::HealthCheck => self.report_health(host, false, LoadReport::default()),
            RequestKind::Preconnect => self.finish_preconnect(host, false),
            RequestKind::Run(_) | RequestKind::Withdraw(_) => {
                let due_at = now + NO_CONNECTION_RETRY_DELAY;
                self.unsent_withdrawals.push(UnsentWithdrawal { due_at, host, kind, withdraws });
            }
        }
    }
}
