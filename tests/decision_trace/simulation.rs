//! Feeds a seeded random sequence of events to the dispatcher through its public interface and hashes the resulting actions.

use crate::scenarios::{MILLISECOND, Scenario, settings};
use oorandom::Rand32;
use roselock::*;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// Steps of one sequence.
const STEPS_PER_SEQUENCE: usize = 5_000;
/// Number of distinct workers that the endpoint lists of a sequence draw from.
const WORKER_COUNT: u64 = 14;
const ZONE_COUNT: u64 = 3;
const KIND_COUNT: u64 = 2;

/// An attempt in flight and the times at which its worker reports a start, progress and the end.
struct SimulatedAttempt {
    job: JobId,
    number: u32,
    worker: WorkerId,
    started_at: Option<Micros>,
    progress_at: Option<Micros>,
    ends_at: Micros,
    outcome: Outcome,
}

/// Simulates workers, clients and the discovery service around one dispatcher, and hashes each step's actions.
pub struct Simulation {
    dispatcher: Dispatcher,
    settings: Settings,
    rng: Rand32,
    now: Micros,
    hash: Sha256,
    timers: BTreeSet<(Micros, u64)>,
    attempts: Vec<SimulatedAttempt>,
    next_attempt: BTreeMap<JobId, u32>,
    last_job: u32,
    started_at: BTreeMap<u64, Option<Micros>>,
    suspended: BTreeSet<u64>,
    /// Number of actions of each kind, indexed by the kind's number in the encoding.
    action_counts: [usize; 9],
}

impl Simulation {
    /// Creates a simulation with the settings of a scenario; the seed determines the sequence of events.
    pub fn new(scenario: Scenario, seed: u64) -> Simulation {
        let settings = settings(scenario);
        Simulation {
            dispatcher: Dispatcher::new(settings.clone(), seed).expect("settings are valid"),
            settings,
            rng: Rand32::new(seed),
            now: 3 * SECOND,
            hash: Sha256::new(),
            timers: BTreeSet::new(),
            attempts: Vec::new(),
            next_attempt: BTreeMap::new(),
            last_job: 0,
            started_at: BTreeMap::new(),
            suspended: BTreeSet::new(),
            action_counts: [0; 9],
        }
    }

    fn random_below(&mut self, bound: u32) -> u32 {
        self.rng.rand_range(0..bound)
    }

    /// Returns true with a probability of `percent`/100.
    fn chance(&mut self, percent: u32) -> bool {
        self.random_below(100) < percent
    }

    fn random_duration(&mut self, bound: Micros) -> Micros {
        Micros::from(self.random_below(bound as u32))
    }

    fn endpoint(&mut self, worker: u64) -> Endpoint {
        let state = match self.random_below(12) {
            0 => EndpointState::Draining,
            1 => EndpointState::Gone,
            _ => EndpointState::Ready,
        };
        if self.chance(6) {
            // A worker's clock may be ahead of or behind the dispatcher's, so its start time may lie in the future.
            let offset = self.random_duration(8 * SECOND) - 4 * SECOND;
            let started_at = (self.random_below(4) > 0).then_some(self.now + offset);
            self.started_at.insert(worker, started_at);
        }
        Endpoint {
            worker: WorkerId(worker * 0x9e37_79b9),
            state,
            zone: ZoneId((worker % ZONE_COUNT) as u16),
            cell: CellId(worker as u32 / 2),
            kind: KindId((worker % KIND_COUNT) as u16),
            units: f64::from(1 + self.random_below(8)) / 4.0,
            started_at: self.started_at.get(&worker).copied().flatten(),
        }
    }

    fn endpoint_list(&mut self, mode: ListMode) -> Event {
        let mut endpoints = Vec::new();
        for worker in 0..WORKER_COUNT {
            let percent = if mode.is_complete() { 85 } else { 15 };
            if self.chance(percent) {
                endpoints.push(self.endpoint(worker));
            }
        }
        Event::EndpointList { mode, endpoints }
    }

    fn job_arrival(&mut self) -> Event {
        self.last_job += 1;
        let work_hint = match self.random_below(6) {
            0 => None,
            1 => Some(f64::NAN),
            n => Some(f64::from(n) * 0.04),
        };
        let tenant_count = self.settings.tenants.len() as u32;
        Event::JobArrived(JobRequest {
            job: JobId(self.last_job),
            class: ClassId(self.random_below(5) as u16),
            tenant: (tenant_count > 0 && self.chance(80)).then_some(TenantId(self.random_below(3) as u16)),
            slots: [0.5, 1.0, 2.0][self.random_below(3) as usize],
            memory: [0.0, 0.0, 1.0][self.random_below(3) as usize],
            work_hint,
            key: self.chance(50).then_some(KeyId(u64::from(self.random_below(20)))),
            budget: [5 * SECOND, SECOND, SECOND / 4, 0][self.random_below(4) as usize],
        })
    }

    fn load_report(&mut self) -> LoadReport {
        let has_capacity = self.chance(60);
        LoadReport {
            free_slots: has_capacity.then(|| f64::from(self.random_below(12)) - 1.0),
            free_memory: has_capacity.then(|| f64::from(self.random_below(6))),
            delayed: self.chance(50),
            utilization: Some(0.5),
            service_time: Some(self.random_duration(SECOND)),
        }
    }

    fn watch_end(&mut self) -> Event {
        let reasons = [
            WatchEndReason::Refused,
            WatchEndReason::Unreachable,
            WatchEndReason::LocalFailure,
            WatchEndReason::TimedOut,
        ];
        let reason = reasons[self.random_below(4) as usize];
        Event::WatchEnded(WatchEnd { reason, in_sync_until: self.now - self.random_duration(3 * SECOND) })
    }

    fn suspension_change(&mut self) -> Event {
        let worker = u64::from(self.random_below(WORKER_COUNT as u32 + 2));
        let suspended = !self.suspended.remove(&worker);
        if suspended {
            self.suspended.insert(worker);
        }
        Event::SuspensionChanged { worker: WorkerId(worker * 0x9e37_79b9), suspended }
    }

    /// Adds the events of this step that do not follow from an attempt: arrivals, the discovery service, operators and clients.
    fn push_external_events(&mut self, events: &mut Vec<Event>) {
        // The arrival rate changes every 5 s between one, two and three times the base rate.
        let extra_draws = (self.now / (5 * SECOND)) % 3;
        for _ in 0..=extra_draws {
            if self.chance(35) {
                events.push(self.job_arrival());
            }
        }
        match self.random_below(400) {
            0..=3 => events.push(self.endpoint_list(ListMode::Complete)),
            4..=12 => events.push(self.endpoint_list(ListMode::Changes)),
            13..=15 => events.push(self.watch_end()),
            16 => events.push(Event::DiscoveryMoved(self.now)),
            17..=19 => events.push(self.suspension_change()),
            20..=23 => {
                let job = JobId(self.last_job.saturating_sub(self.random_below(30)));
                events.push(Event::ClientDisconnected(job));
            }
            24..=30 => {
                let (worker, ok) = (
                    WorkerId(u64::from(self.random_below(WORKER_COUNT as u32)) * 0x9e37_79b9),
                    self.chance(70),
                );
                events.push(Event::HealthCheckEnded { worker, ok, report: self.load_report() });
            }
            31 => events.push(Event::TimerFired(u64::from(self.random_below(1000)))),
            32 => {
                // Events of a job that never arrived.
                let (job, attempt_number) = (JobId(1 << 30), 3);
                events.push(Event::AttemptProgress {
                    job,
                    attempt: attempt_number,
                    update: AttemptUpdate::Started,
                });
                events.push(Event::StreamAccepted { job, attempt: attempt_number });
            }
            _ => {}
        }
    }

    /// Adds the starts, progress updates and ends that are due at the attempts in flight.
    fn push_attempt_events(&mut self, events: &mut Vec<Event>) {
        let now = self.now;
        let mut in_flight = Vec::new();
        for mut attempt in std::mem::take(&mut self.attempts) {
            let (job, attempt_number) = (attempt.job, attempt.number);
            if attempt.started_at.take_if(|at| *at <= now).is_some() {
                events.push(Event::AttemptProgress {
                    job,
                    attempt: attempt_number,
                    update: AttemptUpdate::Started,
                });
                if self.settings.classes.iter().any(|c| c.streaming) && self.chance(30) {
                    events.push(Event::StreamAccepted { job, attempt: attempt_number });
                }
            }
            if attempt.progress_at.take_if(|at| *at <= now).is_some() {
                // Up to 1.09, so that updates beyond the valid range occur.
                let fraction = f64::from(self.random_below(110)) / 100.0;
                events.push(Event::AttemptProgress {
                    job,
                    attempt: attempt_number,
                    update: AttemptUpdate::Progress(fraction),
                });
                attempt.progress_at = self.chance(70).then_some(now + SECOND / 4);
            }
            if attempt.ends_at > now {
                in_flight.push(attempt);
                continue;
            }
            if self.chance(5) {
                events.push(Event::LateReportPossible { job, worker: attempt.worker });
            }
            let concluded = attempt.outcome == Outcome::Ok || self.chance(2);
            let report = self.load_report();
            events.push(Event::AttemptEnded {
                job,
                attempt: attempt_number,
                outcome: attempt.outcome,
                concluded,
                report,
            });
        }
        self.attempts.extend(in_flight);
    }

    fn push_due_timers(&mut self, events: &mut Vec<Event>) {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.0 <= self.now) {
            self.timers.remove(&timer);
            events.push(Event::TimerFired(timer.1));
        }
    }

    fn on_send(&mut self, job: JobId, worker: WorkerId) {
        let next_attempt = self.next_attempt.entry(job).or_insert(0);
        let (number, now) = (*next_attempt, self.now);
        *next_attempt += 1;
        let failures = [
            Outcome::Error,
            Outcome::Rejected,
            Outcome::Timeout,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::NotStarted,
        ];
        // Zones are degraded one after another, 4 s each, followed by two such periods without a degraded zone.
        let is_degraded =
            worker.0 / 0x9e37_79b9 % ZONE_COUNT == (now / (4 * SECOND)) as u64 % (ZONE_COUNT + 2);
        let fails = self.chance(if is_degraded { 60 } else { 4 });
        let outcome = if fails { failures[self.random_below(6) as usize] } else { Outcome::Ok };
        let start_delay = if self.chance(20) {
            self.random_duration(SECOND)
        } else {
            self.random_duration(10 * MILLISECOND)
        };
        let run_time = 10 * MILLISECOND + self.random_duration(SECOND / 2) * if is_degraded { 4 } else { 1 };
        let reports_start = self.chance(90)
            && !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotStarted);
        let ends_at_once = matches!(outcome, Outcome::Rejected | Outcome::NotStarted) || self.chance(10);
        self.attempts.push(SimulatedAttempt {
            job,
            number,
            worker,
            started_at: reports_start.then_some(now + start_delay),
            progress_at: (reports_start && self.settings.progress_interval > 0)
                .then_some(now + start_delay + SECOND / 4),
            ends_at: now + if ends_at_once { MILLISECOND } else { start_delay + run_time },
            outcome,
        });
    }

    /// Adds an action to the hash and applies its effect on the simulated attempts and timers.
    fn apply_action(&mut self, action: &Action) {
        let (kind, fields) = match *action {
            Action::Send { job, worker, timeout } => {
                self.on_send(job, worker);
                (0, [u64::from(job.0), worker.0, timeout as u64])
            }
            Action::Cancel { job, attempt } => {
                let ends_at = self.now + self.random_duration(20 * MILLISECOND);
                let cancelled = self.chance(80);
                for attempt in self.attempts.iter_mut().filter(|a| a.job == job && a.number == attempt) {
                    attempt.ends_at = attempt.ends_at.min(ends_at);
                    attempt.outcome = if cancelled { Outcome::Cancelled } else { attempt.outcome };
                }
                (1, [u64::from(job.0), u64::from(attempt), 0])
            }
            Action::Reject { job, retry_after } => (2, [u64::from(job.0), retry_after as u64, 0]),
            Action::Fail { job } => (3, [u64::from(job.0), 0, 0]),
            Action::Timer { delay, token } => {
                let lateness = if self.chance(5) { self.random_duration(20 * MILLISECOND) } else { 0 };
                self.timers.insert((self.now + delay + lateness, token));
                (4, [delay as u64, token, 0])
            }
            Action::WatchEndpoints => (5, [0; 3]),
            Action::HealthCheck(worker) => (6, [worker.0, 0, 0]),
            Action::CloseIdleConnections(worker) => (7, [worker.0, 0, 0]),
            // The text of a log line is left out, so that rewording one does not change the hash.
            Action::Log { worker, .. } => (8, [worker.0, 0, 0]),
        };
        self.action_counts[kind] += 1;
        self.hash.update([kind as u8]);
        for field in fields {
            self.hash.update(field.to_le_bytes());
        }
    }

    fn step(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.dispatcher.step(self.now, events, &mut actions);
        self.hash.update(self.now.to_le_bytes());
        for action in &actions {
            self.apply_action(action);
        }
        self.hash.update([0xff, u8::from(self.dispatcher.list_is_valid())]);
        for worker in 0..WORKER_COUNT {
            self.hash.update([u8::from(self.dispatcher.is_avoided(WorkerId(worker * 0x9e37_79b9)))]);
        }
    }

    fn change_settings(&mut self) {
        self.settings.fleet_size = (self.settings.fleet_size + self.random_below(3)).max(1);
        self.settings.costs.cross_zone = f64::from(self.random_below(10)) / 100.0;
        self.settings.limits.connect_timeout = SECOND / 4 + self.random_duration(SECOND);
        self.dispatcher.update_settings(&self.settings).expect("classes and tenants are the same");
    }

    /// Runs the sequence; returns the hash in hexadecimal and the number of actions of each kind.
    pub fn run(mut self) -> (String, [usize; 9]) {
        let cached_list = self.endpoint_list(ListMode::Cached);
        self.step(&[cached_list]);
        for _ in 0..STEPS_PER_SEQUENCE {
            self.now += match self.random_below(100) {
                0 => SECOND / 2 + self.random_duration(2 * SECOND),
                1..=9 => self.random_duration(100 * MILLISECOND),
                _ => 2 * MILLISECOND + self.random_duration(8 * MILLISECOND),
            };
            let mut events = Vec::new();
            self.push_due_timers(&mut events);
            self.push_attempt_events(&mut events);
            self.push_external_events(&mut events);
            self.step(&events);
            if self.random_below(500) == 0 {
                self.change_settings();
            }
        }
        let digest = self.hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        (digest, self.action_counts)
    }
}
