//! The client side: what a front end passes in when a stream arrives, and the traits for taking its answer, for
//! queueing jobs outside the event loop and for recording finished streams.

use super::{FleetId, MemoryReservation, StreamId};
use roselock::{ClassId, KeyId, Micros, TenantId};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

/// A request as received: one buffer, and the ranges of its parts in that buffer.
#[derive(Default)]
pub struct Payload {
    /// The whole request. The streams of a job that its front end submits again share it.
    pub raw: Arc<Vec<u8>>,
    /// The request id that the client sent, if any.
    pub id: Range<usize>,
    /// The id that the front end assigned; it takes precedence over [`Payload::id`].
    pub assigned_id: Option<String>,
    /// The method.
    pub method: Range<usize>,
    /// Path and query (HTTP), or the unique id (Gearman).
    pub target: Range<usize>,
    /// The reducer (Gearman).
    pub reducer: Range<usize>,
    /// The client's `Idempotency-Key`, by which hosts recognize a repeated request; empty if the client sent none.
    pub idempotency_key: Range<usize>,
    /// The body.
    pub body: Range<usize>,
    /// The memory that is reserved for the request, if it is counted; attempts and withdrawals may hold it longer than its stream.
    pub _memory: Option<MemoryReservation>,
}

impl Payload {
    /// The id of the request: the assigned one, otherwise the client's. Empty if the client's is not valid UTF-8.
    pub fn id(&self) -> &str {
        match &self.assigned_id {
            Some(id) => id,
            None => std::str::from_utf8(&self.raw[self.id.clone()]).unwrap_or(""),
        }
    }
    /// The bytes in this range of the request.
    pub fn part(&self, part: &Range<usize>) -> &[u8] {
        &self.raw[part.clone()]
    }
}

/// A new stream.
pub struct NewStream {
    /// Its number, from [`Inbox::next_stream_id`](super::Inbox::next_stream_id).
    pub id: StreamId,
    /// The fleet whose hosts may run it.
    pub fleet: FleetId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if known.
    pub tenant: Option<TenantId>,
    /// The key of the object that it concerns, if it has one.
    pub key: Option<KeyId>,
    /// Slots that it occupies on a host.
    pub slots: f64,
    /// Memory that it occupies on a host, in the unit of the settings.
    pub memory: f64,
    /// The client's estimate of its run time in seconds, if it sent one.
    pub hint: Option<f64>,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// For a job that its front end submits again: the number of attempts in earlier streams that may have run.
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
    /// Local reply: rejected without having run. The client may retry after this time, unless it is 0.
    Rejected(Micros),
    /// Local reply: another stream has the same id, or had it recently.
    Conflict,
    /// Local reply: failed; it may have run.
    Failed,
    /// Local reply: no answer before the deadline; it may have run.
    TimedOut,
}

/// The client side of a stream. Its methods only enqueue; they never block.
pub trait Downstream: Send {
    /// Sends the final answer. `attempts_run` is the number of attempts that may have run.
    fn answer(&self, answer: Answer, attempts_run: u32);
    /// Reports whether a host is running the stream, if the client's protocol supports it.
    fn running(&self, _is_running: bool) {}
    /// Reports the share of the work that is done, from 0 to 1, if the client's protocol supports it.
    fn progress(&self, _share: f64) {}
    /// Sends output that precedes the result, if the client's protocol supports it.
    fn output(&self, _kind: OutputKind, _bytes: &[u8]) {}
}

/// The kind of output that a host sends before the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputKind {
    /// A part of the result.
    Data,
    /// A warning.
    Warning,
    /// The reason for a failure that will follow.
    Exception,
}

/// How a stream finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamOutcome {
    /// It was answered with a host's result.
    Served,
    /// It was rejected without having run.
    Rejected,
    /// It failed.
    Failed,
    /// There was no answer before its deadline.
    TimedOut,
    /// Its client disconnected before the answer.
    ClientDisconnected,
}

/// A finished stream, for the flow record.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The number of the stream.
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
    /// Size of the request body in bytes.
    pub bytes_received: usize,
    /// Size of the result in bytes.
    pub bytes_sent: usize,
    /// How it finished.
    pub outcome: StreamOutcome,
}

/// Records finished streams. It never blocks.
pub trait FlowSink: Send {
    /// Records a finished stream; if that is not possible, counts it as dropped.
    fn record_flow(&self, flow: Flow);
}

/// A queue of jobs outside the event loop, which polls it. Only the event loop calls its methods; they never block.
pub trait JobSource: Send {
    /// The next job, if one may be admitted now.
    fn next(&self, now: Micros) -> Option<NewStream>;
    /// When the next job may be admitted, if no [`Input`](super::Input) arrives before that.
    fn next_due(&self) -> Option<Micros>;
    /// Notifies the clients that are still waiting that the process is about to end. Called repeatedly until it ends.
    fn shut_down(&self);
}
