//! Workers: what each holds of ours, its capacity, run times, connections and recent jobs.

use super::capacity::{CapacityEstimate, StartEvidence};
use super::estimates::DecayingMean;
use super::health::Health;
use super::jobs::TenantClass;
use super::prices::{ResourceTimeline, WorkerPrices};
use super::resources::{MEMORY, RESOURCES, SLOT};
use crate::api::*;
use std::collections::VecDeque;

/// Age, in microseconds, of a load report that comes with a delay.
const DELAYED_REPORT_AGE: Micros = SECOND / 2;
/// For how long it is remembered what ran, in microseconds.
const RUNNING_HISTORY_SPAN: Micros = 2 * SECOND;
/// Keys remembered of the jobs sent to a worker.
const RECENT_KEYS: usize = 8;

/// What ran until a change of the bookings.
struct RunningBefore {
    changed_at: Micros,
    running: [f64; 2],
}

/// What our own jobs hold at a worker, in slots and memory units.
#[derive(Default)]
pub(crate) struct Bookings {
    /// Held by jobs sent there.
    pub(crate) booked: [f64; 2],
    /// The part of it that runs.
    pub(crate) running: [f64; 2],
    /// The latest last: a load report was made beside what ran at its time.
    history: VecDeque<RunningBefore>,
}

impl Bookings {
    /// Remembers what ran until now, as it is about to change.
    fn record_running(&mut self, now: Micros) {
        self.history.push_back(RunningBefore { changed_at: now, running: self.running });
        while self.history.front().is_some_and(|entry| entry.changed_at < now - RUNNING_HISTORY_SPAN) {
            self.history.pop_front();
        }
    }

    /// What ran at that time.
    fn running_at(&self, at: Micros) -> [f64; 2] {
        let next_change = self.history.iter().find(|entry| entry.changed_at > at);
        next_change.map_or(self.running, |entry| entry.running)
    }

    /// Books a job's need; `runs`: it counts as running at once.
    pub(crate) fn book(&mut self, need: [f64; 2], runs: bool, now: Micros) {
        self.record_running(now);
        for resource in RESOURCES {
            self.booked[resource] = (self.booked[resource] + need[resource]).max(0.0);
            if runs {
                self.running[resource] = (self.running[resource] + need[resource]).max(0.0);
            }
        }
    }

    /// Frees a job's need; `ran`: it counted as running.
    pub(crate) fn free(&mut self, need: [f64; 2], ran: bool, now: Micros) {
        self.record_running(now);
        for resource in RESOURCES {
            self.booked[resource] = (self.booked[resource] - need[resource]).max(0.0);
            if ran {
                self.running[resource] = (self.running[resource] - need[resource]).max(0.0);
            }
        }
    }

    /// A booked job has started.
    pub(crate) fn start(&mut self, need: [f64; 2], now: Micros) {
        self.record_running(now);
        for resource in RESOURCES {
            self.running[resource] += need[resource];
        }
    }
}

/// How soon jobs start at a worker and how long they run.
pub(crate) struct RunTiming {
    /// Microseconds from send to start.
    pub(crate) start_delay: DecayingMean,
    /// log(run time / work).
    pub(crate) log_slowdown: DecayingMean,
    /// A lower bound of the latter, from own jobs that overrun.
    pub(crate) overrun: f64,
    /// For how long, in microseconds, an own job has been there without a start.
    pub(crate) head_of_line_wait: f64,
}

impl RunTiming {
    /// An own job has been there for so long, in microseconds, without a start. Start delays are those of
    /// jobs that did start: one that has not says more.
    pub(crate) fn record_unstarted(&mut self, wait: f64) {
        self.head_of_line_wait = self.head_of_line_wait.max(wait);
    }

    /// An attempt ended: jobs that overran or waited there say nothing of those after it.
    pub(crate) fn attempt_ended(&mut self) {
        self.overrun = f64::NEG_INFINITY;
        self.head_of_line_wait = 0.0;
    }
}

/// Our connections to a worker.
#[derive(Default)]
pub(crate) struct Connections {
    /// When each idle connection fell idle.
    pub(crate) idle_since: Vec<Micros>,
    /// A job was sent or an attempt ended since the connections were last closed.
    pub(crate) may_be_open: bool,
}

/// A job sent to a worker.
pub(crate) struct RecentSend {
    pub(crate) sent_at: Micros,
    /// In seconds at speed 1.
    pub(crate) work: f64,
}

/// A class of a tenant that a worker rejects.
pub(crate) struct RejectedClass {
    tenant_class: TenantClass,
    until: Micros,
}

/// A worker as one pass sees it, so that a margin takes few operations.
#[derive(Clone, Default)]
pub(crate) struct WorkerSnapshot {
    /// Run time in microseconds of one second's work.
    pub(crate) run_time_per_work: f64,
    /// Expected microseconds from send to start.
    pub(crate) start_delay: f64,
    /// Probability that a job is answered, by the worker's own record.
    pub(crate) success: f64,
    /// Costs of crossing zones and of a new connection, in mean priority weights.
    pub(crate) fees: f64,
    /// Free capacity in each resource; infinite where an idle worker without figures may start anything.
    pub(crate) free: [f64; 2],
    /// One job may queue there for the next slot.
    pub(crate) may_queue: bool,
}

/// What is known of a worker, in an order that keeps together what every pass touches: with many dispatchers
/// on a machine their memory is not in its caches, and a large fleet is walked at each pass.
#[repr(C)]
pub(crate) struct Worker {
    pub(crate) listed: Endpoint,
    /// When its process started, by our own clock; none: long ago.
    pub(crate) started_at: Option<Micros>,
    pub(crate) ready: bool,
    /// The most `units` listed.
    pub(crate) max_units: f64,
    pub(crate) bookings: Bookings,
    pub(crate) capacity: [CapacityEstimate; 2],
    pub(crate) timing: RunTiming,
    pub(crate) health: Health,
    pub(crate) connections: Connections,
    /// Sends within the latest `safety.overload_window`.
    pub(crate) recent_sends: Vec<RecentSend>,
    rejected_classes: Vec<RejectedClass>,
    /// Keys of the jobs sent there, the latest first.
    recent_keys: VecDeque<KeyId>,
    /// 0: the first of our order, as many as each dispatcher's part of the fleet; 1: the rest of our zone; 2:
    /// other zones.
    pub(crate) locality_tier: usize,
    /// Something was learned of it since the last pass.
    pub(crate) changed: bool,
    pub(crate) snapshot: WorkerSnapshot,
    pub(crate) prices: WorkerPrices,
}

/// Estimates that a new worker starts with.
#[derive(Clone, Copy)]
pub(crate) struct InitialEstimates {
    pub(crate) capacity: [f64; 2],
    pub(crate) price: ResourceTimeline,
}

impl Worker {
    pub(crate) fn new(endpoint: &Endpoint, initial: InitialEstimates, now: Micros) -> Worker {
        Worker {
            listed: endpoint.clone(),
            started_at: endpoint.started_at.map(|started_at| started_at.min(now)),
            ready: endpoint.state == EndpointState::Ready,
            max_units: endpoint.units,
            bookings: Bookings::default(),
            capacity: initial.capacity.map(|capacity| CapacityEstimate::new(capacity, now)),
            timing: RunTiming {
                start_delay: DecayingMean::default(),
                log_slowdown: DecayingMean::default(),
                overrun: f64::NEG_INFINITY,
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

    /// Work sent to it from then on, in seconds at speed 1, as far as it is remembered.
    pub(crate) fn work_sent_since(&self, at: Micros) -> f64 {
        self.recent_sends.iter().filter(|send| send.sent_at >= at).map(|send| send.work).sum()
    }

    /// Records a send, and forgets those before `remembered_from`.
    pub(crate) fn record_send(&mut self, work: f64, now: Micros, remembered_from: Micros) {
        self.recent_sends.retain(|send| send.sent_at >= remembered_from);
        self.recent_sends.push(RecentSend { sent_at: now, work });
    }

    /// Remembers the key of a job sent there: its data is likely cached from now on.
    pub(crate) fn remember_key(&mut self, key: KeyId) {
        self.recent_keys.retain(|known| *known != key);
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(RECENT_KEYS);
    }

    pub(crate) fn remembers_key(&self, key: KeyId) -> bool {
        self.recent_keys.contains(&key)
    }

    /// It rejects a class of a tenant, which is taken to last until then.
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

    /// It responded; `up_at`: a time at which its process was up for certain.
    pub(crate) fn record_response(&mut self, up_at: Micros, now: Micros) {
        self.health.record_response(up_at, now);
        self.changed = true;
    }

    /// Learns the free slots from the start of a job, or from the lack of one.
    pub(crate) fn infer_slots(&mut self, booked_before: f64, evidence: StartEvidence, now: Micros) {
        let running = self.bookings.running[SLOT];
        self.capacity[SLOT].infer_from_start(booked_before, evidence, running, now);
    }

    /// Learns the free slots from listed units that fall as it holds requests: the units when idle over 1 +
    /// requests held for each core; each counts as one of `total` slots.
    pub(crate) fn apply_listed_units(&mut self, total: f64, now: Micros) {
        self.max_units = self.max_units.max(self.listed.units);
        let slots = &mut self.capacity[SLOT];
        slots.total = slots.total.max(total);
        let held = self.max_units / self.listed.units.max(f64::MIN_POSITIVE) - 1.0;
        let free = (slots.total * (1.0 - held)).round().max(0.0);
        slots.record(self.bookings.running[SLOT], free, now);
        self.changed = true;
    }

    /// Records a load report. Its figures were taken beside what ran then: not what has started since, but
    /// what has ended since.
    pub(crate) fn apply_report(&mut self, report: &LoadReport, now: Micros) {
        let taken_at = if report.delayed { now - DELAYED_REPORT_AGE } else { now };
        let running = self.bookings.running_at(taken_at);
        if let Some(free) = report.free_slots.filter(|free| free.is_finite()) {
            // Slots are whole, reports noisy.
            self.capacity[SLOT].record(running[SLOT], free.round().max(0.0), now);
        }
        if let Some(free) = report.free_memory.filter(|free| free.is_finite()) {
            self.capacity[MEMORY].record(running[MEMORY], free.max(0.0), now);
        }
    }
}
