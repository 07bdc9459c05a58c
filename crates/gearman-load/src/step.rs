//! What a step of the decisions costs, without sockets.

use roselock::*;
use std::time::Instant;

/// Steps with workers that are busy, and one that becomes free and gets the next job each time.
pub fn step() {
    println!("## A step of the decisions\n");
    println!(
        "One job ends, one arrives, one is sent: a step, in µs, with as many jobs waiting as workers.\n"
    );
    println!("| workers | mean step, µs |");
    println!("| ---: | ---: |");
    for workers in [1, 8, 64, 256] {
        println!("| {workers} | {:.1} |", mean(workers) * 1e6);
    }
    println!();
}

fn mean(workers: u64) -> f64 {
    let class = Class {
        worth: 1.0,
        late_value: 0.0,
        promise: SECOND / 5,
        stretch: 2.0,
        give_up: 30 * SECOND,
        effect: Effect::Safe,
        streaming: false,
        kind: None,
    };
    let mut set = Settings::new(vec![class]);
    (set.tells_start, set.tick, set.limits.send_cap) = (true, 200, 4);
    let mut dispatcher = Dispatcher::new(set, 7).expect("settings");
    let entries = (0..workers)
        .map(|w| FleetEntry {
            worker: WorkerId(w),
            state: Listed::Ready,
            zone: ZoneId(0),
            cell: CellId(0),
            kind: KindId(0),
            units: 1.0,
            up_since: None,
        })
        .collect();
    let mut events = vec![Event::Fleet { mode: ListMode::Complete, entries }];
    let gauge = Gauge { free_slots: Some(1.0), ..Gauge::default() };
    events.extend((0..workers).map(|w| Event::Health { worker: WorkerId(w), ok: true, gauge }));
    let (mut now, mut next, mut out) = (0, 0, Vec::new());
    let mut arrive = |events: &mut Vec<Event>| {
        next += 1;
        events.push(Event::Job(JobIn {
            job: JobId(next),
            class: ClassId(0),
            tenant: None,
            slots: 1.0,
            memory: 0.0,
            work_hint: None,
            key: None,
            budget: 30 * SECOND,
        }));
    };
    (0..2 * workers).for_each(|_| arrive(&mut events));
    let mut running: std::collections::VecDeque<JobId> = Default::default();
    let (mut steps, mut spent) = (0, 0.0);
    for turn in 0..20_000 {
        now += 200;
        let start = Instant::now();
        dispatcher.step(now, &events, &mut out);
        if turn > 1000 {
            spent += start.elapsed().as_secs_f64();
            steps += 1;
        }
        events.clear();
        for action in out.drain(..) {
            match action {
                Action::Send { job, .. } => running.push_back(job),
                Action::Refuse { .. } | Action::Fail { .. } => arrive(&mut events),
                _ => {}
            }
        }
        if let Some(job) = running.pop_front() {
            let gauge = Gauge { free_slots: Some(0.0), ..Gauge::default() };
            events.push(Event::Notice { job, round: 0, note: Note::Started });
            events.push(Event::Verdict { job, round: 0, outcome: Outcome::Ok, last: true, gauge });
            arrive(&mut events);
        }
    }
    spent / steps as f64
}
