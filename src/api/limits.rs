//! A site's limits, its costs and the parameters of its safety rules.

use super::ids::{Micros, SECOND};

/// What the site permits. The default permits a single attempt per request and nothing else.
#[derive(Clone, Debug)]
pub struct Limits {
    /// [`Action::Cancel`](crate::Action::Cancel) is permitted.
    pub cancel: bool,
    /// [`Action::HealthCheck`](crate::Action::HealthCheck) is permitted.
    pub health_checks_allowed: bool,
    /// Two attempts of one request may be in flight at the same time.
    pub hedged_requests: bool,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Time after which idle connections close, in microseconds.
    pub idle_timeout: Micros,
    /// Maximum number of concurrent attempts per connection.
    pub max_streams: u32,
    /// Time within which a connection must be established, in microseconds.
    pub connect_timeout: Micros,
    /// Rejections carry a Retry-After value.
    pub retry_after: bool,
    /// The largest Retry-After value that clients follow, in microseconds.
    pub max_retry_after: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            cancel: false,
            health_checks_allowed: false,
            hedged_requests: false,
            max_attempts: 1,
            idle_timeout: 0,
            max_streams: 1,
            connect_timeout: SECOND / 4,
            retry_after: false,
            max_retry_after: 0,
        }
    }
}

/// Costs, as multiples of the mean value of a request unless stated otherwise.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// Sending an attempt to another zone.
    pub cross_zone: f64,
    /// Opening a connection.
    pub handshake: f64,
    /// Fetching the request's data from its origin.
    pub origin_fetch: f64,
    /// Work that contributes to no answer, as a fraction of that work.
    pub wasted_work: f64,
    /// A request that ends unserved after its latency objective, as a multiple of its own value.
    pub late_failure: f64,
    /// Sending a health check.
    pub health_check: f64,
}

/// Parameters of the safety rules for answers, discovery, slow start and retries. By default there is no slow
/// start: workers start at full capacity.
#[derive(Clone, Debug)]
pub struct Safety {
    /// Grace period after the client's deadline in which a final answer still counts, in microseconds.
    pub answer_grace: Micros,
    /// Maximum time between two polls of the discovery service while there is no watch, in microseconds.
    pub poll_interval: Micros,
    /// Lower bound of the fraction of its capacity, 0 to 1, with which a worker starts.
    pub initial_capacity_fraction: f64,
    /// Upper bound of the duration of slow start, from the start of the worker's process, in microseconds.
    pub slow_start_window: Micros,
    /// A worker in slow start fails from overload if it is sent more than this multiple of its current
    /// capacity for `overload_window`.
    pub overload_multiple: f64,
    /// Time for which a worker in slow start bears such a load, in microseconds.
    pub overload_window: Micros,
    /// Limit on retries, if the site has one.
    pub retry_budget: Option<RetryBudget>,
    /// Time within which idle connections to a draining worker must be closed, in microseconds, if the site
    /// requires it.
    pub drain_close_timeout: Option<Micros>,
    /// A worker may answer [`Outcome::Rejected`](crate::Outcome::Rejected) for work that it had started.
    pub rejection_may_have_run: bool,
}

/// Limit on the retries (attempts after a request's first) of one dispatcher: in any `window` at most
/// `min_retries`, plus `ratio` for each request that it admitted in that window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed regardless of the request rate.
    pub min_retries: f64,
    /// Additional retries allowed per admitted request.
    pub ratio: f64,
    /// Length of the sliding window, in microseconds.
    pub window: Micros,
}

impl Default for Safety {
    fn default() -> Safety {
        Safety {
            answer_grace: 0,
            poll_interval: 10 * SECOND,
            initial_capacity_fraction: 1.0,
            slow_start_window: 0,
            overload_multiple: 1.0,
            overload_window: SECOND,
            retry_budget: None,
            drain_close_timeout: None,
            rejection_may_have_run: false,
        }
    }
}
