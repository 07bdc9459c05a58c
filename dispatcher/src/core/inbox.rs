//! The way to the owner thread: a bounded queue, and the few values that socket code and the owner share without a message.

use super::shutdown_deadlines::ShutdownDeadlines;
use super::{Input, NewStream, StreamId, clock};
use roselock::Micros;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Most inputs that wait for the owner.
const QUEUE_CAPACITY: usize = 4096;
/// How long a coroutine waits before it tries a full queue again.
const FULL_QUEUE_RETRY: Duration = Duration::from_millis(1);
/// The bit of [`Shared::submitted`] that is set once no stream is accepted any more.
const CLOSED: u64 = 1 << 63;

/// A handle to the owner's queue and to the shared values.
#[derive(Clone)]
pub struct Inbox {
    queue: SyncSender<Input>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    /// The number of the next stream.
    streams: AtomicU32,
    /// Answers that are yet to be written.
    pending_responses: AtomicUsize,
    has_ready_host: AtomicBool,
    /// When a shutdown was requested; 0: it was not.
    shutdown_requested_at: AtomicI64,
    /// The longest client timeout of any class, in the settings in which that is shortest; 0: no settings are known.
    min_client_timeout: AtomicI64,
    /// Streams posted and not yet received by the owner, and [`CLOSED`].
    submitted: AtomicU64,
}

impl Inbox {
    /// The queue and its receiver.
    pub fn new() -> (Inbox, Receiver<Input>) {
        let (queue, receiver) = sync_channel(QUEUE_CAPACITY);
        (Inbox { queue, shared: Arc::default() }, receiver)
    }
    /// Posts one input. Where the queue is full, the coroutine (never its thread) waits.
    pub fn post(&self, mut input: Input) {
        while let Err(TrySendError::Full(rejected)) = self.queue.try_send(input) {
            input = rejected;
            may::coroutine::sleep(FULL_QUEUE_RETRY);
        }
    }
    /// Wakes the owner, if the queue has capacity: if it has none, the owner is awake anyway. Never waits.
    pub fn wake(&self) {
        let _ = self.queue.try_send(Input::JobsAvailable);
    }

    /// Requests a graceful shutdown; the first request counts.
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
    /// The deadlines of the shutdown, if one was requested. They may move to an earlier time when settings are read.
    pub fn shutdown_deadlines(&self) -> Option<ShutdownDeadlines> {
        let requested_at = self.shutdown_requested_at()?;
        let client_timeout = self.shared.min_client_timeout.load(Ordering::SeqCst);
        Some(ShutdownDeadlines::new(requested_at, client_timeout))
    }
    /// Notes the longest client timeout of any class in settings that were read. The platform may compute the time of the
    /// kill from any settings that it has passed, so the shortest of these timeouts counts.
    pub fn note_client_timeout(&self, longest: Micros) {
        let shorter = |known: Micros| (known == 0 || longest < known).then_some(longest);
        let _ = self.shared.min_client_timeout.fetch_update(Ordering::SeqCst, Ordering::SeqCst, shorter);
    }
    /// When the process has to have ended: [`Micros::MAX`] while no shutdown is requested.
    pub fn exit_deadline(&self) -> Micros {
        self.shutdown_deadlines().map_or(Micros::MAX, |deadlines| deadlines.exit_by())
    }
    /// Whether a shutdown was requested so long ago that connections close after their next answer.
    pub fn is_closing_connections(&self) -> bool {
        self.shutdown_deadlines().is_some_and(|deadlines| deadlines.is_closing_connections(clock::now()))
    }

    /// A number for a new stream.
    pub fn stream_id(&self) -> StreamId {
        self.shared.streams.fetch_add(1, Ordering::Relaxed)
    }
    /// Posts a stream. False if no stream is accepted any more: nothing was done then.
    pub fn submit(&self, new: Box<NewStream>) -> bool {
        let one_more = |submitted: u64| (submitted & CLOSED == 0).then_some(submitted + 1);
        if self.shared.submitted.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_more).is_err() {
            return false;
        }
        self.post(Input::StreamArrived(new));
        true
    }
    /// The owner has received a stream that was posted.
    pub fn stream_received(&self) {
        let one_less = |submitted: u64| submitted.checked_sub(1);
        let _ = self.shared.submitted.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less);
    }
    /// Accepts no further stream. False, and nothing is done, while the owner has not received all that were posted.
    pub fn stop_accepting(&self) -> bool {
        self.shared.submitted.compare_exchange(0, CLOSED, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }

    /// Notes whether any host takes work.
    pub fn set_has_ready_host(&self, ready: bool) {
        self.shared.has_ready_host.store(ready, Ordering::SeqCst);
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
