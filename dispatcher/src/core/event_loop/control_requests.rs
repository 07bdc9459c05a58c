//! Control requests to upstream hosts: health probes, withdrawals of cancelled attempts, and connections opened ahead.

use super::*;

/// How long a control request may take.
const CONTROL_TIMEOUT: Micros = 250_000;
/// A withdrawal that found no connection is tried again after so long; one that did not reach its host, which may be
/// down or full, after [`CONTROL_TIMEOUT`].
const RETRY: Micros = 20_000;
/// Most withdrawals that wait to be sent again; one more is dropped.
const MAX_UNSENT: usize = 1024;

/// A withdrawal that is to be sent again.
pub(super) struct UnsentWithdrawal {
    pub(super) due: Micros,
    fleet: FleetId,
    host: WorkerId,
    ask: RequestKind,
    /// The attempt that ends with it.
    withdraws: Option<UpstreamId>,
}

impl Core {
    /// Cancels an attempt whose stream lives on. It ends when the host has answered the withdrawal, since the next
    /// attempt might arrive before that: one that the host has yet to take is withdrawn when it has.
    pub(super) fn cancel_attempt(&mut self, id: UpstreamId) {
        let Some(up) = self.upstreams.get_mut(&id).filter(|u| !u.ended && !u.quit) else { return };
        if up.waits {
            return self.leave_dial_queue(id);
        }
        if up.link.as_ref().is_some_and(|l| l.is_inbound()) {
            return self.give_up(id, Outcome::Cancelled);
        }
        up.quit = true;
        if up.taken {
            self.withdraw(id);
        }
    }

    /// Withdraws an attempt that was sent.
    pub(super) fn withdraw(&mut self, id: UpstreamId) {
        let Some((fleet, host, ask)) = self.withdrawal(id) else { return };
        self.send_control(fleet, host, ask, Some(Need::Control), Some(id));
    }

    fn withdrawal(&self, id: UpstreamId) -> Option<(FleetId, WorkerId, RequestKind)> {
        let up = self.upstreams.get(&id).filter(|u| !u.ended)?;
        Some((up.fleet, up.host, RequestKind::Withdraw(self.streams.get(&up.stream)?.payload.clone())))
    }

    /// The connection of a control request has ended. If that was the withdrawal of an attempt, its host has not heard of
    /// it: it is sent again, and until it arrives the attempt counts as out.
    pub(super) fn retry_withdrawal(&mut self, control: UpstreamId) {
        let ended = self.upstreams.get_mut(&control).filter(|u| u.link.is_none());
        let Some(id) = ended.and_then(|u| u.withdraws.take()) else { return };
        if let Some((fleet, host, ask)) = self.withdrawal(id) {
            self.queue_withdrawal(UnsentWithdrawal {
                due: clock::now() + CONTROL_TIMEOUT,
                fleet,
                host,
                ask,
                withdraws: Some(id),
            });
        }
    }

    fn queue_withdrawal(&mut self, unsent: UnsentWithdrawal) {
        if self.unsent.len() < MAX_UNSENT {
            let at = self.unsent.partition_point(|u| u.due <= unsent.due);
            self.unsent.insert(at, unsent);
        } else {
            tracing::warn!("more than {MAX_UNSENT} withdrawals wait: one is dropped");
        }
    }

    /// A health probe had no answer.
    pub(super) fn probe_failed(&mut self, fleet: FleetId, worker: WorkerId) {
        let gauge = LoadReport::default();
        self.fleets[fleet].events.push(Event::HealthCheckEnded { worker, ok: false, report: gauge });
    }

    /// Sends a control request; without a need that tells which kept connection will do, on a new one.
    pub(super) fn send_control(
        &mut self,
        fleet: FleetId,
        host: WorkerId,
        ask: RequestKind,
        need: Option<Need>,
        withdraws: Option<UpstreamId>,
    ) {
        let now = clock::now();
        let control = Some(ask.clone());
        let up = Upstream { taken: true, ended: true, control, withdraws, ..Upstream::new(fleet, host) };
        if self.launch(up, ask.clone(), now + CONTROL_TIMEOUT, need) {
            return;
        }
        if matches!(ask, RequestKind::HealthCheck) {
            self.probe_failed(fleet, host);
        } else if matches!(ask, RequestKind::Preconnect) {
            self.preconnected(fleet, host, false);
        } else {
            self.queue_withdrawal(UnsentWithdrawal { due: now + RETRY, fleet, host, ask, withdraws });
        }
    }

    /// Sends again withdrawals that have not arrived.
    pub(super) fn send_unsent_withdrawals(&mut self, now: Micros) {
        while self.unsent.front().is_some_and(|u| u.due <= now) {
            let Some(u) = self.unsent.pop_front() else { return };
            // One that ends no attempt goes to no host that is gone; an attempt that is out may still run there.
            let listed =
                self.fleets[u.fleet].hosts.get(&u.host).is_some_and(|h| h.entry.state != EndpointState::Gone);
            if u.withdraws.map_or(listed, |id| self.upstreams.get(&id).is_some_and(|a| !a.ended)) {
                self.send_control(u.fleet, u.host, u.ask, Some(Need::Control), u.withdraws);
            }
        }
    }
}
