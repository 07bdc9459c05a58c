//! The interface to the event loop: a bounded queue of inputs, and the few values that socket code and the event loop
//! share as atomics.

use super::shutdown_deadlines::ShutdownDeadlines;
use super::{FleetId, Input, ListedHost, NewStream, StreamId, clock};
use roselock::{ListMode, Micros};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Maximum number of queued inputs.
const QUEUE_CAPACITY: usize = 4096;
/// How long a coroutine sleeps before it retries a full queue.
const FULL_QUEUE_RETRY_DELAY: Duration = Duration::from_millis(1);
/// The bit of [`Shared::queued_streams`] that is set once no further streams are accepted.
const CLOSED: u64 = 1 << 63;

/// A handle to the input queue and to the shared values.
#[derive(Clone)]
pub struct Inbox {
    queue: SyncSender<Input>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    /// The number of the next stream.
    stream_counter: AtomicU32,
    /// The number of answers that have not been written yet.
    pending_responses: AtomicUsize,
    has_ready_host: AtomicBool,
    /// When a shutdown was requested; 0 if none was.
    shutdown_requested_at: AtomicI64,
    /// The shortest client timeout of all settings read so far, taking the longest one of any class in each; 0 if no
    /// settings have been read.
    min_client_timeout: AtomicI64,
    /// The number of streams that are posted and not yet received by the event loop, and the bit [`CLOSED`].
    queued_streams: AtomicU64,
    /// The number of lists from the discovery service that are posted and not yet applied.
    unapplied_lists: AtomicUsize,
}

impl Inbox {
    /// Creates an inbox and the receiver of its queue.
    pub fn new() -> (Inbox, Receiver<Input>) {
        let (queue, receiver) = sync_channel(QUEUE_CAPACITY);
        (Inbox { queue, shared: Arc::default() }, receiver)
    }
    /// Posts an input. If the queue is full, the calling coroutine sleeps until there is capacity; its thread is not
    /// blocked.
    pub fn post(&self, mut input: Input) {
        while let Err(TrySendError::Full(rejected)) = self.queue.try_send(input) {
            input = rejected;
            clock::sleep(FULL_QUEUE_RETRY_DELAY);
        }
    }
    /// Wakes the event loop without blocking. If the queue is full, the event loop is awake anyway.
    pub fn wake(&self) {
        let _ = self.queue.try_send(Input::JobsAvailable);
    }

    /// Requests a graceful shutdown; the time of the first request counts.
    pub fn request_shutdown(&self) {
        let _ = self.shared.shutdown_requested_at.compare_exchange(
            0,
            clock::now(),
            Ordering::SeqCst,
            Ordering::SeqCst,
        );
        self.post(Input::ShutdownRequested);
    }
    /// When a shutdown was requested, if it was.
    pub fn shutdown_requested_at(&self) -> Option<Micros> {
        let requested_at = self.shared.shutdown_requested_at.load(Ordering::SeqCst);
        (requested_at != 0).then_some(requested_at)
    }
    /// The deadlines of the shutdown, if one was requested. They may become earlier when settings are read.
    pub fn shutdown_deadlines(&self) -> Option<ShutdownDeadlines> {
        let requested_at = self.shutdown_requested_at()?;
        let client_timeout = self.shared.min_client_timeout.load(Ordering::SeqCst);
        Some(ShutdownDeadlines::new(requested_at, client_timeout))
    }
    /// Records the longest client timeout of any class in settings that were read. The platform may compute the time of
    /// the kill from any settings that it has provided, so the shortest of the recorded timeouts counts.
    pub fn record_client_timeout(&self, longest: Micros) {
        let shorter = |known: Micros| (known == 0 || longest < known).then_some(longest);
        let _ = self.shared.min_client_timeout.fetch_update(Ordering::SeqCst, Ordering::SeqCst, shorter);
    }
    /// When the process must have ended; [`Micros::MAX`] if no shutdown was requested.
    pub fn exit_deadline(&self) -> Micros {
        self.shutdown_deadlines().map_or(Micros::MAX, |deadlines| deadlines.exit_by())
    }
    /// Whether a shutdown has advanced to the phase in which connections close after their next answer.
    pub fn is_closing_connections(&self) -> bool {
        self.shutdown_deadlines().is_some_and(|deadlines| deadlines.is_closing_connections(clock::now()))
    }

    /// Allocates the number of a new stream.
    pub fn next_stream_id(&self) -> StreamId {
        self.shared.stream_counter.fetch_add(1, Ordering::Relaxed)
    }
    /// Posts a stream. Returns false, without posting it, if no further streams are accepted.
    pub fn submit(&self, new: Box<NewStream>) -> bool {
        let increment = |streams: u64| (streams & CLOSED == 0).then_some(streams + 1);
        if self.shared.queued_streams.fetch_update(Ordering::SeqCst, Ordering::SeqCst, increment).is_err() {
            return false;
        }
        self.post(Input::StreamArrived(new));
        true
    }
    /// Records that the event loop has received a stream.
    pub fn stream_received(&self) {
        let decrement = |streams: u64| streams.checked_sub(1);
        let _ = self.shared.queued_streams.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement);
    }
    /// Stops accepting streams. Returns false, without effect, while posted streams have not been received by the event
    /// loop.
    pub fn stop_accepting(&self) -> bool {
        self.shared.queued_streams.compare_exchange(0, CLOSED, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }

    /// Posts a list from the discovery service.
    pub fn post_list(&self, fleet: FleetId, mode: ListMode, hosts: Vec<ListedHost>) {
        self.shared.unapplied_lists.fetch_add(1, Ordering::SeqCst);
        self.post(Input::Hosts { fleet, mode, hosts, received_at: clock::now() });
    }
    /// Records that the event loop has applied a list from the discovery service.
    pub fn record_applied_list(&self) {
        self.shared.unapplied_lists.fetch_sub(1, Ordering::SeqCst);
    }
    /// Whether a list from the discovery service waits for the event loop.
    pub fn has_unapplied_list(&self) -> bool {
        self.shared.unapplied_lists.load(Ordering::SeqCst) > 0
    }

    /// Sets whether any host is ready to accept jobs.
    pub fn set_has_ready_host(&self, ready: bool) {
        self.shared.has_ready_host.store(ready, Ordering::SeqCst);
    }
    /// Whether any host is ready to accept jobs.
    pub fn has_ready_host(&self) -> bool {
        self.shared.has_ready_host.load(Ordering::SeqCst)
    }

    /// Records an answer that is to be written.
    pub fn record_pending_response(&self) {
        self.shared.pending_responses.fetch_add(1, Ordering::SeqCst);
    }
    /// Records that an answer has been written, or is dropped because its client has disconnected.
    pub fn record_written_response(&self) {
        self.shared.pending_responses.fetch_sub(1, Ordering::SeqCst);
    }
    /// The number of answers that have not been written yet.
    pub fn pending_responses(&self) -> usize {
        self.shared.pending_responses.load(Ordering::SeqCst)
    }
}
