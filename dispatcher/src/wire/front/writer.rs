//! The write side of a client connection: writes answers in sequence.

use super::Front;
use super::reservations::InFlightStream;
use crate::core::{Answer, Downstream, Inbox, MemoryBudget, MemoryReservation};
use crate::wire::connection_limiter::{ShedPriority, SheddableConnection};
use crate::wire::http::{Response, deadline_after, write_response};
use crate::wire::socket::Socket;
use may::sync::mpsc::{Receiver, Sender, channel};
use parking_lot::{Mutex, MutexGuard};
use roselock::{Micros, SECOND};
use std::io;
use std::sync::Arc;

/// Time limit for writing an answer.
const WRITE_TIMEOUT: Micros = 10 * SECOND;

/// An answer that has not been written yet, and the memory of its result.
struct PendingAnswer {
    answer: Answer,
    _memory: MemoryReservation,
}

/// Sends answers to the writer of a connection.
struct AnswerSender {
    inbox: Inbox,
    memory: Arc<MemoryBudget>,
    answers: Sender<PendingAnswer>,
}

impl Downstream for AnswerSender {
    fn answer(&self, answer: Answer, _attempts_run: u32) {
        self.inbox.record_pending_response();
        let bytes = if let Answer::Served(result) = &answer { result.capacity() } else { 0 };
        let pending = PendingAnswer { answer, _memory: self.memory.charge(bytes) };
        if self.answers.send(pending).is_err() {
            self.inbox.record_written_response();
        }
    }
}

/// The writer of a connection, which is started with the first stream.
pub(super) struct Writer {
    answers: Sender<PendingAnswer>,
    /// The result of writing each answer.
    pub(super) results: Receiver<WriteResult>,
    exchange: Arc<Mutex<ExchangeState>>,
}

/// The result of writing an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteResult {
    /// The answer was written, and the connection stays open for the next stream.
    KeepAlive,
    /// The last answer was written; later requests on the connection are not processed.
    Closing,
    /// The answer could not be written.
    Failed,
}

/// State of a connection that its reader and its writer share. The connection may be shed after the answer,
/// because the next request may take a long time to arrive; the reader notices this only when further bytes
/// arrive. While a stream is in flight, its client waits, so the connection is kept.
#[derive(Default)]
pub(super) struct ExchangeState {
    /// The stream whose answer has not been written yet.
    pub(super) in_flight: Option<InFlightStream>,
    /// Whether the client requested that the connection closes after this answer.
    pub(super) close_requested: bool,
    /// Whether a part of the next request has been read. That request must get an answer, so the connection
    /// is kept.
    pub(super) has_pipelined_bytes: bool,
    /// Set while the connection may be shed.
    pub(super) sheddable: Option<SheddableConnection>,
}

impl Writer {
    /// Starts the writer of a connection.
    pub(super) fn start(front: &Arc<Front>, socket: &Socket) -> Writer {
        let (answers, pending_answers) = channel::<PendingAnswer>();
        let (result_sender, results) = channel();
        let exchange = Arc::<Mutex<ExchangeState>>::default();
        let writer = Writer { answers, results, exchange: exchange.clone() };
        let front = front.clone();
        let socket = socket.clone();
        may::go!(move || {
            while let Ok(pending) = pending_answers.recv() {
                let result = process_answer(&front, &socket, &exchange, &pending.answer);
                drop(pending);
                // The process may exit from here on; its exit closes the connection gracefully.
                front.inbox.record_written_response();
                if result_sender.send(result).is_err() {
                    break;
                }
            }
        });
        writer
    }

    /// The state that the reader and the writer share.
    pub(super) fn exchange(&self) -> MutexGuard<'_, ExchangeState> {
        self.exchange.lock()
    }

    /// The downstream that receives the answer of a stream.
    pub(super) fn downstream(&self, front: &Front) -> Box<dyn Downstream> {
        let (inbox, memory) = (front.inbox.clone(), front.memory.clone());
        Box::new(AnswerSender { inbox, memory, answers: self.answers.clone() })
    }
}

/// Writes an answer, closes the connection if it was the last one, and marks the connection as sheddable
/// unless it is needed for a pipelined request.
fn process_answer(
    front: &Arc<Front>,
    socket: &Socket,
    shared: &Mutex<ExchangeState>,
    answer: &Answer,
) -> WriteResult {
    let must_close = must_close(front, &shared.lock(), answer);
    let result = match write_answer(socket, answer, must_close) {
        Ok(()) if must_close => WriteResult::Closing,
        Ok(()) => WriteResult::KeepAlive,
        Err(_) => WriteResult::Failed,
    };
    match result {
        WriteResult::KeepAlive => {}
        WriteResult::Closing => socket.shut_down_writes(),
        WriteResult::Failed => socket.close(),
    }
    let mut exchange = shared.lock();
    // A request that has been read must get an answer, so its connection must not be shed.
    let is_needed = result == WriteResult::KeepAlive && exchange.has_pipelined_bytes;
    let priority = if must_close { ShedPriority::Closing } else { ShedPriority::Idle };
    let sheddable = (!is_needed).then(|| front.connections.mark_sheddable(priority, socket));
    *exchange = ExchangeState { sheddable, ..ExchangeState::default() };
    result
}

/// Whether the connection closes after this answer.
fn must_close(front: &Front, exchange: &ExchangeState, answer: &Answer) -> bool {
    // The connection of a client that reuses the id of another client's stream is closed.
    let is_conflict = *answer == Answer::Conflict;
    let is_shutting_down = front.inbox.is_closing_connections() && !exchange.has_pipelined_bytes;
    is_conflict || exchange.close_requested || is_shutting_down
}

fn write_answer(socket: &Socket, answer: &Answer, close: bool) -> io::Result<()> {
    let deadline = deadline_after(WRITE_TIMEOUT);
    let respond = |status, headers: &str, body: &[u8]| {
        write_response(socket, &Response { status, headers, body, close }, deadline)
    };
    match answer {
        Answer::Served(body) => respond(200, "", body),
        Answer::Rejected(0) => respond(503, "", b""),
        Answer::Rejected(retry_after) => {
            let retry_after = *retry_after as f64 / SECOND as f64;
            respond(503, &format!("Retry-After: {retry_after:.3}\r\n"), b"")
        }
        Answer::Conflict => respond(409, "", b""),
        Answer::Failed => respond(500, "", b""),
        Answer::TimedOut => respond(504, "", b""),
    }
}
