//! The health of a worker: its errors, its ejection as an outlier, and inferred restarts of its process.

use super::estimates::DecayingMean;
use crate::api::{Micros, SECOND};

/// Time constant of failures, in microseconds.
const HEALTH_MEMORY: f64 = 5e6;
/// Successes that count before any answer: few, so that one error shows.
const PRIOR_SUCCESSES: f64 = 0.3;
/// The most that failures may weigh.
const MAX_FAILURE_WEIGHT: f64 = 4.0;
/// Backoff between trials of a worker, in microseconds: the first and the longest.
const FIRST_BACKOFF: Micros = SECOND / 2;
const MAX_BACKOFF: Micros = 4 * SECOND;

/// Doubles a backoff within its bounds.
fn next_backoff(backoff: Micros) -> Micros {
    (backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF)
}

/// What is known of the health of a worker.
pub(crate) struct Health {
    /// Recent successes, each counted as a half and 1 at most.
    successes: f64,
    failures: DecayingMean,
    /// After an error no trial before this time.
    pub(crate) retry_after_error: Option<Micros>,
    /// By how much the next error puts trials off, in microseconds.
    error_backoff: Micros,
    /// Ejected as silent or unreachable: no send before this time, then single trials.
    pub(crate) ejected_until: Option<Micros>,
    /// The length of the latest ejection in microseconds; 0 if it was none.
    pub(crate) ejection_backoff: Micros,
    /// A trial of the ejected worker is in flight.
    pub(crate) trial_in_flight: bool,
    /// When its process was last seen to be down.
    pub(crate) down_at: Option<Micros>,
    /// A reset connection is the only sign that it was down.
    pub(crate) reset_is_only_sign: bool,
    /// When it last responded.
    pub(crate) last_response_at: Micros,
    /// When it was last sent a health check.
    pub(crate) checked_at: Micros,
}

impl Health {
    pub(crate) fn new(now: Micros) -> Health {
        Health {
            successes: 1.0,
            failures: DecayingMean::default(),
            retry_after_error: None,
            error_backoff: 0,
            ejected_until: None,
            ejection_backoff: 0,
            trial_in_flight: false,
            down_at: None,
            reset_is_only_sign: false,
            last_response_at: now,
            checked_at: 0,
        }
    }

    /// Any response ends the ejection. The process was there at `up_at` and is now: it has not restarted
    /// since, if a reset connection was the only sign of that.
    pub(crate) fn record_response(&mut self, up_at: Micros, now: Micros) {
        self.last_response_at = now;
        self.ejected_until = None;
        self.ejection_backoff = 0;
        self.trial_in_flight = false;
        if self.reset_is_only_sign && self.down_at.is_some_and(|down_at| up_at <= down_at) {
            self.reset_is_only_sign = false;
            self.down_at = None;
        }
    }

    /// Probability that a job sent there is answered, by its own record alone.
    pub(crate) fn success_probability(&self, now: Micros) -> f64 {
        let successes = self.successes + PRIOR_SUCCESSES;
        successes / (successes + self.failures.current_weight(now, HEALTH_MEMORY))
    }

    /// Records an answer.
    pub(crate) fn record_success(&mut self, now: Micros) {
        self.failures.add(0.0, 0.0, now, HEALTH_MEMORY);
        self.successes = (self.successes + 0.5).min(1.0);
        self.failures.weight *= 0.5;
        // One error is chance: only a worker that fails again before two answers is put off.
        if self.successes >= 1.0 {
            self.error_backoff = 0;
        }
    }

    /// Records an error. It voids the successes: a worker that fails quickly looks cheap.
    pub(crate) fn record_error(&mut self, now: Micros) {
        self.failures.add(0.0, 1.0, now, HEALTH_MEMORY);
        self.retry_after_error = Some(now + self.error_backoff);
        self.error_backoff = next_backoff(self.error_backoff);
        self.successes = 0.0;
        self.failures.weight = self.failures.weight.min(MAX_FAILURE_WEIGHT);
    }

    /// Ejects the worker for a time that grows with each ejection in a row.
    pub(crate) fn eject(&mut self, now: Micros) {
        self.ejection_backoff = next_backoff(self.ejection_backoff);
        self.ejected_until = Some(now + self.ejection_backoff);
        self.trial_in_flight = false;
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether a single trial may start: after the ejection, or at an idle worker that is `sound` or whose
    /// backoff after an error is over.
    pub(crate) fn allows_trial(&self, idle: bool, sound: bool, now: Micros) -> bool {
        match self.ejected_until {
            Some(until) => now >= until && !self.trial_in_flight,
            None => idle && (sound || self.retry_after_error.is_none_or(|until| now >= until)),
        }
    }

    /// Whether the worker is ejected or backing off after an error at this moment.
    pub(crate) fn is_avoided(&self, now: Micros) -> bool {
        let is_later = |until: Option<Micros>| until.is_some_and(|until| until > now);
        is_later(self.ejected_until) || is_later(self.retry_after_error)
    }

    /// When the process was last seen to be down, if that was within the latest `span`.
    pub(crate) fn down_within(&self, span: Micros, now: Micros) -> Option<Micros> {
        self.down_at.filter(|down_at| now - down_at < span)
    }
}
