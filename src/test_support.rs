//! Fixtures and accessors shared by the unit tests.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;
use crate::state::prices::{HORIZON_TICKS, HistoryColumn};
use crate::state::resources::SLOT;

/// Settings with slow start and one class, whose latency objective is 1 s plus twice the job's work.
pub(crate) fn settings() -> Settings {
    let mut settings = Settings::new(vec![Class {
        priority_weight: 1.0,
        late_answer_fraction: 0.5,
        latency_objective: SECOND,
        objective_per_work: 2.0,
        client_timeout: 60 * SECOND,
        idempotency: Idempotency::Idempotent,
        streaming: false,
        kind: None,
    }]);
    settings.weighted_by_work = true;
    settings.reports_start = true;
    settings.tick = 2000;
    settings.limits.cancel = true;
    settings.limits.max_attempts = 3;
    settings.limits.idle_timeout = SECOND;
    settings.safety = Safety {
        initial_capacity_fraction: 0.3,
        slow_start_window: 9 * SECOND,
        overload_multiple: 3.0,
        overload_window: 3 * SECOND / 2,
        ..settings.safety
    };
    settings
}

/// A ready endpoint in the default zone, of the default kind, whose process started long ago.
pub(crate) fn endpoint(worker: u64) -> Endpoint {
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

/// The event of a complete endpoint list.
pub(crate) fn complete_list(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { mode: ListMode::Complete, endpoints }
}

/// The event of changed entries of the endpoint list.
pub(crate) fn list_changes(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { mode: ListMode::Changes, endpoints }
}

/// A dispatcher whose endpoint list has `workers` ready workers.
pub(crate) fn dispatcher(workers: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings(), 1).expect("valid settings");
    let endpoints = (0..workers).map(endpoint).collect();
    dispatcher.step(0, &[complete_list(endpoints)], &mut vec![]);
    dispatcher
}

/// Configures the dispatcher as instance `index` of a fleet of `fleet_size`.
pub(crate) fn member(index: u32, fleet_size: u32, mut dispatcher: Dispatcher) -> Dispatcher {
    let settings = Settings { instance_index: index, fleet_size, ..dispatcher.settings.clone() };
    dispatcher.update_settings(&settings).expect("valid settings");
    dispatcher
}

/// A request whose work hint is `work` seconds at speed 1.
pub(crate) fn request(id: u32, work: f64) -> JobRequest {
    JobRequest {
        job: JobId(id),
        class: ClassId(0),
        tenant: None,
        slots: 1.0,
        memory: 0.0,
        work_hint: Some(work),
        key: None,
        budget: 60 * SECOND,
    }
}

/// The arrival event of [`request`].
pub(crate) fn arrival(id: u32, work: f64) -> Event {
    Event::JobArrived(request(id, work))
}

/// The end of a job's first attempt, which does not conclude the request.
pub(crate) fn first_attempt_ended(job: u32, outcome: Outcome, report: LoadReport) -> Event {
    Event::AttemptEnded { job: JobId(job), attempt: 0, outcome, concluded: false, report }
}

/// The job and the worker of each send among the actions.
pub(crate) fn sends(actions: &[Action]) -> Vec<(u32, u64)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { job, worker, .. } => Some((job.0, worker.0)),
        _ => None,
    });
    sent.collect()
}

/// A job that the dispatcher holds.
pub(crate) fn job(dispatcher: &Dispatcher, id: u32) -> &Job {
    dispatcher.jobs.get(JobId(id)).expect("a known job")
}

/// Sets the slot price of a worker for the whole look-ahead.
pub(crate) fn set_slot_price(dispatcher: &mut Dispatcher, worker: usize, price: f64) {
    let prices = &mut dispatcher.workers[worker].prices;
    prices.price[SLOT] = [price; HORIZON_TICKS];
    prices.update_price_sums();
}

/// A column as long as the whole look-ahead, so that only its random start tick varies.
pub(crate) fn full_horizon_column(worker: usize, payoff: f64) -> HistoryColumn {
    HistoryColumn { worker, payoff, need: [1.0, 0.0], ticks: HORIZON_TICKS as f64 }
}
