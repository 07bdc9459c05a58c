//! Converts responses of upstream hosts to events.

use crate::core::{RequestKind, UpstreamEvent};
use crate::wire::http::{Message, parse_load_report};
use roselock::Outcome;
use roselock::settings::Site;

/// The event for a response to a request of this kind.
pub(super) fn response_event(kind: &RequestKind, response: &Message, site: &Site) -> UpstreamEvent {
    match kind {
        RequestKind::Withdraw(_) => UpstreamEvent::Withdrawn,
        RequestKind::Preconnect => UpstreamEvent::Ignored,
        RequestKind::HealthCheck => health_event(response, site),
        RequestKind::Run(_) => run_event(response, site),
    }
}

/// The event for a health check. The load report may be in a header or in the body.
fn health_event(response: &Message, site: &Site) -> UpstreamEvent {
    let in_header = response.header_value("x-load-report").and_then(parse_load_report);
    let in_body = std::str::from_utf8(response.body()).ok().and_then(parse_load_report);
    let report = in_header.or(in_body).map(|report| site.load_report(&report)).unwrap_or_default();
    UpstreamEvent::HealthChecked { ok: response.status == 200, report }
}

fn run_event(response: &Message, site: &Site) -> UpstreamEvent {
    let in_header = response.header_value("x-load-report").and_then(parse_load_report);
    let report = in_header.map(|report| site.load_report(&report)).unwrap_or_default();
    let is_rejected = response.header_value("x-rejected") == Some("1");
    let outcome = match response.status {
        202 => return UpstreamEvent::Accepted,
        503 | 504 if is_rejected => Outcome::Rejected,
        _ => Outcome::Error,
    };
    UpstreamEvent::Ended { outcome, report, body: Vec::new() }
}
