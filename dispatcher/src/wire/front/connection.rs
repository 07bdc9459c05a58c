//! The reading side of a client's connection: one request after another, until the client disconnects.

use super::Front;
use super::request::parse_stream;
use super::reservations::{BodyMemory, InFlightStream};
use super::writer::{WriteResult, Writer};
use crate::core::{Input, NewStream, StreamId};
use crate::wire::callbacks;
use crate::wire::connection_limiter::{
    FIRST_REQUEST_TIMEOUT, REQUEST_READ_TIMEOUT, ShedPriority, SheddableConnection,
};
use crate::wire::http::{HttpError, Message, Reader, Response, by, write_response};
use crate::wire::socket::Socket;
use may::net::TcpStream;
use roselock::{Micros, SECOND};
use roselock_admin::metrics::JobResult;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a connection may be idle after a request, in microseconds.
const IDLE_TIMEOUT: Micros = 120 * SECOND;
/// How long a connection that is closing waits for each further read, in microseconds; also how long a local reply may take.
const CLOSING_TIMEOUT: Micros = SECOND / 2;
/// How long a connection that is closing waits in all for the client's close, in microseconds.
const MAX_CLOSING_TIME: Micros = 2 * SECOND;
/// How many bytes it reads and discards meanwhile.
const MAX_CLOSING_BYTES: usize = 8 << 20;
/// Bytes after a stream in flight that are kept for the next requests in any case.
const MIN_READ_AHEAD: usize = 8 * 1024;
/// Bytes that are kept if the memory for bodies has room for them. Further ones are discarded, and the connection closes after
/// the requests that are kept.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// While there are such bytes, the end of the answer is polled at this interval, in microseconds.
const ANSWER_POLL_INTERVAL: Micros = SECOND / 50;
/// Bytes of an invalid request that are logged.
const LOGGED_BYTES: usize = 160;
/// The response to a callback.
const CALLBACK_ACCEPTED: u16 = 204;
/// The path that answers whether the process is ready.
const READY_PATH: &str = "/health/ready";

/// Serves a connection until it ends.
pub(super) fn serve(front: &Arc<Front>, stream: TcpStream, peer: SocketAddr) {
    let mut connection = Connection::new(front, stream, peer);
    loop {
        match connection.step() {
            NextStep::Continue => {}
            NextStep::Close => return connection.close(),
            NextStep::End => return,
        }
    }
}

/// How a connection goes on.
enum NextStep {
    /// With its next bytes.
    Continue,
    /// The last response has been written: what the client still sends is read and discarded.
    Close,
    /// Not at all.
    End,
}

/// What becomes of a request.
enum Routed {
    /// It is a stream with this number.
    InFlight(StreamId),
    /// The connection was shed just now.
    Shed,
    /// It gets a local reply.
    Reply(LocalReply),
}

/// A response that this process makes itself.
struct LocalReply {
    status: u16,
    headers: &'static str,
    body: &'static str,
}

impl Routed {
    fn reply(status: u16) -> Routed {
        Routed::Reply(LocalReply { status, headers: retry_after(status), body: "" })
    }
    fn method_not_allowed(allow: &'static str) -> Routed {
        Routed::Reply(LocalReply { status: 405, headers: allow, body: "" })
    }
}

/// The reading side of a client's connection.
struct Connection<'a> {
    front: &'a Arc<Front>,
    peer: SocketAddr,
    socket: Socket,
    reader: Reader,
    writer: Option<Writer>,
    /// The stream whose answer is not written yet, as far as the reader knows.
    pending: Option<StreamId>,
    /// Memory for what arrived after it, if that is much.
    read_ahead_memory: Option<BodyMemory>,
    /// Until it has sent a stream or a callback, it is among the first to be shed.
    unidentified: Option<SheddableConnection>,
    /// When its first valid request must be complete; none after that.
    first_request_deadline: Option<Micros>,
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
            read_ahead_memory: None,
            unidentified: Some(front.connections.spare(ShedPriority::Unidentified, &socket)),
            first_request_deadline: Some(by(FIRST_REQUEST_TIMEOUT)),
            socket,
        }
    }

    /// Goes on to the next bytes, answer or request.
    fn step(&mut self) -> NextStep {
        self.reader.skip_blank_lines();
        if let Some(stream) = self.pending {
            let filled = self.read_ahead();
            return self.check_answer(stream, filled);
        }
        self.read_ahead_memory = None;
        if !self.reader.is_empty() {
            return self.take_message();
        }
        if self.reader.is_sealed() {
            return NextStep::Close;
        }
        match self.wait_for_request() {
            None => NextStep::Close,
            Some(Ok(true)) => NextStep::Continue,
            Some(_) => NextStep::End,
        }
    }

    /// Waits for the first bytes of a request; none if the connection was shed meanwhile.
    fn wait_for_request(&mut self) -> Option<Result<bool, HttpError>> {
        if self.unidentified.is_some() {
            let deadline = self.first_request_deadline.unwrap_or_else(|| by(IDLE_TIMEOUT));
            return Some(self.reader.fill(deadline));
        }
        let sheddable = self.front.connections.spare(ShedPriority::Idle, &self.socket);
        let filled = self.reader.fill(by(IDLE_TIMEOUT));
        sheddable.reclaim().then_some(filled)
    }

    /// Reads what follows a stream in flight. It always reads, to notice when the client disconnects.
    fn read_ahead(&mut self) -> Result<bool, HttpError> {
        let unparsed = self.reader.unparsed().len();
        self.note_pipelined_bytes(unparsed > 0);
        if unparsed == 0 {
            let filled = self.reader.fill(by(IDLE_TIMEOUT));
            self.note_pipelined_bytes(!self.reader.is_empty());
            return filled;
        }
        if unparsed >= MIN_READ_AHEAD && self.read_ahead_memory.is_none() {
            self.read_ahead_memory = BodyMemory::reserve(self.front, MAX_READ_AHEAD);
        }
        let max_unparsed = if self.read_ahead_memory.is_some() { MAX_READ_AHEAD } else { MIN_READ_AHEAD };
        if unparsed >= max_unparsed {
            self.reader.seal();
        }
        self.reader.fill(by(ANSWER_POLL_INTERVAL))
    }

    fn note_pipelined_bytes(&self, has_pipelined_bytes: bool) {
        if let Some(writer) = &self.writer {
            writer.exchange().has_pipelined_bytes = has_pipelined_bytes;
        }
    }

    /// Checks whether the answer of the stream in flight has been written, or its client has disconnected.
    fn check_answer(&mut self, stream: StreamId, filled: Result<bool, HttpError>) -> NextStep {
        let Some(writer) = &self.writer else { return NextStep::End };
        let is_connected = matches!(filled, Ok(true) | Err(HttpError::TimedOut));
        let result = match writer.results.try_recv() {
            Ok(result) => result,
            Err(_) if is_connected => return NextStep::Continue,
            Err(_) => {
                writer.exchange().in_flight = None;
                self.front.inbox.post(Input::ClientDisconnected(stream));
                return NextStep::End;
            }
        };
        let is_kept = writer.exchange().sheddable.take().is_none_or(SheddableConnection::reclaim);
        match result {
            WriteResult::KeptOpen if is_kept => self.pending = None,
            WriteResult::Failed => return NextStep::End,
            // What follows the last answer is not processed: its client would get no response.
            WriteResult::KeptOpen | WriteResult::Closing => return NextStep::Close,
        }
        if is_connected { NextStep::Continue } else { NextStep::End }
    }

    /// Reads a complete message and processes it.
    fn take_message(&mut self) -> NextStep {
        let deadline = match (self.first_request_deadline, self.reader.first_byte_at()) {
            (Some(deadline), _) => deadline,
            (None, Some(began)) => began + REQUEST_READ_TIMEOUT,
            (None, None) => by(REQUEST_READ_TIMEOUT),
        };
        let head = self.reader.read_request_head(deadline);
        let request = head.and_then(|head| {
            let memory = BodyMemory::reserve(self.front, head.message.max_body_beyond_read());
            let memory = memory.ok_or(HttpError::Status(503))?;
            let message = self.reader.read_request_body(head, deadline)?;
            Ok((message, memory))
        });
        match request {
            Ok((message, memory)) => self.process(message, memory),
            Err(error) => self.reject(error),
        }
    }

    /// Responds to an invalid or incomplete message, and closes the connection.
    fn reject(&mut self, error: HttpError) -> NextStep {
        let status = match error {
            HttpError::Status(status) => status,
            HttpError::TimedOut => 408,
            HttpError::Closed | HttpError::ConnectionLost => {
                let is_partial = !self.reader.is_empty();
                tracing::debug!(peer = %self.peer, is_partial, reason = %error, "client connection ended");
                return if self.reader.is_sealed() { NextStep::Close } else { NextStep::End };
            }
        };
        self.log_rejected(status, error);
        let response = Response { status, headers: retry_after(status), close: true, ..Response::default() };
        match write_response(&self.socket, &response, by(CLOSING_TIMEOUT)) {
            Ok(()) => NextStep::Close,
            Err(_) => NextStep::End,
        }
    }

    fn log_rejected(&self, status: u16, error: HttpError) {
        let unparsed = self.reader.unparsed();
        let start = &unparsed[..unparsed.len().min(LOGGED_BYTES)];
        tracing::debug!(
            peer = %self.peer,
            status,
            is_first = self.first_request_deadline.is_some(),
            start = %start.escape_ascii(),
            reason = %error,
            "request rejected before it was complete"
        );
    }

    fn process(&mut self, message: Message, memory: BodyMemory) -> NextStep {
        let close_requested = message.close;
        match self.route(message, memory) {
            Routed::InFlight(stream) => {
                self.pending = Some(stream);
                self.first_request_deadline = None;
                NextStep::Continue
            }
            Routed::Shed => NextStep::Close,
            Routed::Reply(reply) => self.reply(&reply, close_requested),
        }
    }

    fn reply(&mut self, reply: &LocalReply, close_requested: bool) -> NextStep {
        let LocalReply { status, headers, body } = *reply;
        // A client whose first request is invalid is not kept.
        let is_invalid_first = self.first_request_deadline.is_some() && (400..500).contains(&status);
        // A further request that has been read is owed a response, too.
        let is_shutting_down = self.front.inbox.is_closing_connections() && self.reader.is_empty();
        let close = close_requested || is_invalid_first || is_shutting_down;
        let response = Response { status, headers, body: body.as_bytes(), close };
        let written = write_response(&self.socket, &response, by(CLOSING_TIMEOUT));
        if close || written.is_err() {
            return NextStep::Close;
        }
        self.first_request_deadline = None;
        if status == CALLBACK_ACCEPTED {
            self.unidentified = None;
        }
        NextStep::Continue
    }

    fn route(&mut self, message: Message, memory: BodyMemory) -> Routed {
        let method = message.text(&message.method);
        let target = message.text(&message.target);
        let path = target.split('?').next().unwrap_or("");
        match (method, path) {
            ("POST", callbacks::PATH) => self.take_callback(&message),
            ("GET", READY_PATH) => self.readiness(),
            ("POST", _) => self.submit(message, memory),
            (_, callbacks::PATH) => Routed::method_not_allowed("Allow: POST\r\n"),
            (_, READY_PATH) => Routed::method_not_allowed("Allow: GET\r\n"),
            _ => Routed::reply(404),
        }
    }

    fn take_callback(&self, message: &Message) -> Routed {
        let Front { site, inbox, inherited, .. } = &**self.front;
        let is_valid = callbacks::post(message.body(), site, inbox, *inherited);
        Routed::reply(if is_valid { CALLBACK_ACCEPTED } else { 400 })
    }

    fn readiness(&self) -> Routed {
        let inbox = &self.front.inbox;
        let is_ready = inbox.has_ready_host() && inbox.shutdown_requested_at().is_none();
        let status = if is_ready { 200 } else { 503 };
        Routed::Reply(LocalReply { status, headers: "", body: self.front.metrics.stage().description() })
    }

    /// Submits the stream of a request to the owner thread.
    fn submit(&mut self, message: Message, memory: BodyMemory) -> Routed {
        let front = self.front;
        let close_requested = message.close;
        let Some(new) = parse_stream(front, message, self.peer) else { return Routed::reply(400) };
        let class = new.class.0 as usize;
        let Some(in_flight) = InFlightStream::admit(front, memory) else {
            return self.defer(class);
        };
        // The client of a request that is forwarded must stay for the answer.
        if self.unidentified.take().is_some_and(|sheddable| !sheddable.reclaim()) {
            return Routed::Shed;
        }
        let writer = self.writer.get_or_insert_with(|| Writer::start(front, &self.socket));
        writer.exchange().in_flight = Some(in_flight);
        writer.exchange().close_requested = close_requested;
        let id = front.inbox.stream_id();
        let new = NewStream { id, downstream: writer.downstream(&front.inbox), ..new };
        if !front.inbox.submit(Box::new(new)) {
            // The process is ending, and this stream came just too late.
            writer.exchange().in_flight = None;
            return self.defer(class);
        }
        Routed::InFlight(id)
    }

    /// Rejects a request that the client may send again.
    fn defer(&self, class: usize) -> Routed {
        self.front.metrics.job_ended(class, JobResult::Deferred, false);
        Routed::reply(503)
    }

    /// Lets the last response arrive: closing with unread bytes would reset the connection before that.
    fn close(&mut self) {
        let _sheddable = self.front.connections.spare(ShedPriority::Closing, &self.socket);
        self.socket.shut_down_writes();
        let deadline = by(MAX_CLOSING_TIME);
        let mut left = MAX_CLOSING_BYTES;
        while left > 0 && self.reader.discard_and_fill(by(CLOSING_TIMEOUT).min(deadline)) == Ok(true) {
            left = left.saturating_sub(self.reader.unparsed().len());
        }
    }
}

/// The header that tells when a request may be sent again, for a status that means so.
fn retry_after(status: u16) -> &'static str {
    if status == 503 { "Retry-After: 1\r\n" } else { "" }
}
