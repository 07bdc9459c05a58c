//! Callbacks: requests in which upstream hosts report the progress and end of a stream.

use crate::core::{CallbackEvent, Inbox, Input, MemoryReservation};
use roselock::Outcome;
use roselock::settings::{Site, WorkerReport};
use serde::Deserialize;
use std::borrow::Cow;

/// The path that hosts post callbacks to.
pub const PATH: &str = "/v1/job-events";

/// The body of a callback.
#[derive(Deserialize)]
struct Callback<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    from: Cow<'a, str>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    result: Option<String>,
    #[serde(default)]
    load: Option<WorkerReport>,
}

/// The event that a callback reports; `None` if its state is unknown.
fn callback_event(state: &str, share: f64, result: Option<String>) -> Option<CallbackEvent> {
    let event = match state {
        "started" => CallbackEvent::Started,
        "running" => CallbackEvent::Progress(share),
        "done" => CallbackEvent::Ended(Outcome::Ok, result.unwrap_or_default().into_bytes()),
        "failed" => CallbackEvent::Ended(Outcome::Error, Vec::new()),
        "returned" => CallbackEvent::Ended(Outcome::Rejected, Vec::new()),
        "lost" => CallbackEvent::Ended(Outcome::Reset, Vec::new()),
        _ => return None,
    };
    Some(event)
}

/// Posts a callback to the event loop; returns false if the callback is invalid. The body is included if
/// `may_forward` is set: during an upgrade, the other process may hold the stream. `memory` is what is reserved for the body, until the event loop has the result.
pub fn post(
    body: &[u8],
    site: &Site,
    inbox: &Inbox,
    memory: Option<MemoryReservation>,
    may_forward: bool,
) -> bool {
    let Ok(callback) = serde_json::from_slice::<Callback>(body) else { return false };
    let Some(event) = callback_event(&callback.state, callback.share, callback.result) else { return false };
    let report = callback.load.map(|load| site.load_report(&load)).unwrap_or_default();
    inbox.post(Input::Callback {
        id: callback.id.into_owned(),
        from: callback.from.into_owned(),
        event,
        report,
        body: may_forward.then(|| body.to_vec()),
        memory,
    });
    true
}
