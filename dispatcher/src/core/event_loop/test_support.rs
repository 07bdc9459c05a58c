//! Builders shared by the tests of the event loop.

use crate::core::{Answer, Downstream, NewStream, Payload, StreamId, clock};
use roselock::settings::Options;
use roselock::{ClassId, Settings};
use std::sync::Arc;

/// The client side of a stream whose answer does not matter.
pub(super) struct NullDownstream;

impl Downstream for NullDownstream {
    fn answer(&self, _: Answer, _: u32) {}
}

/// Parses options and returns the settings that result.
pub(super) fn settings(options: &str) -> Settings {
    let options: Options = serde_json::from_str(options).expect("valid options");
    options.site().expect("valid settings").settings
}

/// A stream of fleet 0 and class 0 that takes one slot and has a deadline in 9 s.
pub(super) fn new_stream(id: StreamId, job_id: &str) -> NewStream {
    NewStream {
        id,
        fleet: 0,
        class: ClassId(0),
        tenant: None,
        key: None,
        slots: 1.0,
        memory: 0.0,
        hint: None,
        deadline: clock::now() + 9_000_000,
        prior_attempts: 0,
        peer: ([127, 0, 0, 1], 1).into(),
        payload: Arc::new(Payload { assigned_id: Some(job_id.to_owned()), ..Payload::default() }),
        downstream: Box::new(NullDownstream),
    }
}
