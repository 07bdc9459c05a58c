//! The client's side: what a front hands over when a stream arrives, and the traits that fronts implement to take its
//! answer, to hold jobs back and to record finished streams.

use super::{FleetId, StreamId};
use roselock::{ClassId, KeyId, Micros, TenantId};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

/// A request as received: one buffer, and the ranges of its parts in that buffer.
#[derive(Default)]
pub struct Payload {
    /// The whole request. A stream that is retried by its front shares it.
    pub raw: Arc<Vec<u8>>,
    /// The client's id of the request, where it sent one.
    pub id: Range<usize>,
    /// The id that the front assigned; it takes precedence over [`Payload::id`].
    pub assigned_id: Option<String>,
    /// The method.
    pub method: Range<usize>,
    /// Path and query (HTTP), or the unique id (Gearman).
    pub target: Range<usize>,
    /// The reducer (Gearman).
    pub reducer: Range<usize>,
    /// The client's `Idempotency-Key`, by which hosts recognize a repeated request; empty where the client sent none.
    pub idempotency_key: Range<usize>,
    /// The body.
    pub body: Range<usize>,
}

impl Payload {
    /// The id of the request: the assigned one, or else the client's. Empty if the client's is not UTF-8.
    pub fn id(&self) -> &str {
        match &self.assigned_id {
            Some(id) => id,
            None => std::str::from_utf8(&self.raw[self.id.clone()]).unwrap_or(""),
        }
    }
    /// The bytes of one part, given its range.
    pub fn part(&self, part: &Range<usize>) -> &[u8] {
        &self.raw[part.clone()]
    }
}

/// A new stream.
pub struct NewStream {
    /// Its number, from [`Inbox::stream_id`](super::Inbox::stream_id).
    pub id: StreamId,
    /// The fleet that is to run it.
    pub fleet: FleetId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if known.
    pub tenant: Option<TenantId>,
    /// The key of what it concerns, if it has one.
    pub key: Option<KeyId>,
    /// Slots that it occupies on a host.
    pub slots: f64,
    /// Memory that it occupies on a host, in the unit of the settings.
    pub memory: f64,
    /// Its work in seconds, if the client gave a hint.
    pub hint: Option<f64>,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// Attempts that may have run before this stream, of a job that its front submits again.
    pub prior_attempts: u32,
    /// The client's address.
    pub peer: SocketAddr,
    /// The request to forward.
    pub payload: Arc<Payload>,
    /// Where its answer goes.
    pub downstream: Box<dyn Downstream>,
}

/// The final answer to a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result of an upstream host.
    Served(Vec<u8>),
    /// Local reply: rejected, it has not run. The client may retry after this time, if it is not 0.
    Rejected(Micros),
    /// Local reply: another stream has the same id, or had it recently.
    Conflict,
    /// Local reply: failed, it may have run.
    Failed,
    /// Local reply: no answer before the deadline, it may have run.
    TimedOut,
}

/// The client's side of a stream. Its methods only post; they never wait.
pub trait Downstream: Send {
    /// Passes on the final answer. `attempts_run` is the number of attempts that may have run.
    fn answer(&self, answer: Answer, attempts_run: u32);
    /// Passes on whether a host runs the stream now, where the client's protocol can express it.
    fn running(&self, _runs: bool) {}
    /// Passes on the share that is done, from 0 to 1, where the client's protocol can express it.
    fn progress(&self, _share: f64) {}
    /// Passes on output that precedes the result, where the client's protocol can express it.
    fn output(&self, _kind: OutputKind, _bytes: &[u8]) {}
}

/// Output of a host for a stream, before the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputKind {
    /// A part of the result.
    Data,
    /// A warning.
    Warning,
    /// The reason why it will fail.
    Exception,
}

/// How a stream finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamOutcome {
    /// With a host's result.
    Served,
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
    /// Without an answer before its deadline.
    TimedOut,
    /// Its client disconnected first.
    ClientDisconnected,
}

/// A finished stream, for the flow record.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Its number.
    pub stream: StreamId,
    /// Its class.
    pub class: ClassId,
    /// When it arrived.
    pub start: Micros,
    /// When it finished.
    pub end: Micros,
    /// The client's address.
    pub downstream: SocketAddr,
    /// The address of the host to which it was sent last, if any.
    pub upstream: Option<SocketAddr>,
    /// Bytes of the request's body.
    pub received: usize,
    /// Bytes of the result.
    pub sent: usize,
    /// How it finished.
    pub outcome: StreamOutcome,
}

/// Records finished streams. Never waits.
pub trait FlowSink: Send {
    /// Records one, or counts that it was dropped.
    fn finished(&self, flow: Flow);
}

/// A queue of jobs outside the owner thread, which polls it. Only the owner thread calls it; never waits.
pub trait JobSource: Send {
    /// The next job, if one may be admitted now.
    fn next(&self, now: Micros) -> Option<NewStream>;
    /// When a job may next be admitted without a further [`Input`](super::Input).
    fn next_due(&self) -> Option<Micros>;
    /// The process is about to end: clients that still wait are notified. Called repeatedly until the end.
    fn shut_down(&self);
}
