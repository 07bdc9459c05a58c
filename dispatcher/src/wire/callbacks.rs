//! The call-backs in which upstream hosts tell what becomes of a stream.

use crate::core::{CallbackEvent, Inbox, Input};
use roselock::Outcome;
use roselock::settings::{self, Site};
use serde::Deserialize;
use std::borrow::Cow;

/// Where they come in.
pub const PATH: &str = "/v1/job-events";

#[derive(Deserialize)]
struct CallBack<'a> {
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
    load: Option<settings::WorkerReport>,
}

/// Passes one on, with its body where the other process of an upgrade may have its stream; false where it makes no
/// sense.
pub fn take(body: &[u8], site: &Site, inbox: &Inbox, relayed: bool) -> bool {
    let Ok(c) = serde_json::from_slice::<CallBack>(body) else { return false };
    let told = match &*c.state {
        "started" => CallbackEvent::Started,
        "running" => CallbackEvent::Progress(c.share),
        "done" => CallbackEvent::Ended(Outcome::Ok, c.result.unwrap_or_default().into_bytes()),
        "failed" => CallbackEvent::Ended(Outcome::Error, Vec::new()),
        "returned" => CallbackEvent::Ended(Outcome::Rejected, Vec::new()),
        "lost" => CallbackEvent::Ended(Outcome::Reset, Vec::new()),
        _ => return false,
    };
    let gauge = c.load.map(|l| site.load_report(&l)).unwrap_or_default();
    let body = relayed.then(|| body.to_vec());
    inbox.post(Input::Callback {
        id: c.id.into_owned(),
        from: c.from.into_owned(),
        event: told,
        report: gauge,
        body,
    });
    true
}
