//! The writing side of a client's connection: one answer after another.

use super::Front;
use super::reservations::InFlightStream;
use crate::core::{Answer, Downstream, Inbox};
use crate::wire::connection_limiter::{ShedPriority, SheddableConnection};
use crate::wire::http::{Response, deadline_after, write_response};
use crate::wire::socket::Socket;
use may::sync::mpsc::{Receiver, Sender, channel};
use parking_lot::{Mutex, MutexGuard};
use roselock::{Micros, SECOND};
use std::io;
use std::sync::Arc;

/// How long writing an answer may take, in microseconds.
const WRITE_TIMEOUT: Micros = 10 * SECOND;

/// Passes answers on to the writer of a connection.
struct AnswerSender {
    inbox: Inbox,
    answers: Sender<Answer>,
}

impl Downstream for AnswerSender {
    fn answer(&self, answer: Answer, _attempts_run: u32) {
        self.inbox.response_pending();
        if self.answers.send(answer).is_err() {
            self.inbox.response_written();
        }
    }
}

/// The writer of a connection, started with its first stream.
pub(super) struct Writer {
    answers: Sender<Answer>,
    /// The result of each answer.
    pub(super) results: Receiver<WriteResult>,
    exchange: Arc<Mutex<Exchange>>,
}

/// The result of writing an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteResult {
    /// Written; the connection stays open for the next stream.
    KeptOpen,
    /// Written; it was the last answer, and what follows it is not processed.
    Closing,
    /// It could not be written.
    Failed,
}

/// The exchange on a connection, which its reader and its writer share. A client waits while its stream is in
/// flight. After the answer its next request may be a long time in coming, so the connection may be shed,
/// which the reader only learns when more arrives.
#[derive(Default)]
pub(super) struct Exchange {
    /// The stream whose answer is not written yet.
    pub(super) in_flight: Option<InFlightStream>,
    /// The client wants the connection to close after this answer.
    pub(super) close_requested: bool,
    /// A part of the next request has been read: it is owed an answer, so the connection is kept.
    pub(super) has_pipelined_bytes: bool,
    /// Set while the connection may be shed.
    pub(super) sheddable: Option<SheddableConnection>,
}

impl Writer {
    /// Starts the writer of a connection.
    pub(super) fn start(front: &Arc<Front>, socket: &Socket) -> Writer {
        let (answers, pending_answers) = channel::<Answer>();
        let (result_sender, results) = channel();
        let exchange = Arc::<Mutex<Exchange>>::default();
        let writer = Writer { answers, results, exchange: exchange.clone() };
        let front = front.clone();
        let socket = socket.clone();
        may::go!(move || {
            while let Ok(answer) = pending_answers.recv() {
                let result = process_answer(&front, &socket, &exchange, &answer);
                // From here on the process may end, which closes the connection in an orderly way.
                front.inbox.response_written();
                if result_sender.send(result).is_err() {
                    break;
                }
            }
        });
        writer
    }

    /// What the reader and the writer share.
    pub(super) fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock()
    }

    /// Where the answer of a stream goes.
    pub(super) fn downstream(&self, inbox: &Inbox) -> Box<dyn Downstream> {
        Box::new(AnswerSender { inbox: inbox.clone(), answers: self.answers.clone() })
    }
}

/// Writes an answer, closes the connection if it was the last one, and marks it as sheddable unless it is
/// needed.
fn process_answer(
    front: &Arc<Front>,
    socket: &Socket,
    shared: &Mutex<Exchange>,
    answer: &Answer,
) -> WriteResult {
    let must_close = must_close(front, &shared.lock(), answer);
    let result = match write_answer(socket, answer, must_close) {
        Ok(()) if must_close => WriteResult::Closing,
        Ok(()) => WriteResult::KeptOpen,
        Err(_) => WriteResult::Failed,
    };
    match result {
        WriteResult::KeptOpen => {}
        WriteResult::Closing => socket.shut_down_writes(),
        WriteResult::Failed => socket.close(),
    }
    let mut exchange = shared.lock();
    // A request that has been read is owed an answer: its connection must not be shed.
    let is_needed = result == WriteResult::KeptOpen && exchange.has_pipelined_bytes;
    let priority = if must_close { ShedPriority::Closing } else { ShedPriority::Idle };
    let sheddable = (!is_needed).then(|| front.connections.mark_sheddable(priority, socket));
    *exchange = Exchange { sheddable, ..Exchange::default() };
    result
}

/// Whether the connection closes after this answer.
fn must_close(front: &Front, exchange: &Exchange, answer: &Answer) -> bool {
    // A client that reuses the id of another's stream is not kept.
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
