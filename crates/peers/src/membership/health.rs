//! Local health (Lifeguard): how reliable this member's own suspicions are, by its probes and its stalls.

use super::Membership;
use super::parameters::*;
use crate::Micros;
use std::sync::atomic::Ordering;

/// How reliably this member receives packets of the others.
pub(super) struct LocalHealth {
    /// Moving average of the fraction of probes without an acknowledgement.
    pub probe_loss: f64,
    /// The fraction of single packets that are lost one way, derived from `probe_loss`.
    pub packet_loss: f64,
    /// How many copies of a probe's packets are sent.
    pub probe_copies: usize,
    /// When these figures were last updated.
    pub checked_at: Micros,
    /// The total of probes sent that these figures include.
    pub counted_pings: u32,
    /// The total of acknowledgements that these figures include.
    pub counted_acks: u32,
    /// How long a suspect has to refute before it is down.
    pub suspicion_timeout: Micros,
}

impl LocalHealth {
    pub fn new(now: Micros) -> LocalHealth {
        LocalHealth {
            probe_loss: INITIAL_LOSS,
            packet_loss: INITIAL_LOSS,
            probe_copies: COPIES_FROM_LOSS.len(),
            checked_at: now,
            counted_pings: 0,
            counted_acks: 0,
            suspicion_timeout: SUSPICION_RANGE[0],
        }
    }

    /// Adds the probes since the last update, by the totals of probes sent and acknowledged.
    fn count_probes(&mut self, pings: u32, acks: u32) {
        let sent = pings.wrapping_sub(self.counted_pings);
        let acknowledged = acks.wrapping_sub(self.counted_acks);
        if sent == 0 {
            return;
        }
        self.counted_pings = pings;
        self.counted_acks = acks;
        let loss = 1.0 - (f64::from(acknowledged) / f64::from(sent)).min(1.0);
        self.probe_loss += LOSS_WEIGHT * (loss - self.probe_loss);
        // A probe and its acknowledgement are two ways, and a way is lost with all of its copies.
        let one_way_loss = 1.0 - (1.0 - self.probe_loss).max(0.0).sqrt();
        self.packet_loss = one_way_loss.powf(1.0 / self.probe_copies as f64);
        self.probe_copies = COPIES_FROM_LOSS.iter().filter(|from| self.packet_loss >= **from).count();
    }

    /// The suspicion timeout for these figures and a recent stall of this length.
    fn wanted_suspicion_timeout(&self, stall: Micros) -> Micros {
        let loss = self.packet_loss.max(self.probe_loss);
        let wanted = (SUSPICION_RANGE[0] as f64 * (1.0 + SUSPICION_STRETCH * loss)) as Micros + 2 * stall;
        wanted.clamp(SUSPICION_RANGE[0], SUSPICION_RANGE[1])
    }
}

impl Membership {
    /// Adds the probes and stalls since the last update, and sets the suspicion timeout by them.
    pub(super) fn update_local_health(&mut self, now: Micros) {
        let stall = self.recent_stall(now);
        let health = &mut self.health;
        if now - health.checked_at < HEALTH_PERIOD {
            return;
        }
        health.checked_at = now;
        health.count_probes(
            self.observed.pings.load(Ordering::Relaxed),
            self.observed.acks.load(Ordering::Relaxed),
        );
        let wanted = health.wanted_suspicion_timeout(stall);
        if (wanted - health.suspicion_timeout).abs() * 10 > health.suspicion_timeout
            && self.foca.set_config(foca_config(wanted)).is_ok()
        {
            health.suspicion_timeout = wanted;
        }
    }
}
