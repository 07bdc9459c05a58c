//! Plays one drawn sequence of events through the public interface, and hashes the actions that it causes.

use crate::sites::{MILLISECOND, Site, settings};
use oorandom::Rand32;
use roselock::*;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// Steps of one sequence.
const STEPS: usize = 5_000;
/// Workers that a sequence may list.
const WORKERS: u64 = 14;
const ZONES: u64 = 3;
const KINDS: u64 = 2;

/// An attempt that is out, and what its worker does when.
struct Attempt {
    job: JobId,
    round: u32,
    worker: WorkerId,
    started: Option<Micros>,
    progress: Option<Micros>,
    ends: Micros,
    outcome: Outcome,
}

/// Plays one sequence and hashes what it causes.
pub struct Player {
    dispatcher: Dispatcher,
    set: Settings,
    random: Rand32,
    now: Micros,
    hash: Sha256,
    timers: BTreeSet<(Micros, u64)>,
    attempts: Vec<Attempt>,
    rounds: BTreeMap<JobId, u32>,
    jobs: u32,
    up_since: BTreeMap<u64, Option<Micros>>,
    suspended: BTreeSet<u64>,
    /// How often each kind of action came.
    seen: [usize; 9],
}

impl Player {
    /// A sequence of a site, drawn from a seed.
    pub fn new(site: Site, seed: u64) -> Player {
        let set = settings(site);
        Player {
            dispatcher: Dispatcher::new(set.clone(), seed).expect("settings are valid"),
            set,
            random: Rand32::new(seed),
            now: 3 * SECOND,
            hash: Sha256::new(),
            timers: BTreeSet::new(),
            attempts: Vec::new(),
            rounds: BTreeMap::new(),
            jobs: 0,
            up_since: BTreeMap::new(),
            suspended: BTreeSet::new(),
            seen: [0; 9],
        }
    }

    /// A number below `n`.
    fn draw(&mut self, n: u32) -> u32 {
        self.random.rand_range(0..n)
    }

    /// True in `percent` of a hundred cases.
    fn chance(&mut self, percent: u32) -> bool {
        self.draw(100) < percent
    }

    fn span(&mut self, most: Micros) -> Micros {
        Micros::from(self.draw(most as u32))
    }

    fn endpoint(&mut self, worker: u64) -> Endpoint {
        let state = match self.draw(12) {
            0 => EndpointState::Draining,
            1 => EndpointState::Gone,
            _ => EndpointState::Ready,
        };
        if self.chance(6) {
            // The clock of a worker's machine may be stepped either way.
            let offset = self.span(8 * SECOND) - 4 * SECOND;
            let started = (self.draw(4) > 0).then_some(self.now + offset);
            self.up_since.insert(worker, started);
        }
        Endpoint {
            worker: WorkerId(worker * 0x9e37_79b9),
            state,
            zone: ZoneId((worker % ZONES) as u16),
            cell: CellId(worker as u32 / 2),
            kind: KindId((worker % KINDS) as u16),
            units: f64::from(1 + self.draw(8)) / 4.0,
            started_at: self.up_since.get(&worker).copied().flatten(),
        }
    }

    fn list(&mut self, mode: ListMode) -> Event {
        let mut entries = Vec::new();
        for worker in 0..WORKERS {
            let percent = if mode.is_complete() { 85 } else { 15 };
            if self.chance(percent) {
                entries.push(self.endpoint(worker));
            }
        }
        Event::EndpointList { mode, endpoints: entries }
    }

    fn arrival(&mut self) -> Event {
        self.jobs += 1;
        let hint = match self.draw(6) {
            0 => None,
            1 => Some(f64::NAN),
            n => Some(f64::from(n) * 0.04),
        };
        let tenants = self.set.tenants.len() as u32;
        Event::JobArrived(JobRequest {
            job: JobId(self.jobs),
            class: ClassId(self.draw(5) as u16),
            tenant: (tenants > 0 && self.chance(80)).then_some(TenantId(self.draw(3) as u16)),
            slots: [0.5, 1.0, 2.0][self.draw(3) as usize],
            memory: [0.0, 0.0, 1.0][self.draw(3) as usize],
            work_hint: hint,
            key: self.chance(50).then_some(KeyId(u64::from(self.draw(20)))),
            budget: [5 * SECOND, SECOND, SECOND / 4, 0][self.draw(4) as usize],
        })
    }

    fn report(&mut self) -> LoadReport {
        let known = self.chance(60);
        LoadReport {
            free_slots: known.then(|| f64::from(self.draw(12)) - 1.0),
            free_memory: known.then(|| f64::from(self.draw(6))),
            delayed: self.chance(50),
            utilization: Some(0.5),
            service_time: Some(self.span(SECOND)),
        }
    }

    fn watch_end(&mut self) -> Event {
        let reasons = [
            WatchEndReason::Refused,
            WatchEndReason::Unreachable,
            WatchEndReason::LocalFailure,
            WatchEndReason::Silent,
        ];
        let reason = reasons[self.draw(4) as usize];
        Event::WatchEnded(WatchEnd { reason, in_sync_until: self.now - self.span(3 * SECOND) })
    }

    fn suspension(&mut self) -> Event {
        let worker = u64::from(self.draw(WORKERS as u32 + 2));
        let out = !self.suspended.remove(&worker);
        if out {
            self.suspended.insert(worker);
        }
        Event::SuspensionChanged { worker: WorkerId(worker * 0x9e37_79b9), suspended: out }
    }

    /// Events that no attempt is the cause of.
    fn outside(&mut self, events: &mut Vec<Event>) {
        // Crowds come and go.
        let crowd = (self.now / (5 * SECOND)) % 3;
        for _ in 0..=crowd {
            if self.chance(35) {
                events.push(self.arrival());
            }
        }
        match self.draw(400) {
            0..=3 => events.push(self.list(ListMode::Complete)),
            4..=12 => events.push(self.list(ListMode::Changes)),
            13..=15 => events.push(self.watch_end()),
            16 => events.push(Event::DiscoveryMoved(self.now)),
            17..=19 => events.push(self.suspension()),
            20..=23 => {
                let job = JobId(self.jobs.saturating_sub(self.draw(30)));
                events.push(Event::ClientDisconnected(job));
            }
            24..=30 => {
                let (worker, ok) =
                    (WorkerId(u64::from(self.draw(WORKERS as u32)) * 0x9e37_79b9), self.chance(70));
                events.push(Event::HealthCheckEnded { worker, ok, report: self.report() });
            }
            31 => events.push(Event::TimerFired(u64::from(self.draw(1000)))),
            32 => {
                // News of what never was.
                let (job, round) = (JobId(1 << 30), 3);
                events.push(Event::AttemptProgress { job, attempt: round, update: AttemptUpdate::Started });
                events.push(Event::StreamAccepted { job, attempt: round });
            }
            _ => {}
        }
    }

    /// What the attempts cause that are due.
    fn inside(&mut self, events: &mut Vec<Event>) {
        let now = self.now;
        let mut kept = Vec::new();
        for mut attempt in std::mem::take(&mut self.attempts) {
            let (job, round) = (attempt.job, attempt.round);
            if attempt.started.take_if(|at| *at <= now).is_some() {
                events.push(Event::AttemptProgress { job, attempt: round, update: AttemptUpdate::Started });
                if self.set.classes.iter().any(|c| c.streaming) && self.chance(30) {
                    events.push(Event::StreamAccepted { job, attempt: round });
                }
            }
            if attempt.progress.take_if(|at| *at <= now).is_some() {
                let share = f64::from(self.draw(110)) / 100.0;
                events.push(Event::AttemptProgress {
                    job,
                    attempt: round,
                    update: AttemptUpdate::Progress(share),
                });
                attempt.progress = self.chance(70).then_some(now + SECOND / 4);
            }
            if attempt.ends > now {
                kept.push(attempt);
                continue;
            }
            if self.chance(5) {
                events.push(Event::LateReportPossible { job, worker: attempt.worker });
            }
            let last = attempt.outcome == Outcome::Ok || self.chance(2);
            let gauge = self.report();
            events.push(Event::AttemptEnded {
                job,
                attempt: round,
                outcome: attempt.outcome,
                concluded: last,
                report: gauge,
            });
        }
        self.attempts.extend(kept);
    }

    fn timers_due(&mut self, events: &mut Vec<Event>) {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.0 <= self.now) {
            self.timers.remove(&timer);
            events.push(Event::TimerFired(timer.1));
        }
    }

    fn sent(&mut self, job: JobId, worker: WorkerId) {
        let round = self.rounds.entry(job).or_insert(0);
        let (number, now) = (*round, self.now);
        *round += 1;
        let outcomes = [
            Outcome::Error,
            Outcome::Rejected,
            Outcome::Timeout,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::NotStarted,
        ];
        // One zone has all the trouble for some time, then another.
        let troubled = worker.0 / 0x9e37_79b9 % ZONES == (now / (4 * SECOND)) as u64 % (ZONES + 2);
        let fails = self.chance(if troubled { 60 } else { 4 });
        let outcome = if fails { outcomes[self.draw(6) as usize] } else { Outcome::Ok };
        let wait = if self.chance(20) { self.span(SECOND) } else { self.span(10 * MILLISECOND) };
        let run = 10 * MILLISECOND + self.span(SECOND / 2) * if troubled { 4 } else { 1 };
        let starts = self.chance(90)
            && !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotStarted);
        let at_once = matches!(outcome, Outcome::Rejected | Outcome::NotStarted) || self.chance(10);
        self.attempts.push(Attempt {
            job,
            round: number,
            worker,
            started: starts.then_some(now + wait),
            progress: (starts && self.set.progress_interval > 0).then_some(now + wait + SECOND / 4),
            ends: now + if at_once { MILLISECOND } else { wait + run },
            outcome,
        });
    }

    /// Encodes an action, and does what it asks for.
    fn act(&mut self, action: &Action) {
        let (kind, numbers) = match *action {
            Action::Send { job, worker, timeout } => {
                self.sent(job, worker);
                (0, [u64::from(job.0), worker.0, timeout as u64])
            }
            Action::Cancel { job, attempt } => {
                let ends = self.now + self.span(20 * MILLISECOND);
                let cancelled = self.chance(80);
                for attempt in self.attempts.iter_mut().filter(|a| a.job == job && a.round == attempt) {
                    attempt.ends = attempt.ends.min(ends);
                    attempt.outcome = if cancelled { Outcome::Cancelled } else { attempt.outcome };
                }
                (1, [u64::from(job.0), u64::from(attempt), 0])
            }
            Action::Reject { job, retry_after } => (2, [u64::from(job.0), retry_after as u64, 0]),
            Action::Fail { job } => (3, [u64::from(job.0), 0, 0]),
            Action::Timer { delay, token } => {
                let late = if self.chance(5) { self.span(20 * MILLISECOND) } else { 0 };
                self.timers.insert((self.now + delay + late, token));
                (4, [delay as u64, token, 0])
            }
            Action::WatchEndpoints => (5, [0; 3]),
            Action::HealthCheck(worker) => (6, [worker.0, 0, 0]),
            Action::CloseIdleConnections(worker) => (7, [worker.0, 0, 0]),
            // The text is for people.
            Action::Log { worker, .. } => (8, [worker.0, 0, 0]),
        };
        self.seen[kind] += 1;
        self.hash.update([kind as u8]);
        for number in numbers {
            self.hash.update(number.to_le_bytes());
        }
    }

    fn step(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.dispatcher.step(self.now, events, &mut actions);
        self.hash.update(self.now.to_le_bytes());
        for action in &actions {
            self.act(action);
        }
        self.hash.update([0xff, u8::from(self.dispatcher.list_is_valid())]);
        for worker in 0..WORKERS {
            self.hash.update([u8::from(self.dispatcher.is_avoided(WorkerId(worker * 0x9e37_79b9)))]);
        }
    }

    fn new_settings(&mut self) {
        self.set.fleet_size = (self.set.fleet_size + self.draw(3)).max(1);
        self.set.costs.cross_zone = f64::from(self.draw(10)) / 100.0;
        self.set.limits.connect_timeout = SECOND / 4 + self.span(SECOND);
        self.dispatcher.update_settings(&self.set).expect("classes and tenants are the same");
    }

    /// Plays the sequence; returns the hash in hexadecimal digits, and how often each kind of action came.
    pub fn play(mut self) -> (String, [usize; 9]) {
        let first = self.list(ListMode::Cached);
        self.step(&[first]);
        for _ in 0..STEPS {
            self.now += match self.draw(100) {
                0 => SECOND / 2 + self.span(2 * SECOND),
                1..=9 => self.span(100 * MILLISECOND),
                _ => 2 * MILLISECOND + self.span(8 * MILLISECOND),
            };
            let mut events = Vec::new();
            self.timers_due(&mut events);
            self.inside(&mut events);
            self.outside(&mut events);
            self.step(&events);
            if self.draw(500) == 0 {
                self.new_settings();
            }
        }
        let digits = self.hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        (digits, self.seen)
    }
}
