//! What a site permits, what it charges, and the parameters of its safety rules.

use super::ids::{Micros, SECOND};

/// What the site permits. The default permits a single attempt of each request and nothing else.
#[derive(Clone, Debug)]
pub struct Limits {
    /// [`Action::Cancel`](crate::Action::Cancel) is permitted.
    pub cancel: bool,
    /// [`Action::HealthCheck`](crate::Action::HealthCheck) is permitted.
    pub health_checks_allowed: bool,
    /// Two attempts of one request may be in flight together.
    pub hedged_requests: bool,
    /// Most attempts of one request, the first included.
    pub max_attempts: u32,
    /// Idle connections close after this time, in microseconds.
    pub idle_timeout: Micros,
    /// Concurrent attempts on one connection.
    pub max_streams: u32,
    /// A connection that is not established within this time fails, in microseconds.
    pub connect_timeout: Micros,
    /// Retry-After advice is given to clients.
    pub retry_after: bool,
    /// The longest such advice that clients follow, in microseconds.
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

/// Costs, as multiples of the mean value of a request where nothing else is said.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// A new connection.
    pub handshake: f64,
    /// A fetch of the request's data from its origin.
    pub origin_fetch: f64,
    /// Work that serves no answer, as a share of that work.
    pub wasted_work: f64,
    /// Ending unserved after the latency objective has passed, as a multiple of the request's own value.
    pub late_failure: f64,
    /// A health check.
    pub health_check: f64,
}

/// Parameters of the rules on answers, discovery, slow start and retries. By default workers start at full
/// capacity.
#[derive(Clone, Debug)]
pub struct Safety {
    /// How long after the client's deadline a final answer still counts, in microseconds.
    pub answer_grace: Micros,
    /// Without a watch, the longest time between two polls of discovery, in microseconds.
    pub poll_interval: Micros,
    /// The least fraction of its capacity, 0 to 1, with which a worker starts.
    pub initial_capacity_fraction: f64,
    /// Slow start ends no later than this after a worker's start, in microseconds.
    pub slow_start_window: Micros,
    /// A worker in slow start that is sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this time, in microseconds, fails from overload.
    pub overload_window: Micros,
    /// Bound on attempts beyond each request's first, where the site has one.
    pub retry_budget: Option<RetryBudget>,
    /// Idle connections to a draining worker are closed within this time, in microseconds, where the site
    /// asks for it.
    pub drain_close_timeout: Option<Micros>,
    /// A worker may answer [`Outcome::Rejected`](crate::Outcome::Rejected) for work that it had begun.
    pub rejection_may_have_run: bool,
}

/// Attempts beyond each request's first that one scheduler may make: in any `window` at most `min_retries`
/// plus `ratio` for each request that it admitted in that window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed however low the traffic.
    pub min_retries: f64,
    /// Retries allowed for each request admitted.
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
