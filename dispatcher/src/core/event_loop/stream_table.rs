//! The table of streams that have not ended, by number and by job id.

use super::recent_job_ids::RecentJobIds;
use crate::core::CallbackRelevance;
use crate::core::id_claims::{ClaimError, IdClaims};
use crate::core::{Answer, Downstream, FleetId, NewStream, Payload, StreamId, UpstreamId, clock};
use roselock::{ClassId, Micros, Outcome};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long before the end of its window a repeated attempt is sent at the latest, in microseconds, since it takes time
/// to reach the host.
const REPEAT_WINDOW_MARGIN: Micros = 10_000;

/// A stream that has not ended.
pub(super) struct Stream {
    pub(super) fleet: FleetId,
    pub(super) class: ClassId,
    pub(super) arrived_at: Micros,
    pub(super) peer: SocketAddr,
    pub(super) payload: Arc<Payload>,
    pub(super) deadline: Micros,
    pub(super) downstream: Box<dyn Downstream>,
    /// Whether its final answer has been given, or its client has disconnected.
    pub(super) answered: bool,
    /// The number of attempts that the decision logic has made, including those that could not be sent.
    pub(super) attempts: u32,
    /// The attempt in flight.
    pub(super) in_flight: Option<UpstreamId>,
    /// The window in which an attempt may be repeated, if its class had one in the settings when it arrived.
    pub(super) repeat_window: Option<Micros>,
    /// From this time on no further attempt may begin: the end of the window of the first attempt that may have run.
    pub(super) begin_by: Micros,
    /// The number of attempts that may have run, including those of earlier streams of the same job.
    pub(super) attempts_run: u32,
    /// Whether its latest attempt timed out.
    pub(super) last_attempt_timed_out: bool,
    /// The address of the host to which it was sent last.
    pub(super) last_upstream: Option<SocketAddr>,
}

impl Stream {
    pub(super) fn new(new: NewStream, arrived_at: Micros, repeat_window: Option<Micros>) -> Stream {
        Stream {
            fleet: new.fleet,
            class: new.class,
            arrived_at,
            peer: new.peer,
            payload: new.payload,
            deadline: new.deadline,
            downstream: new.downstream,
            answered: false,
            attempts: 0,
            in_flight: None,
            repeat_window,
            begin_by: Micros::MAX,
            attempts_run: new.prior_attempts,
            last_attempt_timed_out: false,
            last_upstream: None,
        }
    }
    /// Records that the attempt in flight has ended.
    pub(super) fn attempt_ended(&mut self, outcome: Outcome) {
        self.in_flight = None;
        self.downstream.running(false);
        self.last_attempt_timed_out = outcome == Outcome::Timeout;
    }
    /// Records that an attempt that was sent at this time may have run.
    pub(super) fn attempt_may_have_run(&mut self, sent_at: Micros) {
        self.attempts_run += 1;
        if let Some(window) = self.repeat_window {
            self.begin_by = self.begin_by.min(sent_at + window - REPEAT_WINDOW_MARGIN);
        }
    }
}

/// The client side of a stream whose client has disconnected.
pub(super) struct DisconnectedClient;

impl Downstream for DisconnectedClient {
    fn answer(&self, _: Answer, _: u32) {}
}

/// The streams that have not ended: those that are unanswered or have an attempt in flight.
#[derive(Default)]
pub(super) struct StreamTable {
    pub(super) by_id: HashMap<StreamId, Stream>,
    by_job_id: HashMap<String, StreamId>,
    recent_job_ids: RecentJobIds,
    /// The ids that are shared with the other process of an upgrade, if there can be one.
    claims: Option<IdClaims>,
}

impl StreamTable {
    /// Shares the ids of clients' requests with the other process of an upgrade.
    pub(super) fn set_id_claims(&mut self, claims: IdClaims) {
        self.claims = Some(claims);
    }
    /// Claims the id of a client's request that may take `time_left`, so that the other process of an upgrade rejects
    /// it. An id that a front end has assigned is known to this process only.
    pub(super) fn claim(&self, payload: &Payload, time_left: Micros) -> Result<(), ClaimError> {
        match self.claims_of(payload) {
            Some(claims) => claims.claim(payload.id(), time_left),
            None => Ok(()),
        }
    }
    /// What is known about a callback for a job id that this process does not know.
    pub(super) fn relevance_elsewhere(&self, job_id: &str) -> CallbackRelevance {
        match &self.claims {
            Some(claims) if !claims.is_open_elsewhere(job_id) => CallbackRelevance::Unexpected,
            _ => CallbackRelevance::Expected,
        }
    }
    /// Records that an attempt of a stream is made. Returns false if its claim is lost, so that the attempt must not be
    /// made.
    #[must_use]
    pub(super) fn begin_attempt(&self, id: StreamId) -> bool {
        let Some(stream) = self.by_id.get(&id) else { return false };
        let claims = self.claims_of(&stream.payload);
        claims.is_none_or(|claims| claims.begin_attempt(stream.payload.id()))
    }
    /// Releases the claimed id of a stream that is about to be answered, if no attempt of it was made.
    pub(super) fn release_unsent(&self, id: StreamId) {
        let Some(stream) = self.get_unanswered(id).filter(|stream| stream.attempts == 0) else { return };
        if let Some(claims) = self.claims_of(&stream.payload) {
            claims.end(stream.payload.id(), false);
        }
    }
    fn claims_of(&self, payload: &Payload) -> Option<&IdClaims> {
        self.claims.as_ref().filter(|_| payload.assigned_id.is_none())
    }
    pub(super) fn insert(&mut self, id: StreamId, job_id: String, stream: Stream) {
        self.by_job_id.insert(job_id, id);
        self.by_id.insert(id, stream);
    }
    pub(super) fn get(&self, id: StreamId) -> Option<&Stream> {
        self.by_id.get(&id)
    }
    pub(super) fn get_mut(&mut self, id: StreamId) -> Option<&mut Stream> {
        self.by_id.get_mut(&id)
    }
    pub(super) fn get_unanswered(&self, id: StreamId) -> Option<&Stream> {
        self.by_id.get(&id).filter(|stream| !stream.answered)
    }
    pub(super) fn get_unanswered_mut(&mut self, id: StreamId) -> Option<&mut Stream> {
        self.by_id.get_mut(&id).filter(|stream| !stream.answered)
    }
    pub(super) fn get_by_job_id(&self, job_id: &str) -> Option<&Stream> {
        self.by_job_id.get(job_id).and_then(|id| self.by_id.get(id))
    }
    pub(super) fn contains_job_id(&self, job_id: &str) -> bool {
        self.by_job_id.contains_key(job_id)
    }
    /// Whether a stream has this job id or had it recently. Callbacks of hosts could not distinguish two streams with
    /// the same id. Clients use a new id for each request: one that was sent to a host before would take effect a
    /// second time.
    pub(super) fn knows_job_id(&mut self, job_id: &str, now: Micros) -> bool {
        self.contains_job_id(job_id) || self.recent_job_ids.contains(job_id, now)
    }
    pub(super) fn all_answered(&self) -> bool {
        self.by_id.values().all(|stream| stream.answered)
    }
    /// Removes a stream that is answered and has no attempt in flight.
    pub(super) fn remove_if_ended(&mut self, id: StreamId) {
        let Some(stream) = self.by_id.get(&id) else { return };
        if !stream.answered || stream.in_flight.is_some() {
            return;
        }
        let job_id = stream.payload.id();
        self.by_job_id.remove(job_id);
        if let Some(claims) = self.claims_of(&stream.payload) {
            claims.end(job_id, stream.attempts > 0);
        }
        if stream.attempts > 0 {
            self.recent_job_ids.insert(job_id, clock::now());
        }
        self.by_id.remove(&id);
    }
}
