//! What is kept in memory: streams, upstream requests, upstream hosts, their pools, and the thread that owns
//! the decisions. Nothing here knows a wire; fronts and upstreams stand behind the traits of this module.

pub mod clock;
pub mod event_loop;
pub mod pool;
pub mod suspensions;

use roselock::{
    ClassId, Endpoint, KeyId, ListMode, LoadReport, Micros, Outcome, Settings, TenantId, WatchEnd, WorkerId,
};
use roselock_dial_limiter::DialLimits;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// A stream: one request of a client, until its final answer. The decisions know it by the same number.
pub type StreamId = u32;

/// An upstream request: one attempt of a stream at an upstream host, a probe, or a withdrawal.
pub type UpstreamId = u64;

/// Index of a fleet: upstream hosts that share an instance of the decisions.
pub type FleetId = usize;

/// A request as it came in: one buffer, and where its parts lie in it.
#[derive(Default)]
pub struct Payload {
    /// All of it; a stream that comes again shares it.
    pub raw: Arc<Vec<u8>>,
    /// The client's id for it, where it has one of its own.
    pub id: Range<usize>,
    /// The id that a front gave it.
    pub assigned_id: Option<String>,
    /// The method.
    pub method: Range<usize>,
    /// Path and query; a unique id.
    pub target: Range<usize>,
    /// What a front keeps beside these: a reducer.
    pub reducer: Range<usize>,
    /// The client's `Idempotency-Key`, by which hosts tell a repeat; empty where it sent none.
    pub idempotency_key: Range<usize>,
    /// The body.
    pub body: Range<usize>,
}

impl Payload {
    /// The client's id for it.
    pub fn id(&self) -> &str {
        match &self.assigned_id {
            Some(id) => id,
            None => std::str::from_utf8(&self.raw[self.id.clone()]).unwrap_or(""),
        }
    }
    /// A part of it.
    pub fn part(&self, part: &Range<usize>) -> &[u8] {
        &self.raw[part.clone()]
    }
}

/// A new stream.
pub struct NewStream {
    /// Its number, from [`Inbox::stream_id`].
    pub id: StreamId,
    /// Who is to run it.
    pub fleet: FleetId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if known.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<KeyId>,
    /// Slots it takes.
    pub slots: f64,
    /// Memory it takes.
    pub memory: f64,
    /// Its work, if hinted.
    pub hint: Option<f64>,
    /// When the client gives it up.
    pub deadline: Micros,
    /// Attempts that may have run before it came in, of a stream that comes again.
    pub prior_attempts: u32,
    /// The client's address.
    pub peer: SocketAddr,
    /// What to pass on.
    pub payload: Arc<Payload>,
    /// Where its answer goes.
    pub downstream: Box<dyn Downstream>,
}

/// The final answer to a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// What an upstream host made of it.
    Served(Vec<u8>),
    /// A local reply: not taken on, harmless to try again, after this span if any.
    Rejected(Micros),
    /// A local reply: its id is that of another stream.
    Conflict,
    /// A local reply: failed, it may have run.
    Failed,
    /// A local reply: no answer in time, it may have run.
    TimedOut,
}

/// The client's side of a stream. Posts only; never waits.
pub trait Downstream: Send {
    /// Passes on the final answer; so many of its attempts may have run.
    fn answer(&self, answer: Answer, ran: u32);
    /// Whether a host runs it now, where the client's protocol has a word for it.
    fn running(&self, _runs: bool) {}
    /// The share done, likewise.
    fn progress(&self, _share: f64) {}
    /// What a host says meanwhile, likewise.
    fn output(&self, _saying: OutputKind, _bytes: &[u8]) {}
}

/// How a stream finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamOutcome {
    /// With a host's result.
    Served,
    /// With a refusal.
    Rejected,
    /// With a failure.
    Failed,
    /// Without an answer in time.
    TimedOut,
    /// Its client left.
    ClientDisconnected,
}

/// A finished stream, for the record.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Its number.
    pub stream: StreamId,
    /// Its class.
    pub class: ClassId,
    /// When it came, and when it finished.
    pub start: Micros,
    pub end: Micros,
    /// The client's address, and that of the host that had it last.
    pub downstream: SocketAddr,
    pub upstream: Option<SocketAddr>,
    /// Bytes of the request and of its result.
    pub received: usize,
    pub sent: usize,
    /// How it finished.
    pub finish: StreamOutcome,
}

/// Takes down finished streams. Never waits.
pub trait FlowSink: Send {
    /// Notes one, or counts that it could not.
    fn finished(&self, flow: Flow);
}

/// What a host may say of a stream before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputKind {
    /// A part of the result.
    Data,
    /// A warning.
    Warning,
    /// Why it will fail.
    Exception,
}

/// What an upstream request asks for.
#[derive(Clone)]
pub enum RequestKind {
    /// To run a stream.
    Run(Arc<Payload>),
    /// To stop running one.
    Withdraw(Arc<Payload>),
    /// How it is.
    HealthCheck,
    /// Nothing: a new connection is opened ahead, and kept if it is accepted.
    Preconnect,
}

/// An upstream request on its way to a connection.
#[derive(Clone)]
pub struct UpstreamRequest {
    /// Its number.
    pub id: UpstreamId,
    /// What is asked.
    pub ask: RequestKind,
    /// When a new connection is given up.
    pub connect_by: Micros,
    /// From when on it may not begin any more: its hosts do not know the request as a repeat.
    pub begin_by: Micros,
    /// When it is given up.
    pub deadline: Micros,
    /// The class of the stream that it runs, if it runs one: it is counted once written whole.
    pub class: Option<usize>,
}

/// A connection to an upstream host. Posts only; never waits.
pub trait UpstreamConnection: Send + Sync {
    /// Starts an upstream request on it; false if it has closed, and nothing was done.
    fn start(&self, request: UpstreamRequest) -> bool;
    /// Ends this upstream request at once.
    fn abort(&self, id: UpstreamId);
    /// Whether it is open, as far as can be seen without a word.
    fn is_open(&self) -> bool {
        true
    }
    /// Gives up what is on it, if nothing of it has left yet as the connection is not up; false if something may have.
    fn cancel_unsent(&self) -> bool {
        false
    }
    /// Whether it takes but one upstream request at a time, all its life (a worker that came to us).
    fn is_inbound(&self) -> bool {
        false
    }
}

/// Opens connections to the upstream hosts of a fleet. Posts only; never waits.
pub trait Dialer: Send {
    /// Opens one, for a first upstream request.
    fn dial(&self, endpoint: SocketAddr, request: UpstreamRequest) -> Arc<dyn UpstreamConnection>;
    /// Whether another connection may be opened for this. Some are kept for withdrawals: a host runs on what nobody
    /// waits for.
    fn has_capacity(&self, ask: &RequestKind) -> bool;
    /// Asks for the changes of the list.
    fn watch_endpoints(&self);
}

/// Passes call-backs of streams that are not here to the other process of an upgrade. Never waits.
pub trait CallbackRelay: Send {
    /// Passes one on, as its body came.
    fn forward(&self, body: Vec<u8>);
}

/// Streams that wait elsewhere until the owner has room for them. Called by the owner alone; never waits.
pub trait JobSource: Send {
    /// The next one, if one may come in now.
    fn next(&self, now: Micros) -> Option<NewStream>;
    /// When one may come in without further news.
    fn next_due(&self) -> Option<Micros>;
    /// The process is about to end: who still waits is told. Called over and over until the end.
    fn shut_down(&self);
}

/// What was heard of an upstream request.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// The host has it; word of its end comes later.
    Accepted,
    /// The host has it and runs it.
    Started,
    /// This share of it is done.
    Progress(f64),
    /// The host says something of it.
    Output {
        /// Of what kind it is.
        kind: OutputKind,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// It ended.
    Ended {
        /// How.
        outcome: Outcome,
        /// The host's load report.
        report: LoadReport,
        /// The result.
        body: Vec<u8>,
    },
    /// A probe's answer.
    HealthChecked {
        /// The host is well.
        ok: bool,
        /// Its load report.
        report: LoadReport,
    },
    /// The host has answered a withdrawal.
    Withdrawn,
    /// The connection ended under a probe or a withdrawal.
    ConnectionLost,
    /// The host has rejected a new connection: closed it at once, without a byte.
    ConnectionRejected {
        /// Some of the request had been written by then.
        request_written: bool,
    },
    /// Nothing of note.
    Ignored,
}

/// What became of the connection on which that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Still the upstream request's own.
    Busy,
    /// Fit for the next one.
    Free,
    /// Closed.
    Closed,
}

/// What a call-back tells of a stream.
#[derive(Debug)]
pub enum CallbackEvent {
    /// It has started.
    Started,
    /// This share of it is done.
    Progress(f64),
    /// It has ended.
    Ended(Outcome, Vec<u8>),
}

/// An upstream host as listed.
pub struct ListedHost {
    /// Its name on the wire.
    pub uid: String,
    /// Where to dial it; a host with a link of its own has none.
    pub address: Option<SocketAddr>,
    /// What the decisions are told.
    pub endpoint: Endpoint,
    /// Its own connection, where it came to us.
    pub connection: Option<Arc<dyn UpstreamConnection>>,
}

/// What socket code tells the owner of the decisions.
pub enum Input {
    /// A stream came in.
    StreamArrived(Box<NewStream>),
    /// Its client left.
    ClientDisconnected(StreamId),
    /// News of an upstream request.
    Upstream {
        /// The upstream request.
        id: UpstreamId,
        /// What happened.
        event: UpstreamEvent,
        /// The state of its connection after that.
        connection: ConnectionState,
    },
    /// A callback of an upstream host.
    Callback {
        /// The client's id of the job.
        id: String,
        /// The name of the host that sent it.
        from: String,
        /// What happened.
        event: CallbackEvent,
        /// The host's load report.
        report: LoadReport,
        /// Its body as received, where it may be forwarded to the other process of an upgrade.
        body: Option<Vec<u8>>,
    },
    /// News of the hosts.
    Hosts {
        /// The fleet.
        fleet: FleetId,
        /// How to read the list.
        mode: ListMode,
        /// The hosts.
        hosts: Vec<ListedHost>,
    },
    /// A host that came to us has so many hands free, by what it does elsewhere.
    Capacity {
        /// The fleet.
        fleet: FleetId,
        /// The worker.
        worker: WorkerId,
        /// Its free slots.
        free_slots: f64,
    },
    /// A new fleet, with settings and a seed.
    FleetAdded {
        /// Its number: the next one that is free.
        fleet: FleetId,
        /// The settings of its decisions.
        settings: Box<Settings>,
        /// The seed of its random numbers.
        seed: u64,
    },
    /// A feed may have something.
    Feed,
    /// The watch on the hosts, or a call for one, ended.
    WatchEnded {
        /// The fleet.
        fleet: FleetId,
        /// How it ended.
        end: WatchEnd,
    },
    /// The list service was moved at that time.
    DiscoveryMoved {
        /// The fleet.
        fleet: FleetId,
        /// When.
        at: Micros,
    },
    /// New settings of the decisions, for the same names.
    SettingsChanged {
        /// The fleet.
        fleet: FleetId,
        /// The settings.
        settings: Box<Settings>,
    },
    /// New limits of connections to the workers of a fleet that has such limits.
    DialLimitsChanged {
        /// The fleet.
        fleet: FleetId,
        /// The limits.
        limits: DialLimits,
    },
    /// Finish what is owed, then stop.
    ShutdownRequested,
}

/// The way to the owner of the decisions: a bounded queue.
#[derive(Clone)]
pub struct Inbox {
    queue: SyncSender<Input>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    streams: AtomicU32,
    pending_responses: AtomicUsize,
    has_ready_host: AtomicBool,
    /// When it was told to stop, if it was.
    shutdown_requested_at: AtomicI64,
    /// The longest deadline of any class, of the settings in which that is shortest; 0: none are known.
    min_client_timeout: AtomicI64,
    /// Streams posted and not yet taken in by the owner, and a bit that is set once none is taken any more.
    submitted: AtomicU64,
}

/// Set in `entering` at the end.
const CLOSED: u64 = 1 << 63;

/// A process that is told to stop may be killed this long after that and its longest deadline, of which no more than
/// `COUNTED` counts; what comes late has its answer this long before.
const KILL_GRACE: Micros = 700_000;
const MAX_COUNTED_TIMEOUT: Micros = 3_000_000;
const KILL_MARGIN: Micros = 200_000;
/// For half of that time, and a little, it serves on as before on the connections it has: their clients may have nowhere
/// else to go. After that each ends with its next answer.
const LINGER_FRACTION: (Micros, Micros) = (18, 35);

/// Most inputs that wait for the owner.
const QUEUE_CAPACITY: usize = 4096;

impl Inbox {
    /// The queue and its end.
    pub fn new() -> (Inbox, Receiver<Input>) {
        let (queue, outlet) = sync_channel(QUEUE_CAPACITY);
        (Inbox { queue, shared: Arc::default() }, outlet)
    }
    /// Posts one input. Where the queue is full, the coroutine (never its thread) waits.
    pub fn post(&self, mut input: Input) {
        while let Err(TrySendError::Full(back)) = self.queue.try_send(input) {
            input = back;
            may::coroutine::sleep(std::time::Duration::from_millis(1));
        }
    }
    /// Finish what is owed, then stop.
    pub fn request_shutdown(&self) {
        let _ = self.shared.shutdown_requested_at.compare_exchange(
            0,
            clock::now(),
            Ordering::SeqCst,
            Ordering::SeqCst,
        );
        self.post(Input::ShutdownRequested);
    }
    /// Wakes the owner, if there is room in the queue: where there is none, it is awake anyway. Never waits.
    pub fn wake(&self) {
        let _ = self.queue.try_send(Input::Feed);
    }
    /// When it was told to stop.
    pub fn shutdown_requested_at(&self) -> Option<Micros> {
        Some(self.shared.shutdown_requested_at.load(Ordering::SeqCst)).filter(|at| *at != 0)
    }
    /// Notes the longest deadline of any class in settings that were read. Whoever ends the process may go by any of them, so
    /// the earliest end holds.
    pub fn note_client_timeout(&self, longest: Micros) {
        let shorter = |known: Micros| (known == 0 || longest < known).then_some(longest);
        let _ = self.shared.min_client_timeout.fetch_update(Ordering::SeqCst, Ordering::SeqCst, shorter);
    }
    /// How long after the word to stop the last answer has to be out.
    pub fn drain_timeout(&self) -> Micros {
        self.shared.min_client_timeout.load(Ordering::SeqCst).min(MAX_COUNTED_TIMEOUT) + KILL_GRACE
            - KILL_MARGIN
    }
    /// When the process has to have ended, once it was told to stop.
    pub fn exit_deadline(&self) -> Micros {
        self.shutdown_requested_at().map_or(Micros::MAX, |at| at + self.drain_timeout() + KILL_MARGIN / 2)
    }
    /// Whether the word to stop came so long ago that connections are closed after their next answer.
    pub fn is_closing_connections(&self) -> bool {
        self.shutdown_requested_at().is_some_and(|at| {
            clock::now() - at >= self.drain_timeout() * LINGER_FRACTION.0 / LINGER_FRACTION.1
        })
    }
    /// Posts a stream; false where none is taken any more, and nothing was done.
    pub fn submit(&self, new: Box<NewStream>) -> bool {
        let one_more = |entering: u64| (entering & CLOSED == 0).then_some(entering + 1);
        if self.shared.submitted.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_more).is_err() {
            return false;
        }
        self.post(Input::StreamArrived(new));
        true
    }
    /// The owner has taken a posted stream in.
    pub fn accepted(&self) {
        let _ = self.shared.submitted.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
    }
    /// Takes no further stream; false while one that was posted has not been taken in.
    pub fn stop_accepting(&self) -> bool {
        self.shared.submitted.compare_exchange(0, CLOSED, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }
    /// A number for a new stream.
    pub fn stream_id(&self) -> StreamId {
        self.shared.streams.fetch_add(1, Ordering::Relaxed)
    }
    /// Notes whether any host takes work.
    pub fn set_has_ready_host(&self, able: bool) {
        self.shared.has_ready_host.store(able, Ordering::SeqCst);
    }
    /// Whether any host takes work.
    pub fn has_ready_host(&self) -> bool {
        self.shared.has_ready_host.load(Ordering::SeqCst)
    }
    /// Notes an answer that is to be written.
    pub fn response_pending(&self) {
        self.shared.pending_responses.fetch_add(1, Ordering::SeqCst);
    }
    /// Notes an answer that is written, or has nobody left to read it.
    pub fn response_written(&self) {
        self.shared.pending_responses.fetch_sub(1, Ordering::SeqCst);
    }
    /// Answers that are yet to be written.
    pub fn pending_responses(&self) -> usize {
        self.shared.pending_responses.load(Ordering::SeqCst)
    }
}
