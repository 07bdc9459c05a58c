//! Request classes and tenants.

use super::endpoint::Endpoint;
use super::ids::{KindId, Micros};

/// The group of workers that share idempotency keys and deduplicate requests by them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

impl KeyScope {
    /// Whether two workers deduplicate each other's requests under this scope.
    #[must_use]
    pub fn shares_keys(self, a: &Endpoint, b: &Endpoint) -> bool {
        match self {
            KeyScope::All => true,
            KeyScope::Zone => a.zone == b.zone,
            KeyScope::Cell => a.cell == b.cell,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run has no further effect: retries are always safe.
    Idempotent,
    /// The workers of `scope` drop duplicates for `window` after the first attempt that may have run was
    /// sent.
    IdempotencyKey {
        /// Which workers drop duplicates of a request.
        scope: KeyScope,
        /// Deduplication window in microseconds.
        window: Micros,
    },
    /// A second run takes effect again, so the request must not run twice.
    #[default]
    NonIdempotent,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Dimensionless value of a served request, or of a second of its work with
    /// [`Settings::weighted_by_work`](crate::Settings::weighted_by_work).
    pub priority_weight: f64,
    /// Fraction of the value, 0 to 1, earned by an answer after the latency objective but before the
    /// deadline.
    pub late_answer_fraction: f64,
    /// Latency objective in microseconds, to which `objective_per_work` adds. An answer within it earns the
    /// full value.
    pub latency_objective: Micros,
    /// Seconds by which the latency objective grows per second of the request's own work.
    pub objective_per_work: f64,
    /// Total time that the client waits, over all of its attempts, in microseconds.
    pub client_timeout: Micros,
    /// Whether a request of the class may run more than once.
    pub idempotency: Idempotency,
    /// Answers are streamed; [`Event::StreamAccepted`](crate::Event::StreamAccepted) reports their start.
    pub streaming: bool,
    /// The only machine kind that can run requests of the class; `None` means any.
    pub kind: Option<KindId>,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in requests per second, over all dispatchers together.
    pub quota_per_s: f64,
}
