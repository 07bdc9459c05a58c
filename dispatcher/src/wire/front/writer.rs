//! The writing side of a client's connection: answers, one after another.

use super::Front;
use super::room::Held;
use crate::core::{Answer, Downstream, Inbox};
use crate::wire::connection_limiter::{ShedPriority, SheddableConnection};
use crate::wire::http::{self, by};
use crate::wire::socket::Socket;
use may::sync::mpsc::{Receiver, Sender, channel};
use parking_lot::{Mutex, MutexGuard};
use roselock::{Micros, SECOND};
use std::sync::Arc;

/// How long an answer may take to go out.
const TRANSFER: Micros = 10 * SECOND;

/// Sends answers to a connection's writer.
struct AnswerSender {
    inbox: Inbox,
    answers: Sender<Answer>,
}

impl Downstream for AnswerSender {
    fn answer(&self, answer: Answer, _ran: u32) {
        self.inbox.response_pending();
        if self.answers.send(answer).is_err() {
            self.inbox.response_written();
        }
    }
}

/// A connection's writer, started with its first stream.
pub(super) struct Writer {
    answers: Sender<Answer>,
    /// What became of each answer.
    pub(super) written: Receiver<Written>,
    exchange: Arc<Mutex<Exchange>>,
}

/// What became of an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Written {
    /// The connection stays for the next stream.
    Kept,
    /// It was the last word: what comes behind it is not taken.
    Closed,
    /// It could not be written.
    Broken,
}

/// The exchange on a connection, as its reader and its writer share it. While the dispatcher holds a stream, the client
/// waits; after the answer the client may be long in coming back, so the connection may be shed. The reader only learns
/// of that when more comes in.
#[derive(Default)]
pub(super) struct Exchange {
    /// The stream whose answer is yet to be written.
    pub(super) held: Option<Held>,
    /// The client wants the connection to end with this answer.
    pub(super) close: bool,
    /// Something of the next request has been read: it is owed an answer, so the connection goes on.
    pub(super) behind: bool,
    /// The connection may go.
    pub(super) spare: Option<SheddableConnection>,
}

impl Writer {
    /// Starts the writer of a connection.
    pub(super) fn start(front: &Arc<Front>, socket: &Socket) -> Writer {
        let (answers, posted) = channel::<Answer>();
        let (done, written) = channel();
        let exchange = Arc::<Mutex<Exchange>>::default();
        let (front, socket, shared) = (front.clone(), socket.clone(), exchange.clone());
        may::go!(move || {
            while let Ok(answer) = posted.recv() {
                let became = write_and_end(&front, &socket, &shared, &answer);
                // From here on the process may end: the connection is among those that are told so.
                front.inbox.response_written();
                if done.send(became).is_err() {
                    break;
                }
            }
        });
        Writer { answers, written, exchange }
    }

    /// What the reader and the writer share.
    pub(super) fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock()
    }

    /// The way for a stream's answer.
    pub(super) fn downstream(&self, inbox: &Inbox) -> Box<dyn Downstream> {
        Box::new(AnswerSender { inbox: inbox.clone(), answers: self.answers.clone() })
    }
}

/// Writes an answer, ends the connection if it was its last word, and notes whether it may be shed from now on.
fn write_and_end(front: &Arc<Front>, socket: &Socket, shared: &Mutex<Exchange>, answer: &Answer) -> Written {
    // Who borrows the id of another's stream need not stay.
    let astray = *answer == Answer::Conflict;
    let (wanted, behind) = {
        let exchange = shared.lock();
        (exchange.close, exchange.behind)
    };
    let close = astray || wanted || (front.inbox.is_closing_connections() && !behind);
    let became = match write_answer(socket, answer, close) {
        Ok(()) if close => Written::Closed,
        Ok(()) => Written::Kept,
        Err(_) => Written::Broken,
    };
    match became {
        Written::Kept => {}
        Written::Closed => socket.finish(),
        Written::Broken => socket.close(),
    }
    let mut exchange = shared.lock();
    // A request that has been read is owed an answer: its connection is not among those that may go.
    let needed = became == Written::Kept && exchange.behind;
    let rank = if close { ShedPriority::Closing } else { ShedPriority::Idle };
    let spare = (!needed).then(|| front.connections.spare(rank, socket));
    *exchange = Exchange { spare, ..Exchange::default() };
    became
}

fn write_answer(socket: &Socket, answer: &Answer, close: bool) -> std::io::Result<()> {
    let by = by(TRANSFER);
    match answer {
        Answer::Served(body) => http::respond(socket, 200, "", body, close, by),
        Answer::Rejected(0) => http::respond(socket, 503, "", b"", close, by),
        Answer::Rejected(after) => {
            let after = format!("Retry-After: {:.3}\r\n", *after as f64 / SECOND as f64);
            http::respond(socket, 503, &after, b"", close, by)
        }
        Answer::Conflict => http::respond(socket, 409, "", b"", close, by),
        Answer::Failed => http::respond(socket, 500, "", b"", close, by),
        Answer::TimedOut => http::respond(socket, 504, "", b"", close, by),
    }
}
