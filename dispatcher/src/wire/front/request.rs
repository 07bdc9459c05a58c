//! Parses the stream that a client request submits.

use super::Front;
use crate::core::{Answer, Downstream, MemoryReservation, NewStream, Payload};
use crate::wire::http::Message;
use roselock::settings::fnv1a;
use roselock::{ClassId, KeyId, Micros, SECOND, TenantId};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum time budget of a request, in seconds; a larger one is reduced to this.
const MAX_BUDGET_S: f64 = 3600.0;
/// Headers with a single value. A request with different values for one of them is invalid.
const SINGLE_VALUE_HEADERS: [&str; 5] =
    ["x-call-id", "x-call-class", "x-caller", "x-budget", "idempotency-key"];

/// Placeholder until the downstream of the stream is set.
struct PlaceholderDownstream;

impl Downstream for PlaceholderDownstream {
    fn answer(&self, _: Answer, _: u32) {}
}

/// A value of `X-Call-Info`, whose format is `name=value,name=value`. `None` if the value is missing,
/// negative or not finite.
fn parse_call_info_value(info: &str, name: &str) -> Option<f64> {
    let pairs = info.split(',').filter_map(|pair| pair.split_once('='));
    let values = pairs.filter(|(key, _)| key.trim() == name).map(|(_, value)| value);
    let mut numbers = values.filter_map(|value| value.trim().parse::<f64>().ok());
    numbers.find(|number| number.is_finite() && *number >= 0.0)
}

/// The work hint in seconds, parsed from `X-Call-Cost`, which is in microseconds.
fn parse_work_hint(cost: &str) -> Option<f64> {
    let microseconds = cost.parse::<f64>().ok()?;
    Some(microseconds / SECOND as f64)
}

/// The time budget of a request, in seconds.
fn parse_budget(message: &Message) -> Option<f64> {
    let budget: f64 = message.header_value("x-budget")?.parse().ok()?;
    (budget.is_finite() && budget >= 0.0).then_some(budget)
}

/// The key of a request: the last segment of its path. The first segment names the service and is never the
/// key.
fn parse_key(message: &Message) -> Option<KeyId> {
    let path = message.text(&message.target).split('?').next().unwrap_or("");
    let (_service, rest) = path.trim_start_matches('/').split_once('/')?;
    let key = rest.rsplit('/').next()?;
    (!key.is_empty()).then(|| KeyId(fnv1a(key.as_bytes())))
}

/// The stream of a request; `None` if a required part is missing or invalid. `memory` is what is reserved for its body.
pub(super) fn parse_stream(
    front: &Front,
    message: Message,
    memory: Option<MemoryReservation>,
    peer: SocketAddr,
) -> Option<NewStream> {
    if SINGLE_VALUE_HEADERS.iter().any(|name| message.has_conflicting_values(name)) {
        return None;
    }
    let id = message.header_range("x-call-id").filter(|id| !message.text(id).trim().is_empty())?;
    let class = front.site.classes.get(message.header_value("x-call-class")?)?;
    let budget = parse_budget(&message)?;
    let tenant = message.header_value("x-caller").and_then(|name| front.site.tenants.get(name));
    let info = message.header_value("x-call-info").unwrap_or("");
    Some(NewStream {
        id: 0,
        fleet: front.fleet,
        class: ClassId(class as u16),
        tenant: tenant.map(|index| TenantId(index as u16)),
        key: parse_key(&message),
        slots: parse_call_info_value(info, "slots").unwrap_or(1.0),
        memory: parse_call_info_value(info, "memory").unwrap_or(0.0),
        hint: message.header_value("x-call-cost").and_then(parse_work_hint),
        prior_attempts: 0,
        deadline: message.received_at + (budget.min(MAX_BUDGET_S) * SECOND as f64) as Micros,
        peer,
        downstream: Box::new(PlaceholderDownstream),
        payload: Arc::new(Payload {
            idempotency_key: message.header_range("idempotency-key").unwrap_or_default(),
            id,
            method: message.method,
            target: message.target,
            body: message.body,
            raw: Arc::new(message.raw),
            _memory: memory,
            ..Payload::default()
        }),
    })
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;
