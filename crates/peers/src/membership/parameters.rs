//! The periods, timeouts and fan-outs of the protocol.

use crate::codec::{ENVELOPE_BYTES, MAX_DATAGRAM_BYTES};
use crate::{Micros, SECOND};
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The interval at which each member probes one other member.
pub(super) const PROBE_PERIOD: Micros = SECOND * 3 / 10;
/// The time without an acknowledgement after which indirect probes through other members are requested.
pub(super) const PROBE_TIMEOUT: Micros = SECOND / 10;
/// The number of other members that send an indirect probe on request.
pub(super) const INDIRECT_PROBES: usize = 4;
/// The suspicion timeout: the minimum, used in good local health, and the maximum.
pub(super) const SUSPICION_TIMEOUT_RANGE: [Micros; 2] = [SECOND * 3 / 5, 20 * SECOND];
/// How long a member waits for a response to its final probe of a suspect before it declares the suspect down.
pub(super) const FINAL_PROBE_TIMEOUT: Micros = SECOND / 5;
/// The interval of gossip about state changes.
pub(super) const GOSSIP_PERIOD: Micros = SECOND * 3 / 20;
/// The number of members that gossip is sent to at a time.
pub(super) const GOSSIP_FANOUT: usize = 3;
/// The maximum number of transmissions of one state change.
pub(super) const MAX_TRANSMISSIONS: u8 = 10;
/// The interval of announcements to members that are down, through which a healed partition is detected.
pub(super) const ANNOUNCE_TO_DOWN_PERIOD: Micros = 2 * SECOND;
/// The number of down members that an announcement is sent to at a time.
pub(super) const ANNOUNCE_TO_DOWN_FANOUT: usize = 3;
/// How long down members remain stored.
pub(super) const DOWN_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// A timer that fires later than this indicates that the process was stalled.
pub(super) const STALL_THRESHOLD: Micros = SECOND / 10;
/// The weight of the latest period in the moving average of probe loss.
pub(super) const PROBE_LOSS_WEIGHT: f64 = 0.15;
/// The interval of updates of local health.
pub(super) const HEALTH_UPDATE_PERIOD: Micros = SECOND / 2;
/// The suspicion timeout grows linearly with the loss rate, by this multiple of its minimum at a loss rate of 1.
pub(super) const SUSPICION_TIMEOUT_LOSS_FACTOR: f64 = 12.0;
/// The loss rate that is assumed before any probe has been counted.
pub(super) const INITIAL_PROBE_LOSS: f64 = 0.3;
/// The packet loss rates from which probe packets are sent once, twice and three times.
pub(super) const PROBE_COPY_LOSS_THRESHOLDS: [f64; 3] = [0.0, 0.04, 0.15];
/// How long after its detection a stall extends the suspicion timeout.
pub(super) const RECENT_STALL_WINDOW: Micros = 10 * SECOND;
/// The initial backoff between announcements to seeds; it doubles each time.
pub(super) const MIN_SEED_BACKOFF: Micros = SECOND / 4;
/// The maximum backoff between announcements to seeds.
pub(super) const MAX_SEED_BACKOFF: Micros = 8 * SECOND;
/// The maximum number of members that one datagram is assumed to contain.
pub(super) const MAX_MEMBERS_PER_DATAGRAM: usize = 64;

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros as u64)
}

/// Returns foca's configuration with this suspicion timeout.
pub(super) fn foca_config(suspicion_timeout: Micros) -> Config {
    let non_zero = |n| NonZeroUsize::new(n).expect("the constants are not 0");
    let periodic = |every, n| Some(PeriodicParams { frequency: duration(every), num_members: non_zero(n) });
    Config {
        probe_period: duration(PROBE_PERIOD),
        probe_rtt: duration(PROBE_TIMEOUT),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).expect("MAX_TRANSMISSIONS is not 0"),
        suspect_to_down_after: duration(suspicion_timeout),
        remove_down_after: Some(DOWN_RETENTION),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES - ENVELOPE_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(30 * SECOND, 1),
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DOWN_PERIOD, ANNOUNCE_TO_DOWN_FANOUT),
        periodic_gossip: periodic(GOSSIP_PERIOD, GOSSIP_FANOUT),
    }
}
