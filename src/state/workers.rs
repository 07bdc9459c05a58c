//! State of each worker: bookings, capacity, timing, connections and recent jobs.

use super::capacity::{CapacityEstimate, StartEvidence};
use super::estimates::DecayingMean;
use super::health::Health;
use super::jobs::TenantClass;
use super::prices::{ResourceTimeline, WorkerPrices};
use super::resources::{MEMORY, RESOURCES, SLOT};
use crate::api::*;
use std::collections::VecDeque;

/// Assumed age of a delayed load report, in microseconds.
const DELAYED_REPORT_AGE: Micros = SECOND / 2;
/// Time for which the history of running jobs is kept, in microseconds.
const RUNNING_HISTORY_SPAN: Micros = 2 * SECOND;
/// Number of recent keys kept per worker.
const MAX_RECENT_KEYS: usize = 8;

/// What was running until the bookings changed.
struct RunningHistoryEntry {
    changed_at: Micros,
    running: [f64; 2],
}

/// Slots and memory units that this dispatcher's jobs hold at a worker.
#[derive(Default)]
pub(crate) struct Bookings {
    /// Held by all jobs sent to the worker.
    pub(crate) booked: [f64; 2],
    /// Held by the jobs that are running.
    pub(crate) running: [f64; 2],
    /// Earlier values of `running`, the latest last: a load report refers to the jobs running when it was
    /// made.
    history: VecDeque<RunningHistoryEntry>,
}

impl Bookings {
    /// Saves `running` before it changes.
    fn record_running(&mut self, now: Micros) {
        self.history.push_back(RunningHistoryEntry { changed_at: now, running: self.running });
        while self.history.front().is_some_and(|entry| entry.changed_at < now - RUNNING_HISTORY_SPAN) {
            self.history.pop_front();
        }
    }

    /// What was running at a given time.
    fn running_at(&self, at: Micros) -> [f64; 2] {
        let next_change = self.history.iter().find(|entry| entry.changed_at > at);
        next_change.map_or(self.running, |entry| entry.running)
    }

    /// Books a job's need. With `runs`, the job counts as running immediately.
    pub(crate) fn book(&mut self, need: [f64; 2], runs: bool, now: Micros) {
        self.record_running(now);
        for resource in RESOURCES {
            self.booked[resource] = (self.booked[resource] + need[resource]).max(0.0);
            if runs {
                self.running[resource] = (self.running[resource] + need[resource]).max(0.0);
            }
        }
    }

    /// Frees a job's need. `ran` tells whether the job counted as running.
    pub(crate) fn free(&mut self, need: [f64; 2], ran: bool, now: Micros) {
        self.record_running(now);
        for resource in RESOURCES {
            self.booked[resource] = (self.booked[resource] - need[resource]).max(0.0);
            if ran {
                self.running[resource] = (self.running[resource] - need[resource]).max(0.0);
            }
        }
    }

    /// Counts a booked job as running.
    pub(crate) fn start(&mut self, need: [f64; 2], now: Micros) {
        self.record_running(now);
        for resource in RESOURCES {
            self.running[resource] += need[resource];
        }
    }
}

/// Start delays and run times at a worker.
pub(crate) struct RunTiming {
    /// Time from send to start, in microseconds.
    pub(crate) start_delay: DecayingMean,
    /// log(run time / work).
    pub(crate) log_slowdown: DecayingMean,
    /// Lower bound of the log slowdown, from this dispatcher's jobs that exceed their expected run time.
    pub(crate) min_log_slowdown: f64,
    /// Longest time for which a job of this dispatcher has waited at the worker for its start, in
    /// microseconds.
    pub(crate) head_of_line_wait: f64,
}

impl RunTiming {
    /// Records that a job has waited for its start for this time, in microseconds. Start delays come only
    /// from jobs that have started, so a job that is still waiting can show a longer delay.
    pub(crate) fn record_unstarted(&mut self, wait: f64) {
        self.head_of_line_wait = self.head_of_line_wait.max(wait);
    }

    /// Resets the overrun and the wait after the end of an attempt: they don't apply to later jobs.
    pub(crate) fn attempt_ended(&mut self) {
        self.min_log_slowdown = f64::NEG_INFINITY;
        self.head_of_line_wait = 0.0;
    }
}

/// Connections of this dispatcher to a worker.
#[derive(Default)]
pub(crate) struct Connections {
    /// For each idle connection, when it became idle.
    pub(crate) idle_since: Vec<Micros>,
    /// There may be open connections: a job was sent or an attempt ended since they were last closed.
    pub(crate) may_be_open: bool,
}

/// A job sent to a worker.
pub(crate) struct RecentSend {
    pub(crate) sent_at: Micros,
    /// Work in seconds at speed 1.
    pub(crate) work: f64,
}

/// A class of a tenant that a worker currently rejects.
pub(crate) struct RejectedClass {
    tenant_class: TenantClass,
    until: Micros,
}

/// Values of a worker that are fixed for a pass, so that computing a margin takes few operations.
#[derive(Clone, Default)]
pub(crate) struct WorkerSnapshot {
    /// Run time in microseconds of one second of work.
    pub(crate) run_time_per_work: f64,
    /// Expected time from send to start, in microseconds.
    pub(crate) start_delay: f64,
    /// Probability that a job succeeds, from the worker's own record.
    pub(crate) success: f64,
    /// Costs of crossing zones and of opening a connection, in mean priority weights.
    pub(crate) fees: f64,
    /// Free capacity by resource; infinite for memory and for a trial if the worker reports none.
    pub(crate) free: [f64; 2],
    /// A job may queue at the worker for the next free slot.
    pub(crate) may_queue: bool,
}

/// State of a worker. The field order keeps together what every pass accesses: each pass iterates over a
/// large fleet, and with many dispatchers on a machine their state does not fit into its caches.
#[repr(C)]
pub(crate) struct Worker {
    /// Its entry in the endpoint list; its state is the listed one, also while it is suspended.
    pub(crate) endpoint: Endpoint,
    /// When its process started, on this dispatcher's clock; `None` means long ago.
    pub(crate) started_at: Option<Micros>,
    /// Whether it may be sent jobs: whether its entry
    /// [is ready](super::discovery::DiscoveryState::is_ready).
    pub(crate) ready: bool,
    /// Largest `units` listed so far.
    pub(crate) max_units: f64,
    pub(crate) bookings: Bookings,
    pub(crate) capacity: [CapacityEstimate; 2],
    pub(crate) timing: RunTiming,
    pub(crate) health: Health,
    pub(crate) connections: Connections,
    /// Sends within the last `safety.overload_window`.
    pub(crate) recent_sends: Vec<RecentSend>,
    rejected_classes: Vec<RejectedClass>,
    /// Keys of the jobs sent to it, the latest first.
    recent_keys: VecDeque<KeyId>,
    /// 0: the first workers in this dispatcher's order of preference, as many as its share of the fleet; 1:
    /// the others in its zone; 2: workers in other zones.
    pub(crate) locality_tier: usize,
    /// Its state changed since the last pass.
    pub(crate) changed: bool,
    pub(crate) snapshot: WorkerSnapshot,
    pub(crate) prices: WorkerPrices,
}

/// Initial estimates for a new worker.
#[derive(Clone, Copy)]
pub(crate) struct InitialEstimates {
    pub(crate) capacity: [f64; 2],
    pub(crate) price: ResourceTimeline,
}

impl Worker {
    pub(crate) fn new(endpoint: &Endpoint, ready: bool, initial: InitialEstimates, now: Micros) -> Worker {
        Worker {
            endpoint: endpoint.clone(),
            started_at: endpoint.started_at.map(|started_at| started_at.min(now)),
            ready,
            max_units: endpoint.units,
            bookings: Bookings::default(),
            capacity: initial.capacity.map(|capacity| CapacityEstimate::new(capacity, now)),
            timing: RunTiming {
                start_delay: DecayingMean::default(),
                log_slowdown: DecayingMean::default(),
                min_log_slowdown: f64::NEG_INFINITY,
                head_of_line_wait: 0.0,
            },
            health: Health::new(now),
            connections: Connections::default(),
            recent_sends: Vec::new(),
            rejected_classes: Vec::new(),
            recent_keys: VecDeque::new(),
            locality_tier: 0,
            changed: true,
            snapshot: WorkerSnapshot::default(),
            prices: WorkerPrices::new(initial.price),
        }
    }

    /// Work sent to it since a given time, in seconds at speed 1, among the recent sends.
    pub(crate) fn work_sent_since(&self, at: Micros) -> f64 {
        self.recent_sends.iter().filter(|send| send.sent_at >= at).map(|send| send.work).sum()
    }

    /// Records a send and drops those before `window_start`.
    pub(crate) fn record_send(&mut self, work: f64, now: Micros, window_start: Micros) {
        self.recent_sends.retain(|send| send.sent_at >= window_start);
        self.recent_sends.push(RecentSend { sent_at: now, work });
    }

    /// Records the key of a job sent to it, whose data is probably cached from now on.
    pub(crate) fn remember_key(&mut self, key: KeyId) {
        self.recent_keys.retain(|known| *known != key);
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(MAX_RECENT_KEYS);
    }

    pub(crate) fn remembers_key(&self, key: KeyId) -> bool {
        self.recent_keys.contains(&key)
    }

    /// Records that it rejects a class of a tenant, which is assumed to last until the given time.
    pub(crate) fn reject_class(&mut self, tenant_class: TenantClass, until: Micros) {
        self.rejected_classes.retain(|rejected| rejected.tenant_class != tenant_class);
        self.rejected_classes.push(RejectedClass { tenant_class, until });
    }

    pub(crate) fn rejects_class(&self, tenant_class: TenantClass, now: Micros) -> bool {
        let is_same =
            |rejected: &RejectedClass| rejected.tenant_class == tenant_class && rejected.until > now;
        self.rejected_classes.iter().any(is_same)
    }

    pub(crate) fn rejects_any_class(&self) -> bool {
        !self.rejected_classes.is_empty()
    }

    pub(crate) fn expire_rejected_classes(&mut self, now: Micros) {
        self.rejected_classes.retain(|rejected| rejected.until > now);
    }

    /// Records a response. `up_at` is a time at which its process is known to have been up.
    pub(crate) fn record_response(&mut self, up_at: Micros, now: Micros) {
        self.health.record_response(up_at, now);
        self.changed = true;
    }

    /// Updates the slot capacity from the start of a job or its absence.
    pub(crate) fn infer_slots(&mut self, booked_before: f64, evidence: StartEvidence, now: Micros) {
        let running = self.bookings.running[SLOT];
        self.capacity[SLOT].infer_from_start(booked_before, evidence, running, now);
    }

    /// Updates the slot capacity from listed units that fall with the load. The listed value is the units of
    /// the idle worker divided by 1 + the requests held per core, and each core counts as one of `total`
    /// slots.
    pub(crate) fn apply_listed_units(&mut self, total: f64, now: Micros) {
        self.max_units = self.max_units.max(self.endpoint.units);
        let slots = &mut self.capacity[SLOT];
        slots.total = slots.total.max(total);
        let held = self.max_units / self.endpoint.units.max(f64::MIN_POSITIVE) - 1.0;
        let free = (slots.total * (1.0 - held)).round().max(0.0);
        slots.record(self.bookings.running[SLOT], free, now);
        self.changed = true;
    }

    /// Records a load report. Its values refer to the jobs that were running when it was taken, so jobs that
    /// have started since are left out, and jobs that have ended since are included.
    pub(crate) fn apply_report(&mut self, report: &LoadReport, now: Micros) {
        let taken_at = if report.delayed { now - DELAYED_REPORT_AGE } else { now };
        let running = self.bookings.running_at(taken_at);
        if let Some(free) = report.free_slots.filter(|free| free.is_finite()) {
            // Slots are integers, but reports are noisy.
            self.capacity[SLOT].record(running[SLOT], free.round().max(0.0), now);
        }
        if let Some(free) = report.free_memory.filter(|free| free.is_finite()) {
            self.capacity[MEMORY].record(running[MEMORY], free.max(0.0), now);
        }
    }
}
