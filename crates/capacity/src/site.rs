//! The installation that hollow dispatchers are told of: settings and workers at the size that is asked for.

use crate::{Micros, SECOND};
use roselock::{
    CellId, Class, ClassId, Costs, Effect, Event, FleetEntry, JobId, JobIn, KindId, Limits, ListMode, Listed,
    Safety, Settings, Tenant, TenantId, WorkerId, ZoneId,
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
        let mut classes = vec![class(Effect::Safe, SAFE_AIM, 1.75), class(Effect::Unsafe, UNSAFE_AIM, 2.0)];
        if self.urgent {
            let urgent = class(Effect::Safe, URGENT_AIM, 1.0);
            classes.push(Class { worth: URGENT_WORTH, ..urgent });
        }
        let mut settings = Settings::new(classes);
        settings.fleet_size = self.dispatchers;
        settings.me = self.dispatchers / 2;
        settings.tenants = self.tenants();
        settings.over_share_worth = 0.2;
        settings.must_watch = true;
        settings.tells_start = true;
        settings.progress = SECOND;
        settings.tick = TICK;
        settings.limits = limits();
        settings.costs = Costs { cross_zone: 0.03, handshake: 0.02, waste: 0.05, ..Costs::default() };
        settings.safety = Safety {
            ask_within: 10 * SECOND,
            cold_share: COLD_SHARE,
            cold: COLD,
            fall_multiple: 4.0,
            fall: SECOND,
            ..Safety::default()
        };
        settings
    }

    fn tenants(&self) -> Vec<Tenant> {
        let quota_per_s = crate::site::TARGET_STARTS / f64::from(self.teams.max(1));
        (0..self.teams).map(|_| Tenant { quota_per_s }).collect()
    }

    /// One worker as the list has it.
    pub fn entry(&self, worker: u32, state: Listed, now: Micros) -> FleetEntry {
        FleetEntry {
            worker: WorkerId(u64::from(worker)),
            state,
            zone: ZoneId((worker % self.zones.max(1)) as u16),
            cell: CellId(worker / CELL),
            kind: KindId((worker % KINDS) as u16),
            units: f64::from(self.accelerators),
            up_since: self.cold.then_some(now),
        }
    }

    /// The whole list, all workers ready; `started` is when they started, where they are cold.
    pub fn whole_list(&self, started: Micros) -> Event {
        let entries = (0..self.workers).map(|worker| self.entry(worker, Listed::Ready, started)).collect();
        Event::Fleet { mode: ListMode::Complete, entries }
    }

    /// A change of one line.
    pub fn change(&self, worker: u32, state: Listed) -> Event {
        self.changes(worker..worker + 1, state)
    }

    /// A change of several lines at once.
    pub fn changes(&self, workers: std::ops::Range<u32>, state: Listed) -> Event {
        let entries = workers.map(|worker| self.entry(worker, state, 0)).collect();
        Event::Fleet { mode: ListMode::Changes, entries }
    }

    /// A request that is urgent or not; what else it is follows from a number that was drawn.
    pub fn job(&self, id: u32, draw: u32, urgent: bool) -> JobIn {
        let team = (self.teams > 0).then(|| TenantId((draw % self.teams) as u16));
        JobIn {
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

fn class(effect: Effect, promise: Micros, stretch: f64) -> Class {
    Class {
        worth: 1.0,
        late_value: 0.5,
        promise,
        stretch,
        give_up: PATIENCE,
        effect,
        streaming: false,
        kind: None,
    }
}

fn limits() -> Limits {
    Limits {
        cancel: true,
        may_probe: false,
        second_copies: false,
        send_cap: 4,
        conn_idle: 15 * SECOND,
        max_streams: 1,
        connect_timeout: SECOND / 5,
        retry_after: true,
        max_retry_after: 2 * SECOND,
    }
}
