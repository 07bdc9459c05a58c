//! The health of a worker: its success rate, its ejection as an outlier, and inferred restarts of its
//! process.

use super::estimates::DecayingMean;
use crate::api::{Micros, SECOND};

/// Time constant with which failures decay.
const FAILURE_TIME_CONSTANT_US: f64 = 5e6;
/// Weight of the prior, in successes; small, so that a single error has a visible effect.
const PRIOR_SUCCESSES: f64 = 0.3;
/// Upper bound of the weight of failures.
const MAX_FAILURE_WEIGHT: f64 = 4.0;
/// First backoff between trials of a worker, in microseconds.
const INITIAL_BACKOFF: Micros = SECOND / 2;
/// Longest backoff between trials of a worker, in microseconds.
const MAX_BACKOFF: Micros = 4 * SECOND;

/// Doubles a backoff, within its bounds.
fn next_backoff(backoff: Micros) -> Micros {
    (backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF)
}

/// Health of a worker as seen by this dispatcher.
pub(crate) struct Health {
    /// Weight of recent successes, 0.5 each and at most 1 in total.
    successes: f64,
    failures: DecayingMean,
    /// No trial is sent before this time, because of an error.
    pub(crate) error_backoff_until: Option<Micros>,
    /// Backoff after the next error, in microseconds.
    error_backoff: Micros,
    /// Ejected because it is unresponsive or unreachable: nothing is sent before this time, and single trials
    /// thereafter.
    pub(crate) ejected_until: Option<Micros>,
    /// Duration of the latest ejection in microseconds; 0 if there was none since the last response.
    pub(crate) ejection_backoff: Micros,
    /// A trial is in flight at the ejected worker.
    pub(crate) trial_in_flight: bool,
    /// When its process was last inferred to be down.
    pub(crate) down_at: Option<Micros>,
    /// `down_at` rests on a connection reset alone.
    pub(crate) reset_is_only_sign: bool,
    /// When it last responded.
    pub(crate) last_response_at: Micros,
    /// When the last health check was sent to it.
    pub(crate) checked_at: Micros,
}

impl Health {
    pub(crate) fn new(now: Micros) -> Health {
        Health {
            successes: 1.0,
            failures: DecayingMean::default(),
            error_backoff_until: None,
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

    /// Records a response, which ends an ejection. The process was up at `up_at` and is up now, so a down
    /// time in between that rests on a connection reset alone is discarded: the process has not restarted.
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

    /// Probability that a job sent to the worker succeeds, from the worker's own record alone.
    pub(crate) fn success_probability(&self, now: Micros) -> f64 {
        let successes = self.successes + PRIOR_SUCCESSES;
        successes / (successes + self.failures.current_weight(now, FAILURE_TIME_CONSTANT_US))
    }

    /// Records a successful answer.
    pub(crate) fn record_success(&mut self, now: Micros) {
        self.failures.add(0.0, 0.0, now, FAILURE_TIME_CONSTANT_US);
        self.successes = (self.successes + 0.5).min(1.0);
        self.failures.weight *= 0.5;
        // A single error may be chance. Only a worker that fails again before two successful answers is
        // backed off from.
        if self.successes >= 1.0 {
            self.error_backoff = 0;
        }
    }

    /// Records an error and resets the successes: a worker that fails fast would otherwise look cheap.
    pub(crate) fn record_error(&mut self, now: Micros) {
        self.failures.add(0.0, 1.0, now, FAILURE_TIME_CONSTANT_US);
        self.error_backoff_until = Some(now + self.error_backoff);
        self.error_backoff = next_backoff(self.error_backoff);
        self.successes = 0.0;
        self.failures.weight = self.failures.weight.min(MAX_FAILURE_WEIGHT);
    }

    /// Ejects the worker for a time that doubles with each consecutive ejection, up to a maximum.
    pub(crate) fn eject(&mut self, now: Micros) {
        self.ejection_backoff = next_backoff(self.ejection_backoff);
        self.ejected_until = Some(now + self.ejection_backoff);
        self.trial_in_flight = false;
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether a single trial may be sent: when the ejection time is over, or to an idle worker that is
    /// healthy or whose backoff after an error is over.
    pub(crate) fn allows_trial(&self, is_idle: bool, is_healthy: bool, now: Micros) -> bool {
        match self.ejected_until {
            Some(until) => now >= until && !self.trial_in_flight,
            None => is_idle && (is_healthy || self.error_backoff_until.is_none_or(|until| now >= until)),
        }
    }

    /// Whether the ejection time or the backoff after an error is still running.
    pub(crate) fn is_avoided(&self, now: Micros) -> bool {
        let is_running = |until: Option<Micros>| until.is_some_and(|until| until > now);
        is_running(self.ejected_until) || is_running(self.error_backoff_until)
    }

    /// When the process was last inferred to be down, if that was less than `span` ago.
    pub(crate) fn down_within(&self, span: Micros, now: Micros) -> Option<Micros> {
        self.down_at.filter(|down_at| now - down_at < span)
    }
}
