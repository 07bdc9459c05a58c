//! The [`Dispatcher`]: its state, and the routing of each event to the decision that handles it.

use crate::api::*;
use crate::state::discovery::DiscoveryState;
use crate::state::jobs::JobTable;
use crate::state::placement::Placement;
use crate::state::prices::PriceState;
use crate::state::run_times::{SlowdownEstimates, WorkEstimates};
use crate::state::sequence::sequence_position;
use crate::state::timers::{MIGRATION_TOKEN, POLL_TOKEN, PassTimers, TICK_TOKEN};
use crate::state::traffic::{ArrivalRates, RetryCounter};
use crate::state::workers::Worker;
use std::collections::BTreeMap;

/// The decision state machine of one dispatcher. Every event is passed to it through [`Dispatcher::step`].
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) rng: oorandom::Rand64,
    /// The caller's clock as of the latest step.
    pub(crate) now: Micros,
    started: bool,
    pub(crate) workers: Vec<Worker>,
    /// Index of each worker in `workers`.
    pub(crate) worker_index: BTreeMap<WorkerId, usize>,
    pub(crate) jobs: JobTable,
    pub(crate) work: WorkEstimates,
    pub(crate) slowdown: SlowdownEstimates,
    /// Largest slot total seen at a worker of each kind, used where listed units fall with load.
    pub(crate) max_slots_by_kind: BTreeMap<KindId, f64>,
    pub(crate) arrivals: ArrivalRates,
    pub(crate) retry_counter: RetryCounter,
    pub(crate) prices: PriceState,
    pub(crate) placement: Placement,
    pub(crate) timers: PassTimers,
    pub(crate) discovery: DiscoveryState,
    /// Shortest recent delay from send to start in each zone, in microseconds.
    pub(crate) min_start_delay: BTreeMap<ZoneId, Micros>,
    /// Position of this dispatcher in a permutation of the fleet, derived from the settings.
    sequence_position: u64,
}

/// How an attempt ended.
pub(crate) struct AttemptResult<'a> {
    pub(crate) outcome: Outcome,
    /// The request has concluded: no further answer is owed to the client.
    pub(crate) concluded: bool,
    pub(crate) report: &'a LoadReport,
}

impl Dispatcher {
    /// Creates a dispatcher without workers or jobs. Equal seeds and events produce equal actions.
    ///
    /// # Errors
    ///
    /// Returns the first settings field whose value is invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Dispatcher, SettingsError> {
        settings.check()?;
        let work = WorkEstimates::new(&settings.classes);
        let mean_run_time = (work.mean_work.mean * SECOND as f64) as Micros;
        let tick = (mean_run_time / 2).clamp(SECOND / 1000, SECOND);
        Ok(Dispatcher {
            rng: oorandom::Rand64::new(seed as u128),
            now: 0,
            started: false,
            workers: Vec::new(),
            worker_index: BTreeMap::new(),
            jobs: JobTable::default(),
            work,
            slowdown: SlowdownEstimates::default(),
            max_slots_by_kind: BTreeMap::new(),
            arrivals: ArrivalRates::new(settings.tenants.len()),
            retry_counter: RetryCounter::default(),
            prices: PriceState::new(tick),
            placement: Placement::new(),
            timers: PassTimers::default(),
            discovery: DiscoveryState::new(&settings),
            min_start_delay: BTreeMap::new(),
            sequence_position: sequence_position(settings.instance_index, settings.fleet_size),
            settings,
        })
    }

    /// Handles the events that occurred at `now` and appends the resulting actions to `out`, in order. `now`
    /// must never run backwards.
    pub fn step(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now;
        if !self.started {
            self.start(out);
        }
        let mut may_release = false;
        for event in events {
            may_release |= self.handle_event(event, out);
        }
        self.withdraw_stalled_attempts(out);
        if now - self.timers.overdue_checked_at >= self.prices.tick / 2 {
            self.timers.overdue_checked_at = now;
            may_release |= self.check_overdue_attempts(out);
        }
        if may_release && !self.jobs.waiting.is_empty() {
            self.release(out);
        }
        self.set_tick_timer(out);
    }

    /// Starts the clocks and the polling of the discovery service. Many dispatchers may start at once and
    /// the discovery service serves one call at a time, so each instance makes its first poll after a
    /// different delay.
    fn start(&mut self, out: &mut Vec<Action>) {
        self.started = true;
        self.prices.start(self.now);
        self.timers.overdue_checked_at = self.now;
        self.arrivals.start(self.now);
        if self.settings.watch_required {
            let delay = self.discovery.poll_schedule.first_delay(self.settings.poll_parameters());
            out.push(Action::Timer { delay, token: POLL_TOKEN });
        }
    }

    /// Handles one event. Returns whether it may allow a waiting job to be sent.
    fn handle_event(&mut self, event: &Event, out: &mut Vec<Action>) -> bool {
        match event {
            Event::EndpointList { mode, endpoints } => self.list_received(*mode, endpoints, out),
            Event::WatchEnded(end) => self.watch_ended(*end, out),
            Event::DiscoveryMoved(at) => self.discovery.lease.discovery_moved(*at),
            Event::SuspensionChanged { worker, suspended: true } => self.suspend(*worker, out),
            Event::SuspensionChanged { worker, suspended: false } => self.restore(*worker, out),
            Event::JobArrived(request) => self.admit(request, out),
            Event::StreamAccepted { job, .. } => self.jobs.stream_accepted(*job),
            Event::AttemptProgress { job, attempt, update } => {
                self.attempt_progressed(*job, *attempt, *update);
                return false;
            }
            Event::LateReportPossible { job, worker } => {
                let worker = self.worker_index.get(worker).copied();
                self.jobs.expect_late_report(*job, worker);
            }
            Event::AttemptEnded { job, attempt, outcome, concluded, report } => {
                let result = AttemptResult { outcome: *outcome, concluded: *concluded, report };
                self.attempt_ended(*job, *attempt, &result, out);
            }
            Event::ClientDisconnected(job) => self.end_job(*job, out),
            Event::TimerFired(token) => self.timer_fired(*token, out),
            Event::HealthCheckEnded { worker, ok: true, report } => {
                self.health_check_passed(*worker, report);
            }
            Event::HealthCheckEnded { ok: false, .. } => {}
        }
        true
    }

    fn timer_fired(&mut self, token: u64, out: &mut Vec<Action>) {
        match token {
            TICK_TOKEN => self.timers.tick_due = None,
            POLL_TOKEN => {
                if self.discovery.poll_schedule.begin_poll(self.now) {
                    out.push(Action::WatchEndpoints);
                }
            }
            // Nothing to do: every step looks for attempts that have not started in time.
            MIGRATION_TOKEN => {}
            job => self.deadline_reached(JobId(job as u32), out),
        }
    }

    /// Sets a timer for the next pass, unless one is due earlier, and only while there are jobs.
    fn set_tick_timer(&mut self, out: &mut Vec<Action>) {
        let passes_per_tick = if self.jobs.waiting.is_empty() { 2 } else { 8 };
        let delay = (self.prices.tick / passes_per_tick).max(self.settings.tick);
        let due = self.now + delay;
        if !self.jobs.by_id.is_empty() && self.timers.tick_due.is_none_or(|earlier| earlier > due) {
            self.timers.tick_due = Some(due);
            out.push(Action::Timer { delay, token: TICK_TOKEN });
        }
    }

    /// Whether the lease on the endpoint list is valid. Nothing is sent while it is not.
    #[must_use]
    pub fn list_is_valid(&self) -> bool {
        self.discovery.lease.is_valid(self.now)
    }

    /// When the lease on the endpoint list expires, or has expired; `None` while it has no end, and before it
    /// was first valid.
    #[must_use]
    pub fn list_expires_at(&self) -> Option<Micros> {
        self.discovery.lease.expires_at()
    }

    /// Whether a worker is currently avoided: suspended by an operator, ejected, or in backoff after an
    /// error.
    #[must_use]
    pub fn is_avoided(&self, worker: WorkerId) -> bool {
        if self.discovery.suspended.contains(&worker) {
            return true;
        }
        let Some(&index) = self.worker_index.get(&worker) else { return false };
        let worker = &self.workers[index];
        worker.ready && worker.health.is_avoided(self.now)
    }

    /// Replaces the settings.
    ///
    /// # Errors
    ///
    /// Returns the first field whose value is invalid. The numbers of classes and tenants must not change.
    pub fn update_settings(&mut self, settings: &Settings) -> Result<(), SettingsError> {
        settings.check()?;
        let same_classes = settings.classes.len() == self.settings.classes.len();
        let same_tenants = settings.tenants.len() == self.settings.tenants.len();
        if !same_classes || !same_tenants {
            let problem = "must not change in number";
            return Err(SettingsError { field: "classes and tenants".to_owned(), problem });
        }
        self.settings = settings.clone();
        self.sequence_position = sequence_position(settings.instance_index, settings.fleet_size);
        self.discovery.lease.set_connect_timeout(settings.limits.connect_timeout);
        Ok(())
    }

    /// Rank of this dispatcher in the permutation of the fleet after rotating it by the hash `rotation`.
    pub(crate) fn sequence_rank(&self, rotation: u64) -> u64 {
        let fleet_size = u64::from(self.settings.fleet_size);
        (self.sequence_position + rotation % fleet_size) % fleet_size
    }

    /// Mean run time in microseconds, at least one tick.
    pub(crate) fn mean_run_time(&self) -> f64 {
        let slowdown = self.slowdown.fleet_mean(self.now);
        let run_time = self.work.mean_work.mean * slowdown.exp() * SECOND as f64;
        run_time.max(self.prices.tick as f64)
    }
}
