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
        priority_weight: 1.0,
        late_answer_fraction: 0.0,
        latency_objective: SECOND / 5,
        objective_per_work: 2.0,
        client_timeout: 30 * SECOND,
        idempotency: Idempotency::Idempotent,
        streaming: false,
        kind: None,
    };
    let mut set = Settings::new(vec![class]);
    (set.reports_start, set.tick, set.limits.max_attempts) = (true, 200, 4);
    let mut dispatcher = Dispatcher::new(set, 7).expect("settings");
    let entries = (0..workers)
        .map(|w| Endpoint {
            worker: WorkerId(w),
            state: EndpointState::Ready,
            zone: ZoneId(0),
            cell: CellId(0),
            kind: KindId(0),
            units: 1.0,
            started_at: None,
        })
        .collect();
    let mut events = vec![Event::EndpointList { mode: ListMode::Complete, endpoints: entries }];
    let gauge = LoadReport { free_slots: Some(1.0), ..LoadReport::default() };
    events.extend((0..workers).map(|w| Event::HealthCheckEnded {
        worker: WorkerId(w),
        ok: true,
        report: gauge,
    }));
    let (mut now, mut next, mut out) = (0, 0, Vec::new());
    let mut arrive = |events: &mut Vec<Event>| {
        next += 1;
        events.push(Event::JobArrived(JobRequest {
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
                Action::Reject { .. } | Action::Fail { .. } => arrive(&mut events),
                _ => {}
            }
        }
        if let Some(job) = running.pop_front() {
            let gauge = LoadReport { free_slots: Some(0.0), ..LoadReport::default() };
            events.push(Event::AttemptProgress { job, attempt: 0, update: AttemptUpdate::Started });
            events.push(Event::AttemptEnded {
                job,
                attempt: 0,
                outcome: Outcome::Ok,
                concluded: true,
                report: gauge,
            });
            arrive(&mut events);
        }
    }
    spent / steps as f64
}
