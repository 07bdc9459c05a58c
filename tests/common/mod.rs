//! Settings, events and a driver for tests of the decision logic without network and processes.
#![allow(dead_code)]

pub mod driver;

use roselock::*;

/// Index of the class of idempotent requests.
pub const IDEMPOTENT: u16 = 0;
/// Index of the class of non-idempotent requests.
pub const NON_IDEMPOTENT: u16 = 1;
/// Index of the class whose idempotency keys are shared within a cell.
pub const KEYED_BY_CELL: u16 = 2;
/// Index of the class whose idempotency keys all workers share.
pub const KEYED_BY_ALL: u16 = 3;
/// How long workers drop duplicates of a keyed request.
pub const KEY_WINDOW: Micros = 3 * SECOND;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        priority_weight: 1.0,
        late_answer_fraction: 0.5,
        latency_objective: SECOND / 2,
        objective_per_work: 2.0,
        client_timeout: 10 * SECOND,
        idempotency,
        streaming: false,
        kind: None,
    }
}

/// Returns settings of one of two dispatchers, with one class for each kind of idempotency.
pub fn settings() -> Settings {
    let keyed = |scope| Idempotency::IdempotencyKey { scope, window: KEY_WINDOW };
    let mut settings = Settings::new(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
        class(keyed(KeyScope::Cell)),
        class(keyed(KeyScope::All)),
    ]);
    settings.fleet_size = 2;
    settings.weighted_by_work = true;
    settings.reports_start = true;
    settings.progress_interval = SECOND;
    settings.tick = 2000;
    settings.limits.cancel = true;
    settings.limits.hedged_requests = true;
    settings.limits.max_attempts = 3;
    settings.limits.idle_timeout = 10 * SECOND;
    settings.costs = Costs {
        cross_zone: 0.05,
        handshake: 0.02,
        wasted_work: 0.05,
        late_failure: 0.05,
        ..Costs::default()
    };
    settings.safety = Safety {
        answer_grace: 8000,
        initial_capacity_fraction: 0.3,
        slow_start_window: 9 * SECOND,
        overload_multiple: 3.0,
        overload_window: 3 * SECOND / 2,
        ..settings.safety
    };
    settings
}

/// Returns [`settings`] that permit retries, but no hedged requests.
pub fn settings_without_hedging() -> Settings {
    let mut settings = settings();
    settings.limits.hedged_requests = false;
    settings.limits.max_attempts = 4;
    settings
}

/// Returns [`settings`] that permit health checks.
pub fn settings_with_health_checks() -> Settings {
    let mut settings = settings();
    settings.limits.health_checks_allowed = true;
    settings
}

/// Builds an entry of the endpoint list; workers 2n and 2n + 1 share a cell.
pub fn endpoint(worker: u64, state: EndpointState, started_at: Option<Micros>) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        state,
        zone: ZoneId(0),
        cell: CellId(worker as u32 / 2),
        kind: KindId(0),
        units: 1.0,
        started_at,
    }
}

pub fn ready(worker: u64) -> Endpoint {
    endpoint(worker, EndpointState::Ready, None)
}

pub fn complete_list(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { mode: ListMode::Complete, endpoints }
}

pub fn list_changes(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { mode: ListMode::Changes, endpoints }
}

/// Builds a complete list of ready workers, numbered from 0.
pub fn ready_workers(count: u64) -> Event {
    complete_list((0..count).map(ready).collect())
}

pub fn request(job: u32, class: u16) -> JobRequest {
    JobRequest {
        job: JobId(job),
        class: ClassId(class),
        tenant: None,
        slots: 1.0,
        memory: 0.0,
        work_hint: Some(0.2),
        key: None,
        budget: 10 * SECOND,
    }
}

pub fn job_arrived(job: u32, class: u16) -> Event {
    Event::JobArrived(request(job, class))
}

pub fn jobs_arrived(jobs: std::ops::Range<u32>, class: u16) -> Vec<Event> {
    jobs.map(|job| job_arrived(job, class)).collect()
}

/// Builds the end of an attempt without a load report.
pub fn attempt_ended(job: u32, attempt: u32, outcome: Outcome) -> Event {
    attempt_ended_with(job, attempt, outcome, LoadReport::default())
}

/// Builds the end of an attempt; the job has concluded if the outcome is `Ok`.
pub fn attempt_ended_with(job: u32, attempt: u32, outcome: Outcome, report: LoadReport) -> Event {
    let concluded = outcome == Outcome::Ok;
    Event::AttemptEnded { job: JobId(job), attempt, outcome, concluded, report }
}

pub fn attempt_started(job: u32, attempt: u32) -> Event {
    Event::AttemptProgress { job: JobId(job), attempt, update: AttemptUpdate::Started }
}

pub fn progress(job: u32, attempt: u32, fraction: f64) -> Event {
    Event::AttemptProgress { job: JobId(job), attempt, update: AttemptUpdate::Progress(fraction) }
}

pub fn watch_ended(reason: WatchEndReason, in_sync_until: Micros) -> Event {
    Event::WatchEnded(WatchEnd { reason, in_sync_until })
}

/// Builds a load report that contains only a number of free slots.
pub fn free_slots(count: f64) -> LoadReport {
    LoadReport { free_slots: Some(count), ..LoadReport::default() }
}

/// Builds a worker's answer to a health check, with its number of free slots.
pub fn health_check_answered(worker: u64, free: f64) -> Event {
    Event::HealthCheckEnded { worker: WorkerId(worker), ok: true, report: free_slots(free) }
}

/// Returns the job and the worker of each send.
pub fn sends(actions: &[Action]) -> Vec<(u32, u64)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { job, worker, .. } => Some((job.0, worker.0)),
        _ => None,
    });
    sent.collect()
}

/// Returns the workers that health checks are sent to.
pub fn health_checks(actions: &[Action]) -> Vec<u64> {
    let checked = actions.iter().filter_map(|action| match action {
        Action::HealthCheck(worker) => Some(worker.0),
        _ => None,
    });
    checked.collect()
}

pub fn contains_cancel(actions: &[Action], job: u32, attempt: u32) -> bool {
    actions.contains(&Action::Cancel { job: JobId(job), attempt })
}
