//! The reading side of a client's connection: one request after another, and the client's leaving.

use super::request::stream_of;
use super::room::{Bulk, Held};
use super::writer::{Writer, Written};
use super::{CALLED_BACK, Front};
use crate::core::{Input, NewStream, StreamId};
use crate::wire::callbacks;
use crate::wire::connection_limiter::{
    FIRST_REQUEST_TIMEOUT, REQUEST_READ_TIMEOUT, ShedPriority, SheddableConnection,
};
use crate::wire::http::{self, HttpError, Message, Reader, by};
use crate::wire::socket::Socket;
use may::net::TcpStream;
use roselock::{Micros, SECOND};
use roselock_admin::metrics::JobResult;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a connection that has asked for something may idle.
const IDLE: Micros = 120 * SECOND;
/// How long a connection that said its last word waits for the client's next byte or its close, in all, and how many
/// bytes it reads and drops meanwhile.
const CLOSING_TIMEOUT: Micros = SECOND / 2;
const CLOSING_MOST: Micros = 2 * SECOND;
const CLOSING_BYTES: usize = 8 << 20;
/// Bytes behind a held stream that are kept for the connection's next ones: so many in any case, and so many where the
/// memory for bodies has room for them. What comes beyond is dropped, and the connection ends after those that are kept.
const AHEAD: usize = 8 * 1024;
const AHEAD_MOST: usize = 64 * 1024;
/// While there are such bytes, the answer's end is looked for this often.
const BEHIND: Micros = SECOND / 50;

/// Serves a connection until it ends.
pub(super) fn serve(front: &Arc<Front>, stream: TcpStream, peer: SocketAddr) {
    let mut connection = Connection::new(front, stream, peer);
    loop {
        match connection.step() {
            Next::Again => {}
            Next::Close => return connection.close(),
            Next::End => return,
        }
    }
}

/// How a connection goes on.
enum Next {
    /// With its next bytes.
    Again,
    /// Its last word has been said: what it still sends is read and dropped.
    Close,
    /// Not at all.
    End,
}

/// What becomes of a request.
enum Routed {
    /// It is a stream of this number.
    Held(StreamId),
    /// The connection was shed in this moment.
    Shed,
    /// A local reply: its status, further headers, and body.
    Reply(u16, &'static str, &'static str),
}

struct Connection<'a> {
    front: &'a Arc<Front>,
    peer: SocketAddr,
    socket: Socket,
    reader: Reader,
    writer: Option<Writer>,
    /// The stream whose answer is yet to be written, as far as this side knows.
    pending: Option<StreamId>,
    /// Room for what came behind it, where there is much.
    ahead: Option<Bulk>,
    /// Until it has sent a stream or a call-back, it is among the first to go where there are too many.
    unidentified: Option<SheddableConnection>,
    /// Until it has sent anything that makes sense, it has this long.
    hello: Option<Micros>,
}

impl Connection<'_> {
    fn new(front: &Arc<Front>, stream: TcpStream, peer: SocketAddr) -> Connection<'_> {
        let socket = Socket::new(stream);
        Connection {
            front,
            peer,
            reader: Reader::new(socket.clone()),
            writer: None,
            pending: None,
            ahead: None,
            unidentified: Some(front.connections.spare(ShedPriority::Unidentified, &socket)),
            hello: Some(by(FIRST_REQUEST_TIMEOUT)),
            socket,
        }
    }

    /// Up to the next bytes, answer or request.
    fn step(&mut self) -> Next {
        self.reader.skip_blank_lines();
        if let Some(stream) = self.pending {
            let filled = self.read_ahead();
            return self.look_for_answer(stream, filled);
        }
        self.ahead = None;
        if !self.reader.is_empty() {
            return self.take_message();
        }
        if self.reader.is_sealed() {
            return Next::Close;
        }
        match self.wait() {
            None => Next::Close,
            Some(Ok(true)) => Next::Again,
            Some(_) => Next::End,
        }
    }

    /// Waits for the first bytes of a request; none if the connection was shed meanwhile.
    fn wait(&mut self) -> Option<Result<bool, HttpError>> {
        if self.unidentified.is_some() {
            let due = self.hello.unwrap_or_else(|| by(IDLE));
            return Some(self.reader.fill(due));
        }
        let spare = self.front.connections.spare(ShedPriority::Idle, &self.socket);
        let filled = self.reader.fill(by(IDLE));
        spare.reclaim().then_some(filled)
    }

    /// Reads what comes behind a held stream: it watches for the client's leaving, whatever has come.
    fn read_ahead(&mut self) -> Result<bool, HttpError> {
        let held = self.reader.held().len();
        self.note_behind(held > 0);
        if held == 0 {
            let filled = self.reader.fill(by(IDLE));
            self.note_behind(!self.reader.is_empty());
            return filled;
        }
        if held >= AHEAD && self.ahead.is_none() {
            self.ahead = Bulk::new(self.front, AHEAD_MOST);
        }
        let most = if self.ahead.is_some() { AHEAD_MOST } else { AHEAD };
        if held >= most {
            self.reader.seal();
        }
        self.reader.fill(by(BEHIND))
    }

    fn note_behind(&self, behind: bool) {
        self.writer.iter().for_each(|writer| writer.exchange().behind = behind);
    }

    /// Whether the held stream's answer has been written, or its client has left.
    fn look_for_answer(&mut self, stream: StreamId, filled: Result<bool, HttpError>) -> Next {
        let Some(writer) = &self.writer else { return Next::End };
        let stays = matches!(filled, Ok(true) | Err(HttpError::Late));
        let became = match writer.written.try_recv() {
            Ok(became) => became,
            Err(_) if stays => return Next::Again,
            Err(_) => {
                writer.exchange().held = None;
                self.front.inbox.post(Input::ClientDisconnected(stream));
                return Next::End;
            }
        };
        let kept = writer.exchange().spare.take().is_none_or(SheddableConnection::reclaim);
        match became {
            Written::Kept if kept => self.pending = None,
            Written::Broken => return Next::End,
            // What came behind the last word is not taken: nobody would hear of it.
            Written::Kept | Written::Closed => return Next::Close,
        }
        if stays { Next::Again } else { Next::End }
    }

    /// Reads a whole message and does what it asks for.
    fn take_message(&mut self) -> Next {
        let due = match (self.hello, self.reader.began()) {
            (Some(due), _) => due,
            (None, Some(began)) => began + REQUEST_READ_TIMEOUT,
            (None, None) => by(REQUEST_READ_TIMEOUT),
        };
        match self.read_message(due) {
            Ok((message, bulk)) => self.take(message, bulk),
            Err(bad) => self.reject(bad),
        }
    }

    fn read_message(&mut self, due: Micros) -> Result<(Message, Bulk), HttpError> {
        let head = self.reader.request(due)?;
        let bulk = Bulk::new(self.front, head.0.bulk()).ok_or(HttpError::Status(503))?;
        Ok((self.reader.request_body(head, due)?, bulk))
    }

    /// Answers what is no message, and ends the connection.
    fn reject(&mut self, bad: HttpError) -> Next {
        let status = match bad {
            HttpError::Status(status) => status,
            HttpError::Late => 408,
            HttpError::Ended | HttpError::Broken => {
                let partial = !self.reader.is_empty();
                tracing::debug!(peer = %self.peer, partial, "connection ended: {bad:?}");
                return if self.reader.is_sealed() { Next::Close } else { Next::End };
            }
        };
        let held: Vec<u8> = self.reader.held().iter().take(160).copied().collect();
        let (peer, first) = (self.peer, self.hello.is_some());
        tracing::debug!(%peer, status, first, held = %held.escape_ascii(), "request not read whole: {bad:?}");
        match http::respond(&self.socket, status, after(status), b"", true, by(CLOSING_TIMEOUT)) {
            Ok(()) => Next::Close,
            Err(_) => Next::End,
        }
    }

    fn take(&mut self, message: Message, bulk: Bulk) -> Next {
        let wanted = message.close;
        match self.route(message, bulk) {
            Routed::Held(stream) => (self.pending, self.hello) = (Some(stream), None),
            Routed::Shed => return Next::Close,
            Routed::Reply(status, more, body) => {
                // Whose first word made no sense need not stay.
                let astray = self.hello.is_some() && (400..500).contains(&status);
                // A further request that has been read is owed an answer, too.
                let ends = self.front.inbox.is_closing_connections() && self.reader.is_empty();
                let close = wanted || astray || ends;
                let sent =
                    http::respond(&self.socket, status, more, body.as_bytes(), close, by(CLOSING_TIMEOUT));
                if close || sent.is_err() {
                    return Next::Close;
                }
                self.hello = None;
                self.unidentified.take_if(|_| status == CALLED_BACK);
            }
        }
        Next::Again
    }

    fn route(&mut self, message: Message, bulk: Bulk) -> Routed {
        let front = self.front;
        let (method, target) = (message.text(&message.method), message.text(&message.target));
        let path = target.split('?').next().unwrap_or("");
        match (method, path) {
            ("POST", callbacks::PATH) => {
                let known = callbacks::take(message.body(), &front.site, &front.inbox, front.inherited);
                Routed::Reply(if known { CALLED_BACK } else { 400 }, "", "")
            }
            ("GET", "/health/ready") => {
                let ready = front.inbox.has_ready_host() && front.inbox.shutdown_requested_at().is_none();
                Routed::Reply(if ready { 200 } else { 503 }, "", front.metrics.stage().description())
            }
            ("POST", _) => self.hold(message, bulk),
            (_, callbacks::PATH) => Routed::Reply(405, "Allow: POST\r\n", ""),
            (_, "/health/ready") => Routed::Reply(405, "Allow: GET\r\n", ""),
            _ => Routed::Reply(404, "", ""),
        }
    }

    /// Makes a stream of a request.
    fn hold(&mut self, message: Message, bulk: Bulk) -> Routed {
        let (front, close) = (self.front, message.close);
        let Some(new) = stream_of(front, message, self.peer) else { return Routed::Reply(400, "", "") };
        let class = new.class.0 as usize;
        let Some(held) = Held::new(front, bulk) else {
            front.metrics.job_ended(class, JobResult::Deferred, false);
            return Routed::Reply(503, after(503), "");
        };
        // Whose request is passed on has to stay for the answer.
        if self.unidentified.take().is_some_and(|spare| !spare.reclaim()) {
            return Routed::Shed;
        }
        let writer = self.writer.get_or_insert_with(|| Writer::start(front, &self.socket));
        (writer.exchange().held, writer.exchange().close) = (Some(held), close);
        let id = front.inbox.stream_id();
        let new = NewStream { id, downstream: writer.downstream(&front.inbox), ..new };
        if !front.inbox.submit(Box::new(new)) {
            // The process ends, and this stream came a moment too late.
            writer.exchange().held = None;
            front.metrics.job_ended(class, JobResult::Deferred, false);
            return Routed::Reply(503, after(503), "");
        }
        Routed::Held(id)
    }

    /// Lets the last answer arrive: closing with bytes unread would reset the connection under it.
    fn close(&mut self) {
        let _spare = self.front.connections.spare(ShedPriority::Closing, &self.socket);
        self.socket.finish();
        let (last, mut left) = (by(CLOSING_MOST), CLOSING_BYTES);
        while left > 0 && self.reader.skip(by(CLOSING_TIMEOUT).min(last)) == Ok(true) {
            left = left.saturating_sub(self.reader.held().len());
        }
    }
}

/// What a local reply says further: when there may be room again.
fn after(status: u16) -> &'static str {
    if status == 503 { "Retry-After: 1\r\n" } else { "" }
}
