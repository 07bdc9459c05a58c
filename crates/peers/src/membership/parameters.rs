//! The protocol's periods, timeouts and fan-outs.

use crate::codec::{ENVELOPE_BYTES, MAX_DATAGRAM};
use crate::{Micros, SECOND};
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// How often each member probes one other member.
pub(super) const PROBE_PERIOD: Micros = SECOND * 3 / 10;
/// After this long without an acknowledgement, other members are asked to probe.
pub(super) const PROBE_TIMEOUT: Micros = SECOND / 10;
/// How many other members are asked for an indirect probe.
pub(super) const INDIRECT_PROBES: usize = 4;
/// The suspicion timeout: in good local health, and the longest.
pub(super) const SUSPICION_RANGE: [Micros; 2] = [SECOND * 3 / 5, 20 * SECOND];
/// Before a suspect counts as down at a member, that member probes it once more and waits so long for a message.
pub(super) const LAST_CALL_TIMEOUT: Micros = SECOND / 5;
/// The interval of gossip about state changes.
pub(super) const GOSSIP_PERIOD: Micros = SECOND * 3 / 20;
/// The number of members that receive gossip.
pub(super) const GOSSIP_FANOUT: usize = 3;
/// How often one state change is transmitted.
pub(super) const MAX_TRANSMISSIONS: u8 = 10;
/// The interval of announcements to members that are down: a partition may have healed.
pub(super) const ANNOUNCE_TO_DOWN_PERIOD: Micros = 2 * SECOND;
/// The number of members that are down that receive such an announcement.
pub(super) const ANNOUNCE_TO_DOWN_FANOUT: usize = 3;
/// How long members that are down are stored.
pub(super) const FORGET_DOWN_AFTER: Duration = Duration::from_secs(24 * 3600);
/// A timer that fires later than this shows that the process was stalled.
pub(super) const STALL_THRESHOLD: Micros = SECOND / 10;
/// Weight of the latest period in the moving average of probe loss.
pub(super) const LOSS_WEIGHT: f64 = 0.15;
/// The interval of updates of local health.
pub(super) const HEALTH_PERIOD: Micros = SECOND / 2;
/// How many times longer, at most, the suspicion timeout gets by packet loss.
pub(super) const SUSPICION_STRETCH: f64 = 12.0;
/// Probe loss that is assumed before any probe was counted.
pub(super) const INITIAL_LOSS: f64 = 0.3;
/// A probe's packets are sent once, twice, three times from these shares of packet loss on.
pub(super) const COPIES_FROM_LOSS: [f64; 3] = [0.0, 0.04, 0.15];
/// How long a stall lengthens the suspicion timeout.
pub(super) const STALL_COUNTS_FOR: Micros = 10 * SECOND;
/// The first backoff of contacts of seeds; it doubles each time.
pub(super) const MIN_SEED_BACKOFF: Micros = SECOND / 4;
/// The longest backoff of contacts of seeds.
pub(super) const MAX_SEED_BACKOFF: Micros = 8 * SECOND;
/// The limit of the members that one datagram can name.
pub(super) const MAX_NAMED: usize = 64;

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros as u64)
}

/// foca's settings under a suspicion timeout.
pub(super) fn foca_config(suspicion_timeout: Micros) -> Config {
    let some = |n| NonZeroUsize::new(n).expect("the constants are not 0");
    let periodic = |every, n| Some(PeriodicParams { frequency: duration(every), num_members: some(n) });
    Config {
        probe_period: duration(PROBE_PERIOD),
        probe_rtt: duration(PROBE_TIMEOUT),
        num_indirect_probes: some(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).expect("not 0"),
        suspect_to_down_after: duration(suspicion_timeout),
        remove_down_after: Some(FORGET_DOWN_AFTER),
        max_packet_size: some(MAX_DATAGRAM - ENVELOPE_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(30 * SECOND, 1),
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DOWN_PERIOD, ANNOUNCE_TO_DOWN_FANOUT),
        periodic_gossip: periodic(GOSSIP_PERIOD, GOSSIP_FANOUT),
    }
}
