//! Upstream requests that are no attempts: probes, and withdrawals of attempts that are called off.

use super::*;

/// How long one may take.
const ERRAND: Micros = 250_000;
/// A withdrawal that found no connection is tried again after so long; one that did not reach its host, which may be
/// down or full, after as long as it may take. So many of them are kept; one more is dropped.
const RETRY: Micros = 20_000;
const UNSENT: usize = 1024;

/// A withdrawal to try again.
pub(super) struct Unsent {
    pub(super) due: Micros,
    fleet: FleetId,
    host: WorkerId,
    ask: Ask,
    /// The attempt that ends with it.
    withdraws: Option<UpstreamId>,
}

impl Core {
    /// Calls off an attempt whose stream lives on. It ends when the host has heard so and answered, since the next
    /// one might be there before: one that the host has yet to take is withdrawn when it has.
    pub(super) fn call_off(&mut self, id: UpstreamId) {
        let Some(up) = self.upstreams.get_mut(&id).filter(|u| !u.ended && !u.quit) else { return };
        if up.waits {
            return self.leave_dial_queue(id);
        }
        if up.link.as_ref().is_some_and(|l| l.resident()) {
            return self.give_up(id, Outcome::Cancelled);
        }
        up.quit = true;
        if up.taken {
            self.withdraw(id);
        }
    }

    /// Withdraws an attempt that is out.
    pub(super) fn withdraw(&mut self, id: UpstreamId) {
        let Some((fleet, host, ask)) = self.withdrawal(id) else { return };
        self.errand(fleet, host, ask, Some(Need::Errand), Some(id));
    }

    fn withdrawal(&self, id: UpstreamId) -> Option<(FleetId, WorkerId, Ask)> {
        let up = self.upstreams.get(&id).filter(|u| !u.ended)?;
        Some((up.fleet, up.host, Ask::Withdraw(self.streams.get(&up.stream)?.payload.clone())))
    }

    /// The connection under an errand has ended. If that was to end an attempt, its host has not heard of it: until it
    /// has, the attempt counts as out.
    pub(super) fn withdraw_later(&mut self, errand: UpstreamId) {
        let ended = self.upstreams.get_mut(&errand).filter(|u| u.link.is_none());
        let Some(id) = ended.and_then(|u| u.withdraws.take()) else { return };
        if let Some((fleet, host, ask)) = self.withdrawal(id) {
            self.keep(Unsent { due: clock::now() + ERRAND, fleet, host, ask, withdraws: Some(id) });
        }
    }

    fn keep(&mut self, unsent: Unsent) {
        if self.unsent.len() < UNSENT {
            let at = self.unsent.partition_point(|u| u.due <= unsent.due);
            self.unsent.insert(at, unsent);
        } else {
            tracing::warn!("more than {UNSENT} withdrawals wait: one is dropped");
        }
    }

    /// A probe had no answer.
    pub(super) fn unanswered(&mut self, fleet: FleetId, worker: WorkerId) {
        let gauge = Gauge::default();
        self.fleets[fleet].events.push(Event::Health { worker, ok: false, gauge });
    }

    /// Sends an upstream request that is not an attempt; without a need for a kept connection, on a new one.
    pub(super) fn errand(
        &mut self,
        fleet: FleetId,
        host: WorkerId,
        ask: Ask,
        need: Option<Need>,
        withdraws: Option<UpstreamId>,
    ) {
        let now = clock::now();
        let errand = Some(ask.clone());
        let up = Upstream { taken: true, ended: true, errand, withdraws, ..Upstream::new(fleet, host) };
        if self.launch(up, ask.clone(), now + ERRAND, need) {
            return;
        }
        if matches!(ask, Ask::Probe) {
            self.unanswered(fleet, host);
        } else if matches!(ask, Ask::Preconnect) {
            self.preconnected(fleet, host, false);
        } else {
            self.keep(Unsent { due: now + RETRY, fleet, host, ask, withdraws });
        }
    }

    /// Sends withdrawals that have not arrived.
    pub(super) fn withdraw_again(&mut self, now: Micros) {
        while self.unsent.front().is_some_and(|u| u.due <= now) {
            let Some(u) = self.unsent.pop_front() else { return };
            // What nobody waits for goes to no host that is gone; an attempt that is out may still run there.
            let listed =
                self.fleets[u.fleet].hosts.get(&u.host).is_some_and(|h| h.entry.state != Listed::Gone);
            if u.withdraws.map_or(listed, |id| self.upstreams.get(&id).is_some_and(|a| !a.ended)) {
                self.errand(u.fleet, u.host, u.ask, Some(Need::Errand), u.withdraws);
            }
        }
    }
}
