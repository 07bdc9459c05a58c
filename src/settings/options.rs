//! The settings' JSON objects. Types and fields mirror the words of the operators' settings page, so that a
//! key is found in the code by its name: a lane is a request class ([`Class`](crate::Class)), a party a
//! tenant ([`Tenant`](crate::Tenant)). Times whose names end in `_s` (`S` in JSON) are in seconds. A key that
//! is absent or null has its type's default.

use serde::Deserialize;
use serde::de::Deserializer;

/// Reads a value; null reads as the default.
fn or_default<'de, D: Deserializer<'de>, T: Default + Deserialize<'de>>(d: D) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(d)?.unwrap_or_default())
}

macro_rules! objects {
    ($($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $kind:ty),* $(,)? })*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, Deserialize)]
        #[serde(rename_all = "camelCase", default)]
        pub struct $name {
            $($(#[$field_doc])* #[serde(deserialize_with = "or_default")] pub $field: $kind),*
        }
    )*};
}

objects! {
    /// A site's settings.
    Options {
        /// How many schedulers share the workers; at least 1.
        fleet_size: u32,
        /// This scheduler's number among them, from 0.
        me: u32,
        /// This scheduler's zone.
        zone: String,
        /// All zones, in the order of their ids.
        zones: Vec<String>,
        /// All machine kinds, in the order of their ids.
        kinds: Vec<String>,
        /// The request classes.
        lanes: Vec<Lane>,
        /// The tenants.
        parties: Vec<Party>,
        /// `work`: the value of a request counts for each unit of its work.
        counted_by: String,
        /// Value of a request beyond its tenant's quota, as a fraction, 0 to 1; 1 if absent.
        over_share_worth: Option<f64>,
        /// `subscribe`: discovery must be called for its endpoint list.
        discovery: String,
        /// `live`: the endpoints' weights fall as workers have more requests in flight.
        weight_kind: String,
        /// Least time between two steps of a scheduler.
        tick_s: f64,
        /// What the site permits.
        limits: Limits,
        /// What the site charges.
        costs: Costs,
        /// Parameters of the safety rules.
        safety: Safety,
        /// What the site's score is made of.
        objective_mix: ObjectiveMix,
        /// What is particular to the site's family.
        family_info: FamilyInfo,
    }
    /// A request class.
    Lane {
        /// Its name.
        name: String,
        /// Priority weight.
        worth: f64,
        /// Share of the value, 0 to 1, that an answer after the latency objective earns.
        late_value: f64,
        /// Latency objective.
        promise_s: f64,
        /// Client timeout over all attempts.
        give_up_s: f64,
        /// Seconds by which the latency objective grows for each second of work; `familyInfo.classStretch` if
        /// absent.
        aim_stretch: Option<f64>,
        /// What a duplicate does: `safe` (idempotent), `unsafe` (non-idempotent) or `keyed` (idempotency
        /// key).
        effect: String,
        /// Which workers drop duplicates of a keyed request: `all`, `zone` or `cell`.
        key_scope: String,
        /// For how long they drop them.
        window_s: f64,
        /// The answer is a stream.
        streaming: bool,
    }
    /// A tenant.
    Party {
        /// Its name.
        name: String,
        /// Requests a second within its quota, over all schedulers together.
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
        /// Most attempts of a request; 1 if absent.
        send_cap: Option<u32>,
        /// Idle timeout of connections.
        conn_idle_s: f64,
        /// Timeout for establishing a connection.
        connect_timeout_s: f64,
        /// Concurrent attempts on one connection; 1 if absent.
        max_streams: Option<u32>,
        /// Retry-After advice is given to clients.
        retry_after: bool,
        /// The longest such advice that clients follow.
        max_retry_after_s: f64,
    }
    /// What the site charges, as multiples of a request's value.
    Costs {
        /// An attempt that crosses zones.
        cross_zone: f64,
        /// A new connection.
        handshake: f64,
        /// A fetch of data from its origin.
        origin: f64,
        /// Work that serves no answer.
        waste: f64,
        /// A failure after the latency objective has passed.
        late_fail: f64,
        /// A health check.
        probe: f64,
    }
    /// Parameters of the safety rules.
    Safety {
        /// How long after the client's deadline a final answer still counts.
        grace_to_answer_s: f64,
        /// Longest time between two polls of discovery.
        ask_within_s: f64,
        /// Initial capacity fraction of a worker in slow start, 0 to 1; 1 if absent.
        cold_share: Option<f64>,
        /// Slow start window.
        cold_s: f64,
        /// Multiple of its present capacity that overloads a worker in slow start; 1 if absent.
        fall_multiple: Option<f64>,
        /// For how long it must be exceeded.
        fall_s: f64,
        /// Retries allowed however low the traffic; 0 if absent.
        extra_floor: Option<f64>,
        /// Retries allowed for each request admitted; 0 if absent.
        repeat_ratio: Option<f64>,
        /// Window of the retry budget; there is no budget if absent.
        counted_over_s: Option<f64>,
        /// Time within which idle connections to a draining worker are closed, if they must be.
        release_within_s: Option<f64>,
        /// A rejected attempt may have run.
        full_unproven: bool,
    }
    /// What the site's score is made of.
    ObjectiveMix {
        /// Weight of tail latency; 0: it isn't scored.
        slow_end: f64,
        /// Share of requests that may miss their latency objective, 0 to 1.
        miss_share: Option<f64>,
    }
    /// What is particular to the site's family.
    FamilyInfo {
        /// The only machine kind of each request class, as an index into `kinds`; negative: any.
        class_kind: Vec<i64>,
        /// Seconds by which the latency objective of each class grows for each second of work.
        class_stretch: Vec<f64>,
        /// Time between progress updates; 0: there are none.
        progress_s: f64,
        /// Workers report the start of a request.
        tells_start: bool,
        /// What `x0` of a load report means, as a text that names slots or memory.
        report_x0: String,
        /// What `x1` of a load report means.
        report_x1: String,
    }
    /// A worker's load report.
    WorkerReport {
        /// Share of its cores in use, 0 to 1.
        util: Option<f64>,
        /// Recent service time without queueing, in milliseconds.
        latency_ms: Option<f64>,
        /// A figure whose meaning `familyInfo.reportX0` gives.
        x0: Option<f64>,
        /// A figure whose meaning `familyInfo.reportX1` gives.
        x1: Option<f64>,
    }
}
