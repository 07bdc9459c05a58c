//! Request classes and tenants.

use super::endpoint::Endpoint;
use super::ids::{KindId, Micros};

/// The group of workers that deduplicates the requests with one idempotency key.
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
    /// Whether two workers deduplicate each other's requests.
    #[must_use]
    pub fn shares_keys(self, a: &Endpoint, b: &Endpoint) -> bool {
        match self {
            KeyScope::All => true,
            KeyScope::Zone => a.zone == b.zone,
            KeyScope::Cell => a.cell == b.cell,
        }
    }
}

/// What running a request more than once does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be retried at will.
    Idempotent,
    /// The workers of `scope` drop duplicates for `window` after the first attempt that may have run was
    /// sent.
    IdempotencyKey {
        /// Which workers drop duplicates.
        scope: KeyScope,
        /// For how long, in microseconds.
        window: Micros,
    },
    /// It takes effect again, so it must not run twice.
    #[default]
    NonIdempotent,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Value of a served request, or of a unit of its work with
    /// [`Settings::weighted_by_work`](crate::Settings::weighted_by_work); without a unit.
    pub priority_weight: f64,
    /// Share of the value, 0 to 1, that an answer between the latency objective and the deadline earns.
    pub late_answer_fraction: f64,
    /// Latency objective in microseconds: an answer within it, plus `objective_per_work`, earns the full
    /// value.
    pub latency_objective: Micros,
    /// Seconds by which the latency objective grows for each second of the request's own work.
    pub objective_per_work: f64,
    /// For how long the client waits over all of its attempts, in microseconds.
    pub client_timeout: Micros,
    /// What running it more than once does.
    pub idempotency: Idempotency,
    /// The answer is a stream, announced by [`Event::StreamAccepted`](crate::Event::StreamAccepted).
    pub streaming: bool,
    /// The only machine kind that can run it; `None`: any.
    pub kind: Option<KindId>,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its quota, over all schedulers together.
    pub quota_per_s: f64,
}
