//! Runs that are drawn from a seed: signals in series, workers that hang, restart and drain, a list service that is out, late
//! and broken links, and now and then a crowd of idle clients. Clients use the connections that they have until the kill.

use crate::links::{Fault, LinkFault};
use crate::outage::{Failure, Outage};
use crate::scenario::{ClientBehaviour, Event, EventKind, ListServiceProfile, Scenario};
use crate::worker_profile::WorkerProfile;
use oorandom::Rand64;

/// How long clients come, in seconds.
const SECONDS: f64 = 14.0;
/// From SIGTERM to SIGKILL, in seconds: the longest deadline, of which 3 s count, and 0.7 s.
const KILL_AFTER: f64 = 3.7;
/// A process is started again so long after it was killed, in seconds.
const START_AFTER: f64 = 0.3;

/// What is drawn.
struct Draw(Rand64);

impl Draw {
    fn between(&mut self, from: f64, to: f64) -> f64 {
        from + self.0.rand_float() * (to - from)
    }
    fn number(&mut self, from: usize, to: usize) -> usize {
        self.0.rand_range(from as u64..to as u64 + 1) as usize
    }
    fn one_in(&mut self, n: u64) -> bool {
        self.0.rand_range(0..n) == 0
    }
}

/// The run of a seed.
pub fn scenario(seed: u64) -> Scenario {
    let mut draw = Draw(Rand64::new(u128::from(seed) ^ 0x50a6));
    let (processes, workers) = (draw.number(3, 4), draw.number(4, 7));
    let crowd = if draw.one_in(3) { 300 } else { 0 };
    let mut events = Vec::new();
    (0..processes).for_each(|number| restart(&mut draw, number, &mut events));
    (0..draw.number(1, 3)).for_each(|_| befall_worker(&mut draw, workers, &mut events));
    let cuts = (0..draw.number(1, 3)).map(|_| cut(&mut draw, workers)).collect();
    Scenario {
        name: format!("soak-{seed}"),
        about: "drawn from a seed".into(),
        processes,
        worker_count: workers,
        seconds: SECONDS,
        rate: draw.between(2.0, 6.0),
        unsafe_share: 0.5,
        fleet_size_ratio: 1.0,
        start_spread_s: 0.0,
        workers_start_cold: false,
        starts_with_list: true,
        list: service(&mut draw),
        workers: WorkerProfile {
            slots: draw.number(2, 4),
            job_s: draw.between(0.1, 0.4),
            ..WorkerProfile::default()
        },
        clients: ClientBehaviour { idle_connections: crowd, ..ClientBehaviour::default() },
        cuts,
        events,
        operator_settings: None,
        expect: Default::default(),
    }
}

fn group<T: TryFrom<String>>(text: String) -> T
where
    T::Error: std::fmt::Debug,
{
    T::try_from(text).expect("a group")
}

/// Signals in series at one dispatcher, the kill at the earliest moment that the page allows, and its next start.
fn restart(draw: &mut Draw, number: usize, events: &mut Vec<Event>) {
    let mut at = draw.between(2.0, 8.0);
    let mut happens = |at_s: f64, what| {
        events.push(Event {
            at_s,
            targets: group(format!("dispatchers[{number}..{}]", number + 1)),
            kind: what,
        });
    };
    for _ in 0..draw.number(0, 3) {
        happens(at, if draw.one_in(4) { EventKind::Move } else { EventKind::Reload });
        at += draw.between(0.0, 0.5);
    }
    if draw.one_in(4) {
        return;
    }
    happens(at, EventKind::Term);
    for _ in 0..draw.number(0, 2) {
        let again = if draw.one_in(2) { EventKind::Reload } else { EventKind::Term };
        happens(at + draw.between(0.0, KILL_AFTER), again);
    }
    happens(at + KILL_AFTER, EventKind::Kill);
    happens(at + KILL_AFTER + START_AFTER, EventKind::Start);
}

fn befall_worker(draw: &mut Draw, workers: usize, events: &mut Vec<Event>) {
    let (worker, at_s) = (draw.number(0, workers - 2), draw.between(2.0, 10.0));
    let who = || group(format!("workers[{worker}..{}]", worker + 1));
    match draw.number(0, 3) {
        0 => events.push(Event { at_s, targets: who(), kind: EventKind::Drain }),
        1 => events.push(Event { at_s, targets: who(), kind: EventKind::Replace }),
        _ => {
            events.push(Event { at_s, targets: who(), kind: EventKind::Kill });
            events.push(Event {
                at_s: at_s + draw.between(0.2, 2.0),
                targets: who(),
                kind: EventKind::Start,
            });
        }
    }
}

/// Words between dispatchers and some workers that are lost, late or broken for a while.
fn cut(draw: &mut Draw, workers: usize) -> LinkFault {
    let from_s = draw.between(1.0, 10.0);
    let many = draw.number(1, workers / 2);
    let harm = [Fault::Silent, Fault::Reset, Fault::Late][draw.number(0, 2)];
    let late_ms = if harm == Fault::Late { draw.between(20.0, 300.0) } else { 0.0 };
    LinkFault {
        from_s,
        until_s: from_s + draw.between(0.5, 5.0),
        from: group("dispatchers".into()),
        to: group(format!("workers[0..{many}]")),
        one_way: draw.one_in(3),
        fault: harm,
        late_ms,
        jitter_ms: late_ms / 2.0,
    }
}

fn service(draw: &mut Draw) -> ListServiceProfile {
    let mut outages = Vec::new();
    if draw.one_in(2) {
        let from_s = draw.between(2.0, 9.0);
        let failure = [Failure::Answer503, Failure::Reset, Failure::Silence][draw.number(0, 2)];
        outages.push(Outage { from_s, until_s: from_s + draw.between(0.5, 6.0), failure });
    }
    ListServiceProfile { outages, ..ListServiceProfile::default() }
}
