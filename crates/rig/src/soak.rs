//! Random scenarios, generated from a seed: signals in series, workers that hang, restart and drain, a discovery service
//! with outages, link faults, and on some seeds idle clients. Clients use their open connections until a dispatcher is
//! killed.
//!
//! The order in which random numbers are drawn must not change: otherwise a seed would give another scenario.

use crate::links::{Fault, LinkFault, ParticipantGroup};
use crate::outage::{Failure, Outage};
use crate::scenario::{ClientBehaviour, Event, EventKind, Expectations, ListServiceProfile, Scenario};
use crate::worker_profile::WorkerProfile;
use oorandom::Rand64;

/// How long clients send requests, in seconds.
const DURATION_S: f64 = 14.0;
/// Delay from SIGTERM to SIGKILL, in seconds: the longest deadline, of which 3 s count, plus 0.7 s.
const KILL_DELAY_S: f64 = 3.7;
/// Delay from the kill of a process to its next start, in seconds.
const RESTART_DELAY_S: f64 = 0.3;
/// Idle connections to each dispatcher, on the seeds that have some.
const IDLE_CONNECTIONS: usize = 300;
/// Separates this random sequence from others with the same seed.
const SEED_SALT: u128 = 0x50a6;

/// The same for the scenarios under pressure.
const PRESSURE_SALT: u128 = 0x9e55;

/// The random number generator of a scenario.
struct ScenarioRng(Rand64);

impl ScenarioRng {
    /// A number in `from..to`.
    fn float_between(&mut self, from: f64, to: f64) -> f64 {
        from + self.0.rand_float() * (to - from)
    }

    /// An integer in `from..=to`.
    fn int_between(&mut self, from: usize, to: usize) -> usize {
        self.0.rand_range(from as u64..to as u64 + 1) as usize
    }

    /// True with a probability of 1 in `count`.
    fn one_in(&mut self, count: u64) -> bool {
        self.0.rand_range(0..count) == 0
    }
}

/// How long clients send requests under pressure, in seconds.
const PRESSURE_DURATION_S: f64 = 20.0;
/// Interval between two kills under pressure, in seconds.
const KILL_INTERVAL_S: f64 = 4.0;
/// Delay from such a kill to the next start, in seconds.
const START_AFTER_KILL_S: f64 = 1.0;
/// Most connections of greedy clients to each dispatcher.
const MAX_GREEDY_CONNECTIONS: usize = 60;

/// Generates a scenario with greedy clients, a crowd on some seeds, and a series of dispatchers that are killed one after the
/// other without notice. Workers, links and the discovery service are those of [`scenario`].
#[must_use]
pub fn pressure_scenario(seed: u64) -> Scenario {
    let base = scenario(seed);
    let mut rng = ScenarioRng(Rand64::new(u128::from(seed) ^ PRESSURE_SALT));
    let mut events: Vec<Event> =
        base.events.iter().filter(|event| !event.targets.is_of_dispatchers()).cloned().collect();
    let mut at_s = rng.float_between(2.0, 2.0 + KILL_INTERVAL_S);
    while at_s + START_AFTER_KILL_S < PRESSURE_DURATION_S {
        let targets = ParticipantGroup::dispatcher(rng.int_between(0, base.processes - 1));
        events.push(Event { at_s, targets: targets.clone(), kind: EventKind::Kill });
        events.push(Event { at_s: at_s + START_AFTER_KILL_S, targets, kind: EventKind::Start });
        at_s += KILL_INTERVAL_S;
    }
    let greedy_connections = rng.int_between(3, MAX_GREEDY_CONNECTIONS);
    Scenario {
        name: format!("pressure-{seed}"),
        seconds: PRESSURE_DURATION_S,
        clients: ClientBehaviour { greedy_connections, ..base.clients.clone() },
        events,
        ..base
    }
}

/// The same for the scenarios with drains.
const DRAIN_SALT: u128 = 0xd4a1;
/// How long clients send requests while workers drain, in seconds.
const DRAIN_DURATION_S: f64 = 24.0;
/// Workers that never drain.
const LASTING_WORKERS: usize = 2;

/// Generates a scenario with a series of drains, beside trouble of the discovery service: slow calls, outages, watches that end or
/// fall silent right before a drain. Signals, a crowd on some seeds and the faults of links are those of [`scenario`].
#[must_use]
pub fn drain_scenario(seed: u64) -> Scenario {
    let base = scenario(seed);
    let mut rng = ScenarioRng(Rand64::new(u128::from(seed) ^ DRAIN_SALT));
    let mut events: Vec<Event> =
        base.events.iter().filter(|event| event.targets.is_of_dispatchers()).cloned().collect();
    let mut cuts = base.cuts.clone();
    let mut list = draw_slow_list_service(&mut rng);
    for worker in 0..base.worker_count - LASTING_WORKERS {
        let at_s = rng.float_between(2.0, DRAIN_DURATION_S - 9.0);
        let targets = ParticipantGroup::workers(worker..worker + 1);
        events.push(Event { at_s, targets, kind: EventKind::Drain });
        let trouble_at_s = at_s - rng.float_between(0.0, 1.0);
        match rng.int_between(0, 3) {
            0 => events.push(Event {
                at_s: trouble_at_s,
                targets: ParticipantGroup::all_dispatchers(),
                kind: EventKind::EndWatches,
            }),
            1 => cuts.push(draw_silent_watches(&mut rng, trouble_at_s)),
            2 => list.outages.push(draw_outage_before(&mut rng, at_s)),
            _ => {}
        }
    }
    Scenario { name: format!("drain-{seed}"), seconds: DRAIN_DURATION_S, list, cuts, events, ..base }
}

/// The links from the discovery service fall silent for some time.
fn draw_silent_watches(rng: &mut ScenarioRng, from_s: f64) -> LinkFault {
    LinkFault {
        from_s,
        until_s: from_s + rng.float_between(0.5, 6.0),
        from: ParticipantGroup::list(),
        to: ParticipantGroup::all_dispatchers(),
        one_way: true,
        fault: Fault::Silent,
        late_ms: 0.0,
        jitter_ms: 0.0,
    }
}

/// An outage of the discovery service that ends around the time of a drain.
fn draw_outage_before(rng: &mut ScenarioRng, drain_at_s: f64) -> Outage {
    let until_s = drain_at_s + rng.float_between(-0.5, 1.0);
    let from_s = (until_s - rng.float_between(1.0, 14.0)).max(1.0);
    let failure = [Failure::Answer503, Failure::Reset, Failure::Silence][rng.int_between(0, 2)];
    Outage { from_s, until_s: until_s.max(from_s + 0.1), failure }
}

/// A discovery service whose calls take a while, but all of them less than a call may wait.
fn draw_slow_list_service(rng: &mut ScenarioRng) -> ListServiceProfile {
    let call_ms = if rng.one_in(2) { rng.float_between(50.0, 400.0) } else { 5.0 };
    ListServiceProfile { call_ms, ..ListServiceProfile::default() }
}

/// Generates the scenario of a seed.
#[must_use]
pub fn scenario(seed: u64) -> Scenario {
    let mut rng = ScenarioRng(Rand64::new(u128::from(seed) ^ SEED_SALT));
    let processes = rng.int_between(3, 4);
    let worker_count = rng.int_between(4, 7);
    let idle_connections = if rng.one_in(3) { IDLE_CONNECTIONS } else { 0 };
    let mut events = Vec::new();
    for number in 0..processes {
        draw_signals(&mut rng, number, &mut events);
    }
    for _ in 0..rng.int_between(1, 3) {
        draw_worker_event(&mut rng, worker_count, &mut events);
    }
    let mut cuts = Vec::new();
    for _ in 0..rng.int_between(1, 3) {
        cuts.push(draw_link_fault(&mut rng, worker_count));
    }
    let rate = rng.float_between(2.0, 6.0);
    let list = draw_list_service(&mut rng);
    let slots = rng.int_between(2, 4);
    let job_s = rng.float_between(0.1, 0.4);
    Scenario {
        name: format!("soak-{seed}"),
        about: "generated from a seed".into(),
        processes,
        worker_count,
        seconds: DURATION_S,
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
        expect: Expectations::default(),
    }
}

/// Adds a series of signals to one dispatcher, its kill as early as the platform allows, and its next start.
fn draw_signals(rng: &mut ScenarioRng, number: usize, events: &mut Vec<Event>) {
    let mut at_s = rng.float_between(2.0, 8.0);
    let mut add = |at_s: f64, kind: EventKind| {
        events.push(Event { at_s, targets: ParticipantGroup::dispatcher(number), kind });
    };
    for _ in 0..rng.int_between(0, 3) {
        let kind = if rng.one_in(4) { EventKind::Move } else { EventKind::Reload };
        add(at_s, kind);
        at_s += rng.float_between(0.0, 0.5);
    }
    if rng.one_in(4) {
        return;
    }
    add(at_s, EventKind::Term);
    for _ in 0..rng.int_between(0, 2) {
        let kind = if rng.one_in(2) { EventKind::Reload } else { EventKind::Term };
        add(at_s + rng.float_between(0.0, KILL_DELAY_S), kind);
    }
    add(at_s + KILL_DELAY_S, EventKind::Kill);
    add(at_s + KILL_DELAY_S + RESTART_DELAY_S, EventKind::Start);
}

/// Adds a worker that drains, moves to another address, or is killed and started again.
fn draw_worker_event(rng: &mut ScenarioRng, workers: usize, events: &mut Vec<Event>) {
    let worker = rng.int_between(0, workers - 2);
    let at_s = rng.float_between(2.0, 10.0);
    let mut add = |at_s: f64, kind: EventKind| {
        events.push(Event { at_s, targets: ParticipantGroup::workers(worker..worker + 1), kind });
    };
    match rng.int_between(0, 3) {
        0 => add(at_s, EventKind::Drain),
        1 => add(at_s, EventKind::Replace),
        _ => {
            add(at_s, EventKind::Kill);
            add(at_s + rng.float_between(0.2, 2.0), EventKind::Start);
        }
    }
}

/// A temporary fault of the links between all dispatchers and some workers.
fn draw_link_fault(rng: &mut ScenarioRng, workers: usize) -> LinkFault {
    let from_s = rng.float_between(1.0, 10.0);
    let affected_workers = rng.int_between(1, workers / 2);
    let fault = [Fault::Silent, Fault::Reset, Fault::Late][rng.int_between(0, 2)];
    let late_ms = if fault == Fault::Late { rng.float_between(20.0, 300.0) } else { 0.0 };
    let until_s = from_s + rng.float_between(0.5, 5.0);
    let one_way = rng.one_in(3);
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

fn draw_list_service(rng: &mut ScenarioRng) -> ListServiceProfile {
    let mut outages = Vec::new();
    if rng.one_in(2) {
        let from_s = rng.float_between(2.0, 9.0);
        let failure = [Failure::Answer503, Failure::Reset, Failure::Silence][rng.int_between(0, 2)];
        let until_s = from_s + rng.float_between(0.5, 6.0);
        outages.push(Outage { from_s, until_s, failure });
    }
    ListServiceProfile { outages, ..ListServiceProfile::default() }
}
