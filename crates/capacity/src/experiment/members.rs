//! Members of `crates/peers`: the traffic of each by the number of members, and the cost of a change and of a fetch by the
//! number of workers.

use super::{Experiment, MOST_WORKERS, WORKERS};
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::meter::measure;
use crate::simulated_members::{Members, Traffic};
use crate::site::TARGET_WORKERS;
use crate::{Micros, SECOND};

/// Members in the experiment by the number of workers.
const MEMBERS: u32 = 24;
/// By when all members must be connected; the steady state is measured from then on. By then the initial estimate of packet
/// loss, for which members send each probe up to three times, has decayed.
const JOINED: Micros = 15 * SECOND;
/// The measured interval in the steady state.
const STEADY: Micros = 3 * SECOND;
/// How long the propagation of a change is measured.
const PROPAGATION: Micros = SECOND;

/// By the number of members.
pub const EXPERIMENT: Experiment = Experiment {
    name: "members",
    about: "crates/peers: packets and bytes of a member, a change of one worker, 2,900 workers",
    size_is: "members",
    sizes: &[25, 50, 100, 200, 300],
    most: 2_000,
    play: play_members,
};

/// By the number of workers.
pub const JOIN: Experiment = Experiment {
    name: "members-list",
    about: "crates/peers: a change of one worker and the fetch of a member that joins, 24 members",
    size_is: "workers",
    sizes: WORKERS,
    most: MOST_WORKERS,
    play: play_list,
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

/// Members that are all connected and have the endpoint list.
fn connected_members(count: u32, workers: u32, seed: u64) -> Result<Members, CapacityError> {
    let mut members = Members::new(count, workers, seed);
    members.start_all();
    while members.list_delays().is_none() || !members.all_members_connected() {
        if members.now() > JOINED {
            return Err(CapacityError::NotReached { state: "members that all know all", by: members.now() });
        }
        members.run_until(members.now() + SECOND / 4);
    }
    members.run_until(members.now().max(JOINED));
    Ok(members)
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// Delays with which the members received the latest change, sorted.
fn notification_delays(members: &Members) -> Result<Vec<Micros>, CapacityError> {
    let state = "members that all know of a change";
    members.notification_delays().ok_or(CapacityError::NotReached { state, by: members.now() })
}

fn play_members(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let mut members = connected_members(size, TARGET_WORKERS, seed)?;
    let start = members.traffic();
    let list_delays = members.list_delays().unwrap_or_default();
    let before = members.traffic();
    let until = members.now() + STEADY;
    let ((), usage) = measure(|| members.run_until(until))?;
    let steady = traffic_between(before, members.traffic());
    members.drain_worker(0);
    let before = members.traffic();
    members.run_until(members.now() + PROPAGATION);
    let changed = traffic_between(before, members.traffic());
    let delays = notification_delays(&members)?;
    let each = |amount: u64, span: Micros| amount as f64 / f64::from(size) / seconds(span);
    let at = |share: f64| delays[((delays.len() - 1) as f64 * share) as usize] as f64 / 1_000.0;
    let last_list = list_delays.last().copied().unwrap_or(0);
    Ok(vec![
        Figure::counted("packets of a member", "packets/s", each(steady.packets, STEADY)),
        Figure::counted("bytes of a member", "bytes/s", each(steady.bytes, STEADY)),
        Figure::timed(
            "processor of a member",
            "us/s",
            usage.processor_us() / f64::from(size) / seconds(STEADY),
        ),
        Figure::counted(
            "bytes of a change, a member",
            "bytes",
            changed.change_bytes as f64 / f64::from(size),
        ),
        Figure::counted("change told p50", "ms", at(0.5)),
        Figure::counted("change told p99", "ms", at(0.99)),
        Figure::counted("change told last", "ms", at(1.0)),
        Figure::counted("exchange of all members", "bytes", start.largest_exchange as f64),
        Figure::counted("start: bytes of fetches, a member", "bytes", each(start.frame_bytes, SECOND)),
        Figure::counted("start: last list", "s", seconds(last_list)),
    ])
}

fn play_list(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let mut members = connected_members(MEMBERS, size, seed)?;
    members.drain_worker(0);
    let before = members.traffic();
    members.run_until(members.now() + PROPAGATION);
    let changed = traffic_between(before, members.traffic());
    notification_delays(&members)?;
    let before = members.traffic();
    members.start();
    members.run_until(members.now() + STEADY);
    let fetched = traffic_between(before, members.traffic());
    let change = changed.change_bytes as f64 / f64::from(MEMBERS);
    Ok(vec![
        Figure::counted("bytes of a change, a member", "bytes", change),
        Figure::counted("bytes sent to a member that joins", "bytes", fetched.frame_bytes as f64),
    ])
}
