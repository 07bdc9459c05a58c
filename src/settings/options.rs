//! JSON objects of the settings. Types and fields are named after the keys of the operators' settings, so
//! that a key can be found in the code: a lane is a request class ([`Class`](crate::Class)), and a party is a
//! tenant ([`Tenant`](crate::Tenant)). Fields that end in `_s` (`S` in JSON) are in seconds. A key that is
//! absent or null has its type's default.

use serde::Deserialize;
use serde::de::Deserializer;

/// Deserializes a value, with null as the type's default.
fn null_as_default<'de, D: Deserializer<'de>, T: Default + Deserialize<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(deserializer)?.unwrap_or_default())
}

macro_rules! objects {
    ($($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $kind:ty),* $(,)? })*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, Deserialize)]
        #[serde(rename_all = "camelCase", default)]
        pub struct $name {
            $($(#[$field_doc])* #[serde(deserialize_with = "null_as_default")] pub $field: $kind),*
        }
    )*};
}

objects! {
    /// A site's settings.
    Options {
        /// Number of dispatchers that share the workers; at least 1.
        fleet_size: u32,
        /// Index of this dispatcher among them, from 0.
        me: u32,
        /// This dispatcher's zone.
        zone: String,
        /// Names of all zones, in the order of their ids.
        zones: Vec<String>,
        /// Names of all machine kinds, in the order of their ids.
        kinds: Vec<String>,
        /// The request classes.
        lanes: Vec<Lane>,
        /// The tenants.
        parties: Vec<Party>,
        /// `work`: the value of a request is per second of its work.
        counted_by: String,
        /// Fraction of its value, 0 to 1, that a request beyond its tenant's quota has; 1 if absent.
        over_share_worth: Option<f64>,
        /// `subscribe`: the discovery service must be called for its endpoint list.
        discovery: String,
        /// `live`: the weight of an endpoint falls as it has more requests in flight.
        weight_kind: String,
        /// Minimum time between two steps of a dispatcher.
        tick_s: f64,
        /// What the site permits.
        limits: Limits,
        /// Costs of attempts, connections and failures.
        costs: Costs,
        /// Parameters of the safety rules.
        safety: Safety,
        /// Components of the site's score.
        objective_mix: ObjectiveMix,
        /// Properties of the site's family.
        family_info: FamilyInfo,
    }
    /// A request class.
    Lane {
        /// Its name.
        name: String,
        /// Priority weight.
        worth: f64,
        /// Fraction of the value, 0 to 1, that an answer after the latency objective earns.
        late_value: f64,
        /// Latency objective.
        promise_s: f64,
        /// Client timeout over all attempts.
        give_up_s: f64,
        /// Seconds by which the latency objective grows per second of work; `familyInfo.classStretch` if
        /// absent.
        aim_stretch: Option<f64>,
        /// Whether requests may run more than once: `safe` (idempotent), `unsafe` (non-idempotent) or
        /// `keyed` (idempotency key).
        effect: String,
        /// Which workers drop duplicates of a keyed request: `all`, `zone` or `cell`.
        key_scope: String,
        /// Deduplication window of a keyed request.
        window_s: f64,
        /// Answers are streamed.
        streaming: bool,
    }
    /// A tenant.
    Party {
        /// Its name.
        name: String,
        /// Quota in requests per second, over all dispatchers together.
        quota_per_s: f64,
    }
    /// What the site permits.
    Limits {
        /// Attempts may be cancelled.
        cancel: bool,
        /// Health checks may be sent.
        may_probe: bool,
        /// Hedged requests may be sent.
        second_copies: bool,
        /// Maximum number of attempts per request; 1 if absent.
        send_cap: Option<u32>,
        /// Idle timeout of connections.
        conn_idle_s: f64,
        /// Timeout for establishing a connection.
        connect_timeout_s: f64,
        /// Maximum number of concurrent attempts per connection; 1 if absent.
        max_streams: Option<u32>,
        /// Rejections carry a Retry-After value.
        retry_after: bool,
        /// The largest Retry-After value that clients follow.
        max_retry_after_s: f64,
    }
    /// Costs, as multiples of a request's value.
    Costs {
        /// Sending an attempt to another zone.
        cross_zone: f64,
        /// Opening a connection.
        handshake: f64,
        /// Fetching data from its origin.
        origin: f64,
        /// Work that contributes to no answer.
        waste: f64,
        /// A failure after the latency objective.
        late_fail: f64,
        /// Sending a health check.
        probe: f64,
    }
    /// Parameters of the safety rules.
    Safety {
        /// Grace period after the client's deadline in which a final answer still counts.
        grace_to_answer_s: f64,
        /// Maximum time between two polls of the discovery service.
        ask_within_s: f64,
        /// Initial capacity fraction of a worker in slow start, 0 to 1; 1 if absent.
        cold_share: Option<f64>,
        /// Slow start window.
        cold_s: f64,
        /// Multiple of its current capacity that overloads a worker in slow start; 1 if absent.
        fall_multiple: Option<f64>,
        /// Time for which that load must be exceeded before the worker fails.
        fall_s: f64,
        /// Retries allowed regardless of the request rate; 0 if absent.
        extra_floor: Option<f64>,
        /// Additional retries allowed per admitted request; 0 if absent.
        repeat_ratio: Option<f64>,
        /// Window of the retry budget; there is no budget if absent.
        counted_over_s: Option<f64>,
        /// Time within which idle connections to a draining worker must be closed; there is no limit if
        /// absent.
        release_within_s: Option<f64>,
        /// A rejected attempt may have run.
        full_unproven: bool,
    }
    /// Components of the site's score.
    ObjectiveMix {
        /// Weight of tail latency; 0 if it isn't scored.
        slow_end: f64,
        /// Fraction of requests that may miss their latency objective, 0 to 1.
        miss_share: Option<f64>,
    }
    /// Properties of the site's family.
    FamilyInfo {
        /// The only machine kind that can run each request class, as an index into `kinds`; negative means
        /// any.
        class_kind: Vec<i64>,
        /// Seconds by which the latency objective of each class grows per second of work.
        class_stretch: Vec<f64>,
        /// Interval between progress updates; 0 if there are none.
        progress_s: f64,
        /// Workers report when a request starts.
        tells_start: bool,
        /// Description of `x0` in load reports, a text that names slots or memory.
        report_x0: String,
        /// Description of `x1` in load reports.
        report_x1: String,
    }
    /// A worker's load report.
    WorkerReport {
        /// CPU utilization, as the fraction of its cores in use, 0 to 1.
        util: Option<f64>,
        /// Recent service time, excluding queueing, in milliseconds.
        latency_ms: Option<f64>,
        /// A value that `familyInfo.reportX0` describes.
        x0: Option<f64>,
        /// A value that `familyInfo.reportX1` describes.
        x1: Option<f64>,
    }
}
