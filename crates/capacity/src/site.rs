//! The installation that hollow dispatchers are told of: settings and workers at the size that is asked for.

use crate::{Micros, SECOND};
use roselock::{
    CellId, Class, ClassId, Costs, Endpoint, EndpointState, Event, Idempotency, JobId, JobRequest, KindId,
    Limits, ListMode, Safety, Settings, Tenant, TenantId, WorkerId, ZoneId,
};

/// Workers of the target.
pub const TARGET_WORKERS: u32 = 2_900;
/// Teams with quotas of the target.
pub const TARGET_TEAMS: u32 = 220;
/// Zones of the target, in three regions.
pub const TARGET_ZONES: u32 = 10;
/// Dispatchers, where nothing else is said.
pub const TARGET_DISPATCHERS: u32 = 300;
/// Starts a second of the target, over all dispatchers.
pub const TARGET_STARTS: f64 = 300.0;

/// Workers of a cell.
const CELL: u32 = 4;
/// Machine kinds.
const KINDS: u32 = 2;
/// A worker is warm so long after its start, and starts with this share of its capacity.
const COLD: Micros = 24 * SECOND;
const COLD_SHARE: f64 = 0.15;
/// Classes: one whose jobs may be repeated and one whose jobs may not, with their aims.
const SAFE_AIM: Micros = SECOND / 5;
const UNSAFE_AIM: Micros = SECOND / 4;
/// Urgent tasks start within this span, and are worth so many others.
pub const URGENT_AIM: Micros = 2 * SECOND;
const URGENT_WORTH: f64 = 4.0;
/// The index of the class of urgent tasks.
const URGENT: u16 = 2;
/// A client's patience.
pub const PATIENCE: Micros = 300 * SECOND;
/// Least span between two steps.
const TICK: Micros = SECOND / 200;

/// What an installation is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Site {
    /// Workers.
    pub workers: u32,
    /// Accelerators of each worker: that many tasks run there at once.
    pub accelerators: u32,
    /// Teams with quotas.
    pub teams: u32,
    /// Zones.
    pub zones: u32,
    /// Dispatchers that share the workers.
    pub dispatchers: u32,
    /// All workers have just started.
    pub cold: bool,
    /// There is a third class, whose tasks are to start within [`URGENT_AIM`].
    pub urgent: bool,
}

impl Site {
    /// The target, with so many workers.
    pub fn target(workers: u32) -> Site {
        Site {
            workers,
            accelerators: 2,
            teams: TARGET_TEAMS,
            zones: TARGET_ZONES,
            dispatchers: TARGET_DISPATCHERS,
            cold: false,
            urgent: false,
        }
    }

    /// What one dispatcher is told at its start. The figures are those of the site portal-norte.
    pub fn settings(&self) -> Settings {
        let mut classes = vec![
            class(Idempotency::Idempotent, SAFE_AIM, 1.75),
            class(Idempotency::NonIdempotent, UNSAFE_AIM, 2.0),
        ];
        if self.urgent {
            let urgent = class(Idempotency::Idempotent, URGENT_AIM, 1.0);
            classes.push(Class { priority_weight: URGENT_WORTH, ..urgent });
        }
        let mut settings = Settings::new(classes);
        settings.fleet_size = self.dispatchers;
        settings.instance_index = self.dispatchers / 2;
        settings.tenants = self.tenants();
        settings.over_quota_weight = 0.2;
        settings.watch_required = true;
        settings.reports_start = true;
        settings.progress_interval = SECOND;
        settings.tick = TICK;
        settings.limits = limits();
        settings.costs = Costs { cross_zone: 0.03, handshake: 0.02, wasted_work: 0.05, ..Costs::default() };
        settings.safety = Safety {
            poll_interval: 10 * SECOND,
            initial_capacity_fraction: COLD_SHARE,
            slow_start_window: COLD,
            overload_multiple: 4.0,
            overload_window: SECOND,
            ..Safety::default()
        };
        settings
    }

    fn tenants(&self) -> Vec<Tenant> {
        let quota_per_s = crate::site::TARGET_STARTS / f64::from(self.teams.max(1));
        (0..self.teams).map(|_| Tenant { quota_per_s }).collect()
    }

    /// One worker as the list has it.
    pub fn entry(&self, worker: u32, state: EndpointState, now: Micros) -> Endpoint {
        Endpoint {
            worker: WorkerId(u64::from(worker)),
            state,
            zone: ZoneId((worker % self.zones.max(1)) as u16),
            cell: CellId(worker / CELL),
            kind: KindId((worker % KINDS) as u16),
            units: f64::from(self.accelerators),
            started_at: self.cold.then_some(now),
        }
    }

    /// The whole list, all workers ready; `started` is when they started, where they are cold.
    pub fn whole_list(&self, started: Micros) -> Event {
        let entries =
            (0..self.workers).map(|worker| self.entry(worker, EndpointState::Ready, started)).collect();
        Event::EndpointList { mode: ListMode::Complete, endpoints: entries }
    }

    /// A change of one line.
    pub fn change(&self, worker: u32, state: EndpointState) -> Event {
        self.changes(worker..worker + 1, state)
    }

    /// A change of several lines at once.
    pub fn changes(&self, workers: std::ops::Range<u32>, state: EndpointState) -> Event {
        let entries = workers.map(|worker| self.entry(worker, state, 0)).collect();
        Event::EndpointList { mode: ListMode::Changes, endpoints: entries }
    }

    /// A request that is urgent or not; what else it is follows from a number that was drawn.
    pub fn job(&self, id: u32, draw: u32, urgent: bool) -> JobRequest {
        let team = (self.teams > 0).then(|| TenantId((draw % self.teams) as u16));
        JobRequest {
            job: JobId(id),
            class: ClassId(if urgent { URGENT } else { (draw % 2) as u16 }),
            tenant: team,
            slots: 1.0,
            memory: 0.0,
            work_hint: None,
            key: None,
            budget: PATIENCE,
        }
    }
}

fn class(effect: Idempotency, promise: Micros, stretch: f64) -> Class {
    Class {
        priority_weight: 1.0,
        late_answer_fraction: 0.5,
        latency_objective: promise,
        objective_per_work: stretch,
        client_timeout: PATIENCE,
        idempotency: effect,
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
