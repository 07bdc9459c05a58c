//! Runs that are drawn from a seed: signals in series, workers that hang, restart and drain, a list service that is out, late
//! and broken links, and now and then a crowd of idle clients. Clients use the connections that they have until the kill.

use crate::kind::Kind;
use crate::links::{Cut, Harm};
use crate::outage::{Failure, Outage};
use crate::scenario::{Clients, Event, Happens, Scenario, Service};
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
        workers_n: workers,
        seconds: SECONDS,
        rate: draw.between(2.0, 6.0),
        pay_share: 0.5,
        fleet_told: 1.0,
        start_over_s: 0.0,
        all_cold: false,
        known: true,
        list: service(&mut draw),
        workers: Kind { slots: draw.number(2, 4), run_s: draw.between(0.1, 0.4), ..Kind::default() },
        clients: Clients { crowd, ..Clients::default() },
        cuts,
        events,
        operator: None,
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
        events.push(Event { at_s, who: group(format!("dispatchers[{number}..{}]", number + 1)), what });
    };
    for _ in 0..draw.number(0, 3) {
        happens(at, if draw.one_in(4) { Happens::Move } else { Happens::Reload });
        at += draw.between(0.0, 0.5);
    }
    if draw.one_in(4) {
        return;
    }
    happens(at, Happens::Term);
    for _ in 0..draw.number(0, 2) {
        let again = if draw.one_in(2) { Happens::Reload } else { Happens::Term };
        happens(at + draw.between(0.0, KILL_AFTER), again);
    }
    happens(at + KILL_AFTER, Happens::Kill);
    happens(at + KILL_AFTER + START_AFTER, Happens::Start);
}

fn befall_worker(draw: &mut Draw, workers: usize, events: &mut Vec<Event>) {
    let (worker, at_s) = (draw.number(0, workers - 2), draw.between(2.0, 10.0));
    let who = || group(format!("workers[{worker}..{}]", worker + 1));
    match draw.number(0, 3) {
        0 => events.push(Event { at_s, who: who(), what: Happens::Drain }),
        1 => events.push(Event { at_s, who: who(), what: Happens::Replace }),
        _ => {
            events.push(Event { at_s, who: who(), what: Happens::Kill });
            events.push(Event { at_s: at_s + draw.between(0.2, 2.0), who: who(), what: Happens::Start });
        }
    }
}

/// Words between dispatchers and some workers that are lost, late or broken for a while.
fn cut(draw: &mut Draw, workers: usize) -> Cut {
    let from_s = draw.between(1.0, 10.0);
    let many = draw.number(1, workers / 2);
    let harm = [Harm::Silent, Harm::Reset, Harm::Late][draw.number(0, 2)];
    let late_ms = if harm == Harm::Late { draw.between(20.0, 300.0) } else { 0.0 };
    Cut {
        from_s,
        until_s: from_s + draw.between(0.5, 5.0),
        from: group("dispatchers".into()),
        to: group(format!("workers[0..{many}]")),
        one_way: draw.one_in(3),
        harm,
        late_ms,
        jitter_ms: late_ms / 2.0,
    }
}

fn service(draw: &mut Draw) -> Service {
    let mut outages = Vec::new();
    if draw.one_in(2) {
        let from_s = draw.between(2.0, 9.0);
        let failure = [Failure::Answer503, Failure::Reset, Failure::Silence][draw.number(0, 2)];
        outages.push(Outage { from_s, until_s: from_s + draw.between(0.5, 6.0), failure });
    }
    Service { outages, ..Service::default() }
}
