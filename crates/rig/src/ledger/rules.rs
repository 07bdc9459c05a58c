//! The rules of the platform, checked against what the stand-ins observed.

use super::{Observation, RequestEnd, Tolerances, cold_load};
use crate::job_id::dispatcher_of;
use crate::time::Micros;
use serde::Serialize;
use std::collections::HashMap;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// When, in seconds since the start.
    pub at_s: f64,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
}

/// Each request is answered exactly once, and in time.
const ONE_ANSWER: &str = "one answer";
/// No job runs that no client sent.
const REQUESTED: &str = "asked for";
/// No job with an unsafe effect starts twice.
const NO_SECOND_PAYMENT: &str = "no second payment";
/// No job is sent to a worker that the dispatcher knows to be draining.
const DRAIN: &str = "drain";
/// No worker that warms up receives more than it bears.
const COLD_BUDGET: &str = "cold budget";

/// Checks all rules.
pub(super) fn violations(observations: &[(Micros, Observation)], tolerances: Tolerances) -> Vec<Violation> {
    let mut check = Check::new(observations, tolerances);
    for (at, observation) in observations {
        check.observe(*at, observation);
    }
    let end = observations.last().map_or(0, |last| last.0);
    check.unanswered_requests(end);
    check.cold_budget(observations);
    check.violations
}

/// An attempt of a client.
struct SentRequest {
    repeatable: bool,
    deadline: Micros,
    answers: u32,
}

/// A dispatcher and a worker.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Pair {
    dispatcher: usize,
    worker: usize,
}

/// The state of a check at a point in time of the ledger.
struct Check<'a> {
    tolerances: Tolerances,
    /// Of the entire ledger, as no verdict may depend on who records first.
    requests: HashMap<&'a str, SentRequest>,
    /// How often each job has started.
    job_starts: HashMap<&'a str, u32>,
    loss_reasons: HashMap<&'a str, &'static str>,
    /// When each dispatcher was last resumed.
    resumed_at: HashMap<usize, Micros>,
    /// Since when a dispatcher knows that a worker is draining.
    drain_known_since: HashMap<Pair, Micros>,
    violations: Vec<Violation>,
}

impl<'a> Check<'a> {
    fn new(observations: &'a [(Micros, Observation)], tolerances: Tolerances) -> Check<'a> {
        let mut requests = HashMap::new();
        for (_, observation) in observations {
            if let Observation::RequestSent { id, repeatable, deadline } = observation {
                let request = SentRequest { repeatable: *repeatable, deadline: *deadline, answers: 0 };
                requests.insert(id.as_str(), request);
            }
        }
        Check {
            tolerances,
            requests,
            job_starts: HashMap::new(),
            loss_reasons: HashMap::new(),
            resumed_at: HashMap::new(),
            drain_known_since: HashMap::new(),
            violations: Vec::new(),
        }
    }

    fn observe(&mut self, at: Micros, observation: &'a Observation) {
        match observation {
            Observation::LossReason(id, reason) => {
                self.loss_reasons.insert(id, *reason);
            }
            Observation::RequestEnded(id, end) => self.one_answer(at, id, *end),
            Observation::JobStarted(worker, id) => {
                let starts = self.count_start(id);
                self.requested(at, *worker, id);
                self.no_second_payment(at, *worker, id, starts);
            }
            Observation::DispatcherResumed(dispatcher) => self.resume(at, *dispatcher),
            // A process starts without the notifications of the one before.
            Observation::DispatcherStarted(dispatcher) => {
                self.drain_known_since.retain(|pair, _| pair.dispatcher != *dispatcher);
            }
            // Its new incarnation is listed as ready in the same moment.
            Observation::WorkerStarted(warm_up) => {
                self.drain_known_since.retain(|pair, _| pair.worker != warm_up.worker);
            }
            Observation::DrainNotified { dispatcher, worker } => {
                let pair = Pair { dispatcher: *dispatcher, worker: *worker };
                self.drain_known_since.entry(pair).or_insert(at);
            }
            Observation::JobSentBy { dispatcher, worker } => {
                self.drain(at, Pair { dispatcher: *dispatcher, worker: *worker });
            }
            _ => {}
        }
    }

    fn report(&mut self, rule: &'static str, at: Micros, description: String) {
        self.violations.push(Violation { rule, at_s: at as f64 / 1e6, description });
    }

    fn one_answer(&mut self, at: Micros, id: &str, end: RequestEnd) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.answers += 1;
        let answers = request.answers;
        let deadline = request.deadline;
        if answers > 1 {
            self.report(ONE_ANSWER, at, format!("{id} was answered {answers} times"));
        }
        let resumed_at = dispatcher_of(id).and_then(|dispatcher| self.resumed_at.get(&dispatcher));
        let due = resumed_at.copied().unwrap_or(0).max(deadline);
        if end == RequestEnd::Lost || at > due + self.tolerances.answer {
            let reason = self.loss_reasons.get(id).copied().unwrap_or("late");
            self.report(ONE_ANSWER, at, format!("{id} had no answer in time: {reason}"));
        }
    }

    fn count_start(&mut self, id: &'a str) -> u32 {
        let starts = self.job_starts.entry(id).or_insert(0);
        *starts += 1;
        *starts
    }

    fn requested(&mut self, at: Micros, worker: usize, id: &str) {
        if !self.requests.contains_key(id) {
            let description = format!("{id} began at worker {worker}, and no client asked for it");
            self.report(REQUESTED, at, description);
        }
    }

    fn no_second_payment(&mut self, at: Micros, worker: usize, id: &str, starts: u32) {
        let repeatable = self.requests.get(id).is_none_or(|request| request.repeatable);
        if starts > 1 && !repeatable {
            let description = format!("{id} began {starts} times, now at worker {worker}");
            self.report(NO_SECOND_PAYMENT, at, description);
        }
    }

    /// What a stopped dispatcher was notified of counts from now on.
    fn resume(&mut self, at: Micros, dispatcher: usize) {
        self.resumed_at.insert(dispatcher, at);
        for (pair, known_since) in &mut self.drain_known_since {
            if pair.dispatcher == dispatcher {
                *known_since = at;
            }
        }
    }

    fn drain(&mut self, at: Micros, pair: Pair) {
        let Some(known_since) = self.drain_known_since.get(&pair).copied() else { return };
        let late = at - known_since;
        if late > self.tolerances.drain {
            let Pair { dispatcher, worker } = pair;
            let late_ms = late / 1000;
            let description =
                format!("dispatcher {dispatcher} sent to worker {worker} {late_ms} ms after told");
            self.report(DRAIN, at, description);
        }
    }

    /// Requests without any answer, when the ledger ends after their deadline.
    fn unanswered_requests(&mut self, end: Micros) {
        let latest = end - self.tolerances.answer;
        let unanswered: Vec<(String, Micros)> = self
            .requests
            .iter()
            .filter(|(_, request)| request.answers == 0 && request.deadline < latest)
            .map(|(id, request)| ((*id).to_owned(), request.deadline))
            .collect();
        for (id, deadline) in unanswered {
            self.report(ONE_ANSWER, deadline, format!("{id} was never answered"));
        }
    }

    fn cold_budget(&mut self, observations: &[(Micros, Observation)]) {
        let Some(peak) = cold_load::peak(observations, self.tolerances.overload_window) else { return };
        if peak.share_of_budget > 1.0 {
            let description = format!(
                "worker {} was sent {:.2} of what it bears while cold",
                peak.worker, peak.share_of_budget
            );
            self.report(COLD_BUDGET, peak.at, description);
        }
    }
}
