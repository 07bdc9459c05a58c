//! Local health (Lifeguard): the reliability of this member's own suspicions, estimated from probe loss and stalls.

use super::Membership;
use super::parameters::*;
use crate::Micros;
use std::sync::atomic::Ordering;

/// Estimates of how reliably this member exchanges packets with the others.
pub(super) struct LocalHealth {
    /// Moving average of the fraction of probes without an acknowledgement.
    pub probe_loss: f64,
    /// The one-way loss rate of single packets, derived from `probe_loss`.
    pub packet_loss: f64,
    /// The number of copies that are sent of each probe packet.
    pub probe_copies: usize,
    /// When these estimates were last updated.
    pub updated_at: Micros,
    /// The total number of probes sent as of the last update.
    pub counted_pings: u32,
    /// The total number of acknowledgements received as of the last update.
    pub counted_acks: u32,
    /// How long a suspect has to refute before it is declared down.
    pub suspicion_timeout: Micros,
}

impl LocalHealth {
    pub fn new(now: Micros) -> LocalHealth {
        LocalHealth {
            probe_loss: INITIAL_PROBE_LOSS,
            packet_loss: INITIAL_PROBE_LOSS,
            probe_copies: PROBE_COPY_LOSS_THRESHOLDS.len(),
            updated_at: now,
            counted_pings: 0,
            counted_acks: 0,
            suspicion_timeout: SUSPICION_TIMEOUT_RANGE[0],
        }
    }

    /// Adds the probes since the last update, given the total numbers of probes sent and acknowledged.
    fn count_probes(&mut self, pings: u32, acks: u32) {
        let sent = pings.wrapping_sub(self.counted_pings);
        let acknowledged = acks.wrapping_sub(self.counted_acks);
        if sent == 0 {
            return;
        }
        self.counted_pings = pings;
        self.counted_acks = acks;
        let loss = 1.0 - (f64::from(acknowledged) / f64::from(sent)).min(1.0);
        self.probe_loss += PROBE_LOSS_WEIGHT * (loss - self.probe_loss);
        // A probe succeeds if both the ping and its acknowledgement arrive; each is lost only if all of its copies
        // are lost.
        let one_way_loss = 1.0 - (1.0 - self.probe_loss).max(0.0).sqrt();
        self.packet_loss = one_way_loss.powf(1.0 / self.probe_copies as f64);
        self.probe_copies =
            PROBE_COPY_LOSS_THRESHOLDS.iter().filter(|threshold| self.packet_loss >= **threshold).count();
    }

    /// Returns the suspicion timeout for these estimates and a recent stall of this length.
    fn target_suspicion_timeout(&self, stall: Micros) -> Micros {
        let loss = self.packet_loss.max(self.probe_loss);
        let target = (SUSPICION_TIMEOUT_RANGE[0] as f64 * (1.0 + SUSPICION_TIMEOUT_LOSS_FACTOR * loss))
            as Micros
            + 2 * stall;
        target.clamp(SUSPICION_TIMEOUT_RANGE[0], SUSPICION_TIMEOUT_RANGE[1])
    }
}

impl Membership {
    /// Adds the probes and stalls since the last update, and adjusts the suspicion timeout if it deviates by more
    /// than 10%.
    pub(super) fn update_local_health(&mut self, now: Micros) {
        let stall = self.recent_stall(now);
        let health = &mut self.health;
        if now - health.updated_at < HEALTH_UPDATE_PERIOD {
            return;
        }
        health.updated_at = now;
        health.count_probes(
            self.observed.pings.load(Ordering::Relaxed),
            self.observed.acks.load(Ordering::Relaxed),
        );
        let target = health.target_suspicion_timeout(stall);
        if (target - health.suspicion_timeout).abs() * 10 > health.suspicion_timeout
            && self.foca.set_config(foca_config(target)).is_ok()
        {
            health.suspicion_timeout = target;
        }
    }
}
