//! The duration of a step of the dispatcher core, without I/O.

use roselock::*;
use std::collections::VecDeque;
use std::time::Instant;

/// Prints the mean duration of a step in which a worker becomes free and is sent the next job.
pub fn step() {
    println!("## Dispatcher step\n");
    println!(
        "Mean duration of a step: one job ends, one arrives and one is sent, with as many queued jobs as workers.\n"
    );
    println!("| workers | mean step, µs |");
    println!("| ---: | ---: |");
    for workers in [1, 8, 64, 256] {
        println!("| {workers} | {:.1} |", mean_step_seconds(workers) * 1e6);
    }
    println!();
}

/// The number of steps, of which the first [`WARM_UP_STEPS`] are not measured.
const STEPS: usize = 20_000;
const WARM_UP_STEPS: usize = 1_000;
/// The simulated time between two steps.
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

/// The events of a job that has completed.
fn completion(job: JobId) -> [Event; 2] {
    let report = free_slots(0.0);
    [
        Event::AttemptProgress { job, attempt: 0, update: AttemptUpdate::Started },
        Event::AttemptEnded { job, attempt: 0, outcome: Outcome::Ok, concluded: true, report },
    ]
}

/// Measures the mean duration of a step, in seconds.
fn mean_step_seconds(workers: u64) -> f64 {
    let mut dispatcher = Dispatcher::new(settings(), 7).expect("valid settings");
    let endpoints = (0..workers).map(endpoint).collect();
    let mut events = vec![Event::EndpointList { mode: ListMode::Complete, endpoints }];
    let idle =
        |worker| Event::HealthCheckEnded { worker: WorkerId(worker), ok: true, report: free_slots(1.0) };
    events.extend((0..workers).map(idle));
    let mut job_ids = 1..;
    let mut push_arrival = |events: &mut Vec<Event>| events.extend(job_ids.next().map(arrival));
    for _ in 0..2 * workers {
        push_arrival(&mut events);
    }
    let mut running: VecDeque<JobId> = VecDeque::new();
    let mut now = 0;
    let mut actions = Vec::new();
    let mut measured = 0;
    let mut elapsed = 0.0;
    for index in 0..STEPS {
        now += STEP_INTERVAL;
        let start = Instant::now();
        dispatcher.step(now, &events, &mut actions);
        if index > WARM_UP_STEPS {
            elapsed += start.elapsed().as_secs_f64();
            measured += 1;
        }
        events.clear();
        for action in actions.drain(..) {
            match action {
                Action::Send { job, .. } => running.push_back(job),
                Action::Reject { .. } | Action::Fail { .. } => push_arrival(&mut events),
                _ => {}
            }
        }
        if let Some(job) = running.pop_front() {
            events.extend(completion(job));
            push_arrival(&mut events);
        }
    }
    elapsed / f64::from(measured)
}
