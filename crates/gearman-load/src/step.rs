//! The processor time of a step of the decision module, without sockets.

use roselock::*;
use std::collections::VecDeque;
use std::time::Instant;

/// Prints the mean time of a step in which one worker becomes free and receives the next job.
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

/// Steps that are measured, after as many as [`WARM_UP_STEPS`].
const STEPS: usize = 20_000;
const WARM_UP_STEPS: usize = 1_000;
/// Simulated time between two steps.
const STEP_INTERVAL: Micros = 200;
const JOB_BUDGET: Micros = 30 * SECOND;

fn settings() -> Settings {
    let class = Class {
        priority_weight: 1.0,
        late_answer_fraction: 0.0,
        latency_objective: SECOND / 5,
        objective_per_work: 2.0,
        client_timeout: JOB_BUDGET,
        idempotency: Idempotency::Idempotent,
        streaming: false,
        kind: None,
    };
    let mut settings = Settings::new(vec![class]);
    settings.reports_start = true;
    settings.tick = STEP_INTERVAL;
    settings.limits.max_attempts = 4;
    settings
}

fn endpoint(worker: u64) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        state: EndpointState::Ready,
        zone: ZoneId(0),
        cell: CellId(0),
        kind: KindId(0),
        units: 1.0,
        started_at: None,
    }
}

fn arrival(number: u32) -> Event {
    Event::JobArrived(JobRequest {
        job: JobId(number),
        class: ClassId(0),
        tenant: None,
        slots: 1.0,
        memory: 0.0,
        work_hint: None,
        key: None,
        budget: JOB_BUDGET,
    })
}

fn free_slots(slots: f64) -> LoadReport {
    LoadReport { free_slots: Some(slots), ..LoadReport::default() }
}

/// The events of a job that has run.
fn completion(job: JobId) -> [Event; 2] {
    let report = free_slots(0.0);
    [
        Event::AttemptProgress { job, attempt: 0, update: AttemptUpdate::Started },
        Event::AttemptEnded { job, attempt: 0, outcome: Outcome::Ok, concluded: true, report },
    ]
}

/// The mean time of a step, in seconds.
fn mean(workers: u64) -> f64 {
    let mut dispatcher = Dispatcher::new(settings(), 7).expect("valid settings");
    let endpoints = (0..workers).map(endpoint).collect();
    let mut events = vec![Event::EndpointList { mode: ListMode::Complete, endpoints }];
    let idle =
        |worker| Event::HealthCheckEnded { worker: WorkerId(worker), ok: true, report: free_slots(1.0) };
    events.extend((0..workers).map(idle));
    let mut numbers = 1..;
    let mut arrive = |events: &mut Vec<Event>| events.extend(numbers.next().map(arrival));
    for _ in 0..2 * workers {
        arrive(&mut events);
    }
    let mut running: VecDeque<JobId> = VecDeque::new();
    let mut now = 0;
    let mut actions = Vec::new();
    let mut steps = 0;
    let mut spent = 0.0;
    for turn in 0..STEPS {
        now += STEP_INTERVAL;
        let start = Instant::now();
        dispatcher.step(now, &events, &mut actions);
        if turn > WARM_UP_STEPS {
            spent += start.elapsed().as_secs_f64();
            steps += 1;
        }
        events.clear();
        for action in actions.drain(..) {
            match action {
                Action::Send { job, .. } => running.push_back(job),
                Action::Reject { .. } | Action::Fail { .. } => arrive(&mut events),
                _ => {}
            }
        }
        if let Some(job) = running.pop_front() {
            events.extend(completion(job));
            arrive(&mut events);
        }
    }
    spent / f64::from(steps)
}
