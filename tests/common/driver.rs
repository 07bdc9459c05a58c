//! A test driver around one dispatcher: feeds it events, fires its timers and asserts the rules on every action.

use super::{IDEMPOTENT, attempt_ended, attempt_started, job_arrived, ready_workers, sends};
use roselock::*;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that has been sent and has not ended.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    pub job: u32,
    pub attempt: u32,
    pub worker: u64,
}

/// State that the driver tracks for an attempt.
#[derive(Clone, Copy)]
struct SentAttempt {
    worker: u64,
    sent_at: Micros,
    in_flight: bool,
    never_ran: bool,
}

/// State that the driver tracks for a job.
struct TrackedJob {
    class: u16,
    deadline: Micros,
    attempts: Vec<SentAttempt>,
    concluded: bool,
}

/// Runs a dispatcher at a simulated time, fires its timers and asserts the rules.
pub struct Driver {
    pub dispatcher: Dispatcher,
    pub settings: Settings,
    pub now: Micros,
    /// All actions so far, each with the time of its step.
    pub log: Vec<(Micros, Action)>,
    timers: BTreeSet<(Micros, u64)>,
    jobs: BTreeMap<u32, TrackedJob>,
    listed: BTreeMap<u64, Endpoint>,
}

impl Driver {
    pub fn new(settings: Settings) -> Driver {
        Driver {
            dispatcher: Dispatcher::new(settings.clone(), 7).expect("valid settings"),
            settings,
            now: SECOND,
            log: vec![],
            timers: BTreeSet::new(),
            jobs: BTreeMap::new(),
            listed: BTreeMap::new(),
        }
    }

    pub fn with_workers(settings: Settings, workers: u64) -> Driver {
        let mut driver = Driver::new(settings);
        driver.feed(&[ready_workers(workers)]);
        driver
    }

    /// Feeds events at the current time; returns the resulting actions.
    pub fn feed(&mut self, events: &[Event]) -> Vec<Action> {
        for event in events {
            self.track(event);
        }
        let mut actions = vec![];
        self.dispatcher.step(self.now, events, &mut actions);
        for action in &actions {
            self.assert_rules(action);
        }
        self.log.extend(actions.iter().map(|action| (self.now, action.clone())));
        actions
    }

    /// Advances the time by `duration` and fires the timers that become due; returns the resulting actions.
    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let end = self.now + duration;
        let logged = self.log.len();
        while let Some(&(at, token)) = self.timers.iter().next().filter(|timer| timer.0 <= end) {
            self.timers.remove(&(at, token));
            self.now = self.now.max(at);
            self.feed(&[Event::TimerFired(token)]);
        }
        self.now = end;
        self.assert_answered_in_time();
        self.actions_since(logged)
    }

    /// Returns the logged actions from `index` on.
    pub fn actions_since(&self, index: usize) -> Vec<Action> {
        self.log[index..].iter().map(|(_, action)| action.clone()).collect()
    }

    /// Returns the attempts in flight, ordered by job and attempt.
    pub fn in_flight(&self) -> Vec<InFlightAttempt> {
        let mut in_flight = vec![];
        for (job, tracked) in &self.jobs {
            for (attempt, sent) in tracked.attempts.iter().enumerate() {
                if sent.in_flight {
                    in_flight.push(InFlightAttempt {
                        job: *job,
                        attempt: attempt as u32,
                        worker: sent.worker,
                    });
                }
            }
        }
        in_flight
    }

    pub fn is_concluded(&self, job: u32) -> bool {
        self.jobs[&job].concluded
    }

    /// Starts and ends all attempts in flight, one every 10 ms: those at `faulty` with `outcome`, all others with `Ok`.
    pub fn complete_all(&mut self, faulty: u64, outcome: Outcome) {
        for InFlightAttempt { job, attempt, worker } in self.in_flight() {
            self.feed(&[attempt_started(job, attempt)]);
            self.advance(SECOND / 100);
            let end = if worker == faulty { outcome } else { Outcome::Ok };
            self.feed(&[attempt_ended(job, attempt, end)]);
        }
    }

    /// Feeds a job every 25 ms for `duration` and lets each run for 0.2 s, its work; returns the sends to each of eight workers.
    pub fn count_sends_under_load(&mut self, first_job: u32, duration: Micros) -> [usize; 8] {
        const INTERVAL: Micros = 25_000;
        let mut counts = [0; 8];
        let mut started_at: BTreeMap<u32, Micros> = BTreeMap::new();
        for index in 0..(duration / INTERVAL) as u32 {
            let mut actions = self.feed(&[job_arrived(first_job + index, IDEMPOTENT)]);
            for InFlightAttempt { job, attempt, .. } in self.in_flight() {
                match started_at.get(&job) {
                    None => {
                        actions.extend(self.feed(&[attempt_started(job, attempt)]));
                        started_at.insert(job, self.now);
                    }
                    Some(start) if self.now - start >= SECOND / 5 => {
                        actions.extend(self.feed(&[attempt_ended(job, attempt, Outcome::Ok)]));
                    }
                    Some(_) => {}
                }
            }
            actions.extend(self.advance(INTERVAL));
            for (_, worker) in sends(&actions) {
                counts[worker as usize] += 1;
            }
        }
        counts
    }

    /// Asserts rule 1: each job is answered by its deadline plus the answer grace.
    pub fn assert_answered_in_time(&self) {
        for (id, job) in &self.jobs {
            let latest = job.deadline + self.settings.safety.answer_grace;
            assert!(job.concluded || self.now <= latest, "rule 1: job {id} is not answered in time");
        }
    }

    /// Updates the tracked state by an event before the dispatcher receives it.
    fn track(&mut self, event: &Event) {
        match event {
            Event::JobArrived(request) => {
                let job = TrackedJob {
                    class: request.class.0,
                    deadline: self.now + request.budget,
                    attempts: vec![],
                    concluded: false,
                };
                self.jobs.entry(request.job.0).or_insert(job);
            }
            Event::AttemptEnded { job, attempt, outcome, concluded, .. } => {
                self.track_end(*job, *attempt, *outcome, *concluded);
            }
            Event::ClientDisconnected(job) => {
                if let Some(job) = self.jobs.get_mut(&job.0) {
                    job.concluded = true;
                }
            }
            Event::EndpointList { mode, endpoints } => {
                if mode.is_complete() {
                    self.listed.clear();
                }
                for endpoint in endpoints {
                    self.listed.insert(endpoint.worker.0, endpoint.clone());
                }
            }
            _ => {}
        }
    }

    fn track_end(&mut self, job: JobId, attempt: u32, outcome: Outcome, concluded: bool) {
        let Some(job) = self.jobs.get_mut(&job.0) else { return };
        let sent = job.attempts.get_mut(attempt as usize);
        let Some(sent) = sent.filter(|sent| sent.in_flight) else { return };
        sent.in_flight = false;
        sent.never_ran = outcome.never_ran(self.settings.safety.rejection_may_have_run);
        job.concluded |= concluded;
    }

    fn assert_rules(&mut self, action: &Action) {
        match action {
            Action::Timer { delay, token } => {
                assert!(*delay >= 0);
                // At the earliest in a later step, even with a delay of 0.
                self.timers.insert((self.now + (*delay).max(1), *token));
            }
            Action::Send { job, worker, .. } => self.assert_send_allowed(*job, *worker),
            Action::Reject { job, .. } => self.assert_answer_allowed(*job, true),
            Action::Fail { job } => self.assert_answer_allowed(*job, false),
            Action::Cancel { job, attempt } => {
                assert!(self.settings.limits.cancel);
                assert!((*attempt as usize) < self.jobs[&job.0].attempts.len());
            }
            Action::HealthCheck(_) => assert!(self.settings.limits.health_checks_allowed),
            Action::WatchEndpoints => assert!(self.settings.watch_required),
            Action::CloseIdleConnections(_) | Action::Log { .. } => {}
        }
    }

    fn assert_send_allowed(&mut self, job: JobId, worker: WorkerId) {
        let job = self.jobs.get_mut(&job.0).expect("a known job");
        let listed = self.listed.get(&worker.0).expect("a listed worker");
        assert!(!job.concluded, "rule 1: sent after the final answer");
        assert!(self.now < job.deadline);
        assert_eq!(listed.state, EndpointState::Ready, "rule 3: sent to a draining or gone worker");
        assert!(job.attempts.len() < self.settings.limits.max_attempts as usize);
        assert!(self.settings.limits.hedged_requests || job.attempts.iter().all(|sent| !sent.in_flight));
        let may_have_run: Vec<_> = job.attempts.iter().filter(|sent| !sent.never_ran).collect();
        match self.settings.classes[job.class as usize].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                assert!(may_have_run.is_empty(), "rule 2: a non-idempotent job is sent again")
            }
            Idempotency::IdempotencyKey { scope, window } => {
                for sent in may_have_run {
                    let earlier = self.listed.get(&sent.worker);
                    let shares_keys = match scope {
                        KeyScope::All => true,
                        KeyScope::Zone => earlier.is_none_or(|endpoint| endpoint.zone == listed.zone),
                        KeyScope::Cell => sent.worker / 2 == worker.0 / 2,
                    };
                    let in_window = self.now - sent.sent_at < window;
                    assert!(
                        shares_keys && in_window,
                        "rule 2: a keyed job is sent again outside of its scope or window"
                    );
                }
            }
        }
        job.attempts.push(SentAttempt {
            worker: worker.0,
            sent_at: self.now,
            in_flight: true,
            never_ran: false,
        });
    }

    fn assert_answer_allowed(&mut self, job: JobId, is_rejection: bool) {
        let job = self.jobs.get_mut(&job.0).expect("a known job");
        assert!(!std::mem::replace(&mut job.concluded, true), "rule 1: answered twice");
        assert!(self.now <= job.deadline + self.settings.safety.answer_grace, "rule 1: answered too late");
        let may_reject = match self.settings.classes[job.class as usize].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            _ => job.attempts.iter().all(|sent| sent.never_ran),
        };
        assert!(may_reject || !is_rejection, "rule 2: rejected although it may have run");
    }
}
