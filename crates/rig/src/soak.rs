//! Runs that are drawn from a seed: signals in series, workers that hang, restart and drain, a list service with outages,
//! faults of links, and on some seeds idle clients. Clients use the connections that they have until the kill.
//!
//! The order of the draws is part of a seed's meaning: with another one it would be another run.

use crate::links::{Fault, LinkFault, ParticipantGroup};
use crate::outage::{Failure, Outage};
use crate::scenario::{ClientBehaviour, Event, EventKind, Expect, ListServiceProfile, Scenario};
use crate::worker_profile::WorkerProfile;
use oorandom::Rand64;

/// How long clients send requests, in seconds.
const SECONDS: f64 = 14.0;
/// From SIGTERM to SIGKILL, in seconds: the longest deadline, of which 3 s count, and 0.7 s.
const KILL_AFTER_S: f64 = 3.7;
/// From the kill of a process to its next start, in seconds.
const START_AFTER_S: f64 = 0.3;
/// Idle connections at each dispatcher, on the seeds that have some.
const IDLE_CONNECTIONS: usize = 300;
/// Distinguishes these draws from others of the same seed.
const SEED_SALT: u128 = 0x50a6;

/// The source of what is drawn.
struct Draw(Rand64);

impl Draw {
    /// A number between two, the latter one excluded.
    fn between(&mut self, from: f64, to: f64) -> f64 {
        from + self.0.rand_float() * (to - from)
    }

    /// A whole number between two, the latter one included.
    fn number(&mut self, from: usize, to: usize) -> usize {
        self.0.rand_range(from as u64..to as u64 + 1) as usize
    }

    /// True in one of `count` cases.
    fn one_in(&mut self, count: u64) -> bool {
        self.0.rand_range(0..count) == 0
    }
}

/// The scenario of a seed.
#[must_use]
pub fn scenario(seed: u64) -> Scenario {
    let mut draw = Draw(Rand64::new(u128::from(seed) ^ SEED_SALT));
    let processes = draw.number(3, 4);
    let worker_count = draw.number(4, 7);
    let idle_connections = if draw.one_in(3) { IDLE_CONNECTIONS } else { 0 };
    let mut events = Vec::new();
    for number in 0..processes {
        draw_signals(&mut draw, number, &mut events);
    }
    for _ in 0..draw.number(1, 3) {
        draw_worker_event(&mut draw, worker_count, &mut events);
    }
    let mut cuts = Vec::new();
    for _ in 0..draw.number(1, 3) {
        cuts.push(draw_link_fault(&mut draw, worker_count));
    }
    let rate = draw.between(2.0, 6.0);
    let list = draw_list_service(&mut draw);
    let slots = draw.number(2, 4);
    let job_s = draw.between(0.1, 0.4);
    Scenario {
        name: format!("soak-{seed}"),
        about: "drawn from a seed".into(),
        processes,
        worker_count,
        seconds: SECONDS,
        rate,
        unsafe_share: 0.5,
        fleet_size_ratio: 1.0,
        start_spread_s: 0.0,
        workers_start_cold: false,
        starts_with_list: true,
        list,
        workers: WorkerProfile { slots, job_s, ..WorkerProfile::default() },
        clients: ClientBehaviour { idle_connections, ..ClientBehaviour::default() },
        cuts,
        events,
        operator_settings: None,
        expect: Expect::default(),
    }
}

/// Signals in series at one dispatcher, its kill as early as the platform allows, and its next start.
fn draw_signals(draw: &mut Draw, number: usize, events: &mut Vec<Event>) {
    let mut at_s = draw.between(2.0, 8.0);
    let mut add = |at_s: f64, kind: EventKind| {
        events.push(Event { at_s, targets: ParticipantGroup::dispatcher(number), kind });
    };
    for _ in 0..draw.number(0, 3) {
        let kind = if draw.one_in(4) { EventKind::Move } else { EventKind::Reload };
        add(at_s, kind);
        at_s += draw.between(0.0, 0.5);
    }
    if draw.one_in(4) {
        return;
    }
    add(at_s, EventKind::Term);
    for _ in 0..draw.number(0, 2) {
        let kind = if draw.one_in(2) { EventKind::Reload } else { EventKind::Term };
        add(at_s + draw.between(0.0, KILL_AFTER_S), kind);
    }
    add(at_s + KILL_AFTER_S, EventKind::Kill);
    add(at_s + KILL_AFTER_S + START_AFTER_S, EventKind::Start);
}

/// A worker that drains, moves to another address, or is killed and started again.
fn draw_worker_event(draw: &mut Draw, workers: usize, events: &mut Vec<Event>) {
    let worker = draw.number(0, workers - 2);
    let at_s = draw.between(2.0, 10.0);
    let mut add = |at_s: f64, kind: EventKind| {
        events.push(Event { at_s, targets: ParticipantGroup::workers(worker..worker + 1), kind });
    };
    match draw.number(0, 3) {
        0 => add(at_s, EventKind::Drain),
        1 => add(at_s, EventKind::Replace),
        _ => {
            add(at_s, EventKind::Kill);
            add(at_s + draw.between(0.2, 2.0), EventKind::Start);
        }
    }
}

/// A fault for a while of the links between all dispatchers and some workers.
fn draw_link_fault(draw: &mut Draw, workers: usize) -> LinkFault {
    let from_s = draw.between(1.0, 10.0);
    let affected_workers = draw.number(1, workers / 2);
    let fault = [Fault::Silent, Fault::Reset, Fault::Late][draw.number(0, 2)];
    let late_ms = if fault == Fault::Late { draw.between(20.0, 300.0) } else { 0.0 };
    let until_s = from_s + draw.between(0.5, 5.0);
    let one_way = draw.one_in(3);
    LinkFault {
        from_s,
        until_s,
        from: ParticipantGroup::all_dispatchers(),
        to: ParticipantGroup::workers(0..affected_workers),
        one_way,
        fault,
        late_ms,
        jitter_ms: late_ms / 2.0,
    }
}

fn draw_list_service(draw: &mut Draw) -> ListServiceProfile {
    let mut outages = Vec::new();
    if draw.one_in(2) {
        let from_s = draw.between(2.0, 9.0);
        let failure = [Failure::Answer503, Failure::Reset, Failure::Silence][draw.number(0, 2)];
        let until_s = from_s + draw.between(0.5, 6.0);
        outages.push(Outage { from_s, until_s, failure });
    }
    ListServiceProfile { outages, ..ListServiceProfile::default() }
}
