//! What a client's request asks for.

use super::Front;
use crate::core::{Answer, Downstream, NewStream, Payload};
use crate::wire::http::Message;
use roselock::settings::fnv;
use roselock::{ClassId, KeyId, Micros, SECOND, TenantId};
use std::net::SocketAddr;
use std::sync::Arc;

/// The longest patience that is believed, in seconds; who would wait longer has this.
const PATIENCE: f64 = 3600.0;
/// Headers that say one thing: two that differ make no sense.
const SINGLE: [&str; 5] = ["x-call-id", "x-call-class", "x-caller", "x-budget", "idempotency-key"];

/// Nobody's side: a place holder until the stream's own is known.
struct Nobody;

impl Downstream for Nobody {
    fn answer(&self, _: Answer, _: u32) {}
}

/// A further figure of a request, from `name=value,name=value`.
fn figure(info: &str, name: &str) -> Option<f64> {
    let pairs = info.split(',').filter_map(|p| p.split_once('='));
    let named = pairs.filter(|(n, _)| n.trim() == name).filter_map(|(_, v)| v.trim().parse::<f64>().ok());
    named.into_iter().find(|v| v.is_finite() && *v >= 0.0)
}

/// A guess at the work, in seconds, from `X-Call-Cost`, which gives it in microseconds.
fn work_hint(cost: &str) -> Option<f64> {
    let microseconds = cost.parse::<f64>().ok()?;
    Some(microseconds / SECOND as f64)
}

/// The stream of a request; none where a part that it needs is missing or makes no sense.
pub(super) fn stream_of(front: &Front, message: Message, peer: SocketAddr) -> Option<NewStream> {
    if SINGLE.iter().any(|name| message.contradicts(name)) {
        return None;
    }
    let id = message.header("x-call-id").filter(|id| !message.text(id).trim().is_empty())?;
    let class = front.site.classes.known(message.value("x-call-class")?)?;
    let budget: f64 = message.value("x-budget")?.parse().ok().filter(|b: &f64| b.is_finite() && *b >= 0.0)?;
    let tenant = message.value("x-caller").and_then(|t| front.site.tenants.known(t));
    let info = message.value("x-call-info").unwrap_or("");
    let path = message.text(&message.target).split('?').next().unwrap_or("");
    // The first part names the service; what follows it is what the request concerns.
    let key = path.trim_start_matches('/').split_once('/').and_then(|(_, rest)| rest.rsplit('/').next());
    let key = key.filter(|k| !k.is_empty()).map(|k| KeyId(fnv(k.as_bytes())));
    Some(NewStream {
        id: 0,
        fleet: front.fleet,
        class: ClassId(class as u16),
        tenant: tenant.map(|t| TenantId(t as u16)),
        key,
        slots: figure(info, "slots").unwrap_or(1.0),
        memory: figure(info, "memory").unwrap_or(0.0),
        hint: message.value("x-call-cost").and_then(work_hint),
        prior_attempts: 0,
        deadline: message.arrived + (budget.min(PATIENCE) * SECOND as f64) as Micros,
        peer,
        downstream: Box::new(Nobody),
        payload: Arc::new(Payload {
            idempotency_key: message.header("idempotency-key").unwrap_or_default(),
            id,
            method: message.method,
            target: message.target,
            body: message.body,
            raw: Arc::new(message.raw),
            ..Payload::default()
        }),
    })
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;
