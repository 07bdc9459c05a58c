//! The members of `crates/peers`: the traffic per member by the number of members, and the cost of a change and of a list
//! transfer by the number of workers.

use super::{Experiment, MAX_WORKERS, WORKER_COUNTS};
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::meter::measure;
use crate::simulated_members::{SimulatedMembers, Traffic};
use crate::site::TARGET_WORKERS;
use crate::{Micros, SECOND};

/// The number of members in the experiment by the number of workers.
const MEMBER_COUNT: u32 = 24;
/// The time by which all members must be connected, and from which on the steady state is measured. By then the initial
/// estimate of packet loss, for which members send each probe up to three times, has decayed.
const WARM_UP: Micros = 15 * SECOND;
/// The measured interval in the steady state.
const STEADY_STATE_INTERVAL: Micros = 3 * SECOND;
/// The interval in which the propagation of a change is measured.
const PROPAGATION_INTERVAL: Micros = SECOND;

/// The experiment `members`, by the number of members.
pub const EXPERIMENT: Experiment = Experiment {
    name: "members",
    description: "crates/peers: packets and bytes per member, a change of one worker, 2,900 workers",
    size_label: "members",
    sizes: &[25, 50, 100, 200, 300],
    max_size: 2_000,
    simulate: simulate_by_members,
};

/// The experiment `members-list`, by the number of workers.
pub const BY_WORKERS: Experiment = Experiment {
    name: "members-list",
    description: "crates/peers: a change of one worker, and the list transfer to a joining member, 24 members",
    size_label: "workers",
    sizes: WORKER_COUNTS,
    max_size: MAX_WORKERS,
    simulate: simulate_by_workers,
};

/// The traffic between two readings.
fn traffic_between(before: Traffic, after: Traffic) -> Traffic {
    Traffic {
        packets: after.packets - before.packets,
        bytes: after.bytes - before.bytes,
        change_bytes: after.change_bytes - before.change_bytes,
        frame_bytes: after.frame_bytes - before.frame_bytes,
        ..after
    }
}

/// Creates members that are all connected and have the endpoint list.
fn connected_members(count: u32, workers: u32, seed: u64) -> Result<SimulatedMembers, CapacityError> {
    let mut members = SimulatedMembers::new(count, workers, seed);
    members.start_all_members();
    while members.list_delays().is_none() || !members.all_members_connected() {
        if members.now() > WARM_UP {
            return Err(CapacityError::StateNotReached {
                state: "all members are connected",
                at: members.now(),
            });
        }
        members.run_until(members.now() + SECOND / 4);
    }
    members.run_until(members.now().max(WARM_UP));
    Ok(members)
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// The times until the members received the latest change, sorted.
fn notification_delays(members: &SimulatedMembers) -> Result<Vec<Micros>, CapacityError> {
    let state = "all members have received the change";
    members.notification_delays().ok_or(CapacityError::StateNotReached { state, at: members.now() })
}

fn simulate_by_members(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let mut members = connected_members(size, TARGET_WORKERS, seed)?;
    let startup = members.traffic();
    let list_delays = members.list_delays().unwrap_or_default();
    let before = members.traffic();
    let until = members.now() + STEADY_STATE_INTERVAL;
    let ((), usage) = measure(|| members.run_until(until))?;
    let steady_state = traffic_between(before, members.traffic());
    members.drain_worker(0);
    let before = members.traffic();
    members.run_until(members.now() + PROPAGATION_INTERVAL);
    let changed = traffic_between(before, members.traffic());
    let delays = notification_delays(&members)?;
    let per_member_per_second = |amount: u64, span: Micros| amount as f64 / f64::from(size) / seconds(span);
    let quantile_ms =
        |fraction: f64| delays[((delays.len() - 1) as f64 * fraction) as usize] as f64 / 1_000.0;
    let last_list = list_delays.last().copied().unwrap_or(0);
    Ok(vec![
        Figure::counted(
            "packets of a member",
            "packets/s",
            per_member_per_second(steady_state.packets, STEADY_STATE_INTERVAL),
        ),
        Figure::counted(
            "bytes of a member",
            "bytes/s",
            per_member_per_second(steady_state.bytes, STEADY_STATE_INTERVAL),
        ),
        Figure::timed(
            "processor of a member",
            "us/s",
            usage.processor_us() / f64::from(size) / seconds(STEADY_STATE_INTERVAL),
        ),
        Figure::counted(
            "bytes of a change, a member",
            "bytes",
            changed.change_bytes as f64 / f64::from(size),
        ),
        Figure::counted("change told p50", "ms", quantile_ms(0.5)),
        Figure::counted("change told p99", "ms", quantile_ms(0.99)),
        Figure::counted("change told last", "ms", quantile_ms(1.0)),
        Figure::counted("exchange of all members", "bytes", startup.max_exchange_bytes as f64),
        Figure::counted(
            "start: bytes of fetches, a member",
            "bytes",
            per_member_per_second(startup.frame_bytes, SECOND),
        ),
        Figure::counted("start: last list", "s", seconds(last_list)),
    ])
}

fn simulate_by_workers(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let mut members = connected_members(MEMBER_COUNT, size, seed)?;
    members.drain_worker(0);
    let before = members.traffic();
    members.run_until(members.now() + PROPAGATION_INTERVAL);
    let changed = traffic_between(before, members.traffic());
    notification_delays(&members)?;
    let before = members.traffic();
    members.start_member();
    members.run_until(members.now() + STEADY_STATE_INTERVAL);
    let fetched = traffic_between(before, members.traffic());
    let change = changed.change_bytes as f64 / f64::from(MEMBER_COUNT);
    Ok(vec![
        Figure::counted("bytes of a change, a member", "bytes", change),
        Figure::counted("bytes sent to a member that joins", "bytes", fetched.frame_bytes as f64),
    ])
}
