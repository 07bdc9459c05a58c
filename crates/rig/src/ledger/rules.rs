//! Checks the observations of the stand-ins against the rules of the platform.

use super::missed::MissedChanges;
use super::{MissedNotifications, Observation, RequestEnd, Tolerances, cold_load};
use crate::job_id::dispatcher_of;
use crate::time::Micros;
use serde::Serialize;
use std::collections::HashMap;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Time of the violation, in seconds since the start.
    pub at_s: f64,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
}

/// Each request is answered exactly once, and in time.
const ONE_ANSWER: &str = "one answer";
/// Only jobs that a client requested run.
const REQUESTED: &str = "asked for";
/// No job with an unsafe effect starts twice.
const NO_SECOND_UNSAFE_START: &str = "no second payment";
/// No job is sent to a worker that the dispatcher knows is draining.
const DRAIN: &str = "drain";
/// No worker receives more than its budget while it warms up.
const COLD_BUDGET: &str = "cold budget";

/// Checks all rules.
pub(super) fn violations(observations: &[(Micros, Observation)], tolerances: Tolerances) -> Vec<Violation> {
    let mut checker = RuleChecker::new(observations, tolerances);
    for (at, observation) in observations {
        checker.observe(*at, observation);
    }
    let end = observations.last().map_or(0, |last| last.0);
    checker.check_unanswered_requests(end);
    checker.check_cold_budget(observations);
    checker.violations
}

/// An attempt that a client sent.
struct SentRequest {
    repeatable: bool,
    deadline: Micros,
    answers: u32,
}

/// A dispatcher and a worker, by number.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Pair {
    dispatcher: usize,
    worker: usize,
}

/// Replays the ledger and collects violations.
struct RuleChecker<'a> {
    tolerances: Tolerances,
    /// All attempts of the entire ledger, collected up front: a stand-in may record a job before the client records its request.
    requests: HashMap<&'a str, SentRequest>,
    /// How often each job has started.
    job_starts: HashMap<&'a str, u32>,
    loss_reasons: HashMap<&'a str, &'static str>,
    /// Time at which each dispatcher was last resumed.
    resumed_at: HashMap<usize, Micros>,
    /// Time since which a dispatcher knows that a worker is draining.
    drain_known_since: HashMap<Pair, Micros>,
    missed_changes: MissedChanges,
    violations: Vec<Violation>,
}

impl<'a> RuleChecker<'a> {
    fn new(observations: &'a [(Micros, Observation)], tolerances: Tolerances) -> RuleChecker<'a> {
        let mut requests = HashMap::new();
        for (_, observation) in observations {
            if let Observation::RequestSent { id, repeatable, deadline } = observation {
                let request = SentRequest { repeatable: *repeatable, deadline: *deadline, answers: 0 };
                requests.insert(id.as_str(), request);
            }
        }
        RuleChecker {
            tolerances,
            requests,
            job_starts: HashMap::new(),
            loss_reasons: HashMap::new(),
            resumed_at: HashMap::new(),
            drain_known_since: HashMap::new(),
            missed_changes: MissedChanges::default(),
            violations: Vec::new(),
        }
    }

    fn observe(&mut self, at: Micros, observation: &'a Observation) {
        self.missed_changes.observe(at, observation);
        match observation {
            Observation::LossReason(id, reason) => {
                self.loss_reasons.insert(id, *reason);
            }
            Observation::RequestEnded(id, end) => self.check_answer(at, id, *end),
            Observation::JobStarted(worker, id) => {
                let starts = self.count_start(id);
                self.check_requested(at, *worker, id);
                self.check_no_second_start(at, *worker, id, starts);
            }
            Observation::DispatcherResumed(dispatcher) => self.record_resume(at, *dispatcher),
            // A new process has not received the notifications of its predecessor.
            Observation::DispatcherStarted(dispatcher) => {
                self.drain_known_since.retain(|pair, _| pair.dispatcher != *dispatcher);
            }
            // The list marks the worker's new incarnation as ready at the same time.
            Observation::WorkerStarted(warm_up) => {
                self.drain_known_since.retain(|pair, _| pair.worker != warm_up.worker);
            }
            Observation::DrainNotified { dispatcher, worker } => {
                let pair = Pair { dispatcher: *dispatcher, worker: *worker };
                self.drain_known_since.entry(pair).or_insert(at);
            }
            Observation::JobSent { dispatcher, worker } => {
                self.check_drain(at, Pair { dispatcher: *dispatcher, worker: *worker });
            }
            _ => {}
        }
    }

    fn add_violation(&mut self, rule: &'static str, at: Micros, description: String) {
        self.violations.push(Violation { rule, at_s: at as f64 / 1e6, description });
    }

    fn check_answer(&mut self, at: Micros, id: &str, end: RequestEnd) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.answers += 1;
        let answers = request.answers;
        let deadline = request.deadline;
        if answers > 1 {
            self.add_violation(ONE_ANSWER, at, format!("{id} was answered {answers} times"));
        }
        let resumed_at = dispatcher_of(id).and_then(|dispatcher| self.resumed_at.get(&dispatcher));
        let due = resumed_at.copied().unwrap_or(0).max(deadline);
        if end == RequestEnd::Lost || at > due + self.tolerances.max_answer_delay {
            let reason = self.loss_reasons.get(id).copied().unwrap_or("late");
            self.add_violation(ONE_ANSWER, at, format!("{id} was not answered in time: {reason}"));
        }
    }

    fn count_start(&mut self, id: &'a str) -> u32 {
        let starts = self.job_starts.entry(id).or_insert(0);
        *starts += 1;
        *starts
    }

    fn check_requested(&mut self, at: Micros, worker: usize, id: &str) {
        if !self.requests.contains_key(id) {
            let description = format!("{id} started at worker {worker}, but no client requested it");
            self.add_violation(REQUESTED, at, description);
        }
    }

    fn check_no_second_start(&mut self, at: Micros, worker: usize, id: &str, starts: u32) {
        let repeatable = self.requests.get(id).is_none_or(|request| request.repeatable);
        if starts > 1 && !repeatable {
            let description = format!("{id} started {starts} times, most recently at worker {worker}");
            self.add_violation(NO_SECOND_UNSAFE_START, at, description);
        }
    }

    /// The drains of which a dispatcher was notified while it was stopped are known to it from now on.
    fn record_resume(&mut self, at: Micros, dispatcher: usize) {
        self.resumed_at.insert(dispatcher, at);
        for (pair, known_since) in &mut self.drain_known_since {
            if pair.dispatcher == dispatcher {
                *known_since = at;
            }
        }
    }

    fn check_drain(&mut self, at: Micros, pair: Pair) {
        let Some(known_since) = self.known_since(pair) else { return };
        let late = at - known_since;
        if late > self.tolerances.max_send_delay_after_drain {
            let Pair { dispatcher, worker } = pair;
            let late_ms = late / 1000;
            let description = format!(
                "dispatcher {dispatcher} sent to worker {worker} {late_ms} ms after drain notification"
            );
            self.add_violation(DRAIN, at, description);
        }
    }

    /// Since when a dispatcher has been notified, or counts as notified, that a worker is draining.
    fn known_since(&self, pair: Pair) -> Option<Micros> {
        let written = self.drain_known_since.get(&pair).copied();
        let missed = match self.tolerances.missed_notifications {
            MissedNotifications::Ignored => None,
            MissedNotifications::Counted => self.missed_changes.notified_since(pair.dispatcher, pair.worker),
        };
        written.into_iter().chain(missed).min()
    }

    /// Reports requests without any answer whose deadline, plus the tolerance, is before the end of the ledger.
    fn check_unanswered_requests(&mut self, end: Micros) {
        let latest = end - self.tolerances.max_answer_delay;
        let unanswered: Vec<(String, Micros)> = self
            .requests
            .iter()
            .filter(|(_, request)| request.answers == 0 && request.deadline < latest)
            .map(|(id, request)| ((*id).to_owned(), request.deadline))
            .collect();
        for (id, deadline) in unanswered {
            self.add_violation(ONE_ANSWER, deadline, format!("{id} was never answered"));
        }
    }

    fn check_cold_budget(&mut self, observations: &[(Micros, Observation)]) {
        let Some(peak) = cold_load::peak(observations, self.tolerances) else { return };
        if peak.share_of_budget > 1.0 {
            let description = format!(
                "worker {} was sent {:.2} times its budget while warming up",
                peak.worker, peak.share_of_budget
            );
            self.add_violation(COLD_BUDGET, peak.at, description);
        }
    }
}
