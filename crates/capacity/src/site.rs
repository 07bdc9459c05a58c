//! The simulated installation: settings and workers of the requested size.

use crate::{Micros, SECOND};
use roselock::{
    CellId, Class, ClassId, Costs, Endpoint, EndpointState, Event, Idempotency, JobId, JobRequest, KindId,
    Limits, ListMode, Safety, Settings, Tenant, TenantId, WorkerId, ZoneId,
};

/// The number of workers of the target installation.
pub const TARGET_WORKERS: u32 = 2_900;
/// The number of teams with quotas of the target installation.
pub const TARGET_TEAMS: u32 = 220;
/// The number of zones of the target installation, in three regions.
pub const TARGET_ZONES: u32 = 10;
/// The number of dispatchers of the target installation.
pub const TARGET_DISPATCHERS: u32 = 300;
/// Task starts per second of the target installation, over all dispatchers.
pub const TARGET_STARTS_PER_S: f64 = 300.0;

/// Workers per cell.
const WORKERS_PER_CELL: u32 = 4;
/// The number of machine kinds.
const MACHINE_KINDS: u32 = 2;
/// The duration of slow start.
const SLOW_START_WINDOW: Micros = 24 * SECOND;
/// The fraction of its capacity that a worker has when it starts.
const INITIAL_CAPACITY_FRACTION: f64 = 0.15;
/// The latency objective of the class with idempotent jobs.
const IDEMPOTENT_OBJECTIVE: Micros = SECOND / 5;
/// The latency objective of the class with jobs that are not idempotent.
const NON_IDEMPOTENT_OBJECTIVE: Micros = SECOND / 4;
/// The latency objective of urgent tasks, measured to their start.
pub const URGENT_OBJECTIVE: Micros = 2 * SECOND;
/// The priority weight of an urgent task; that of others is 1.
const URGENT_PRIORITY_WEIGHT: f64 = 4.0;
/// The index of the class of urgent tasks.
const URGENT_CLASS: u16 = 2;
/// The time-out of clients.
pub const CLIENT_TIMEOUT: Micros = 300 * SECOND;
/// The shortest interval between two steps.
const MIN_STEP_INTERVAL: Micros = SECOND / 200;

/// An installation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Site {
    /// The number of workers.
    pub workers: u32,
    /// The number of accelerators per worker, which is the number of tasks that it runs concurrently.
    pub accelerators: u32,
    /// The number of teams with quotas.
    pub teams: u32,
    /// The number of zones.
    pub zones: u32,
    /// The number of dispatchers that share the workers.
    pub dispatchers: u32,
    /// Whether all workers have just started.
    pub warming_up: bool,
    /// Whether there is a third class with the latency objective [`URGENT_OBJECTIVE`].
    pub urgent: bool,
}

impl Site {
    /// The target installation with this number of workers.
    pub fn target(workers: u32) -> Site {
        Site {
            workers,
            accelerators: 2,
            teams: TARGET_TEAMS,
            zones: TARGET_ZONES,
            dispatchers: TARGET_DISPATCHERS,
            warming_up: false,
            urgent: false,
        }
    }

    /// The settings of one dispatcher, with the values of the site portal-norte.
    pub fn settings(&self) -> Settings {
        let mut classes = vec![
            class(Idempotency::Idempotent, IDEMPOTENT_OBJECTIVE, 1.75),
            class(Idempotency::NonIdempotent, NON_IDEMPOTENT_OBJECTIVE, 2.0),
        ];
        if self.urgent {
            let urgent = class(Idempotency::Idempotent, URGENT_OBJECTIVE, 1.0);
            classes.push(Class { priority_weight: URGENT_PRIORITY_WEIGHT, ..urgent });
        }
        let mut settings = Settings::new(classes);
        settings.fleet_size = self.dispatchers;
        settings.instance_index = self.dispatchers / 2;
        settings.tenants = self.tenants();
        settings.over_quota_weight = 0.2;
        settings.watch_required = true;
        settings.reports_start = true;
        settings.progress_interval = SECOND;
        settings.tick = MIN_STEP_INTERVAL;
        settings.limits = limits();
        settings.costs = Costs { cross_zone: 0.03, handshake: 0.02, wasted_work: 0.05, ..Costs::default() };
        settings.safety = Safety {
            poll_interval: 10 * SECOND,
            initial_capacity_fraction: INITIAL_CAPACITY_FRACTION,
            slow_start_window: SLOW_START_WINDOW,
            overload_multiple: 4.0,
            overload_window: SECOND,
            ..Safety::default()
        };
        settings
    }

    fn tenants(&self) -> Vec<Tenant> {
        let quota_per_s = TARGET_STARTS_PER_S / f64::from(self.teams.max(1));
        (0..self.teams).map(|_| Tenant { quota_per_s }).collect()
    }

    /// The entry of one worker in the endpoint list.
    pub fn entry(&self, worker: u32, state: EndpointState, now: Micros) -> Endpoint {
        Endpoint {
            worker: WorkerId(u64::from(worker)),
            state,
            zone: ZoneId((worker % self.zones.max(1)) as u16),
            cell: CellId(worker / WORKERS_PER_CELL),
            kind: KindId((worker % MACHINE_KINDS) as u16),
            units: f64::from(self.accelerators),
            started_at: self.warming_up.then_some(now),
        }
    }

    /// The complete list with all workers ready; `started_at` is their start time if they are warming up.
    pub fn complete_list(&self, started_at: Micros) -> Event {
        let entries =
            (0..self.workers).map(|worker| self.entry(worker, EndpointState::Ready, started_at)).collect();
        Event::EndpointList { mode: ListMode::Complete, endpoints: entries }
    }

    /// A change of one worker.
    pub fn change(&self, worker: u32, state: EndpointState) -> Event {
        self.changes(worker..worker + 1, state)
    }

    /// A change of several workers at once.
    pub fn changes(&self, workers: std::ops::Range<u32>, state: EndpointState) -> Event {
        let entries = workers.map(|worker| self.entry(worker, state, 0)).collect();
        Event::EndpointList { mode: ListMode::Changes, endpoints: entries }
    }

    /// A request. The random number `draw` determines its team and, unless it is urgent, its class.
    pub fn job(&self, id: u32, draw: u32, urgent: bool) -> JobRequest {
        let tenant = (self.teams > 0).then(|| TenantId((draw % self.teams) as u16));
        JobRequest {
            job: JobId(id),
            class: ClassId(if urgent { URGENT_CLASS } else { (draw % 2) as u16 }),
            tenant,
            slots: 1.0,
            memory: 0.0,
            work_hint: None,
            key: None,
            budget: CLIENT_TIMEOUT,
        }
    }
}

fn class(idempotency: Idempotency, latency_objective: Micros, objective_per_work: f64) -> Class {
    Class {
        priority_weight: 1.0,
        late_answer_fraction: 0.5,
        latency_objective,
        objective_per_work,
        client_timeout: CLIENT_TIMEOUT,
        idempotency,
        streaming: false,
        kind: None,
    }
}

fn limits() -> Limits {
    Limits {
        cancel: true,
        health_checks_allowed: false,
        hedged_requests: false,
        max_attempts: 4,
        idle_timeout: 15 * SECOND,
        max_streams: 1,
        connect_timeout: SECOND / 5,
        retry_after: true,
        max_retry_after: 2 * SECOND,
    }
}
