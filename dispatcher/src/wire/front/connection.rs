//! The reading side of a client's connection: one request after another, until the client disconnects.

mod local_reply;
mod routing;

use super::Front;
use super::reservations::BodyMemory;
use super::writer::{WriteResult, Writer};
use crate::core::{Input, StreamId};
use crate::wire::connection_limiter::{
    FIRST_REQUEST_TIMEOUT, REQUEST_READ_TIMEOUT, ShedPriority, SheddableConnection,
};
use crate::wire::http::{HttpError, Reader, deadline_after};
use crate::wire::socket::Socket;
use may::net::TcpStream;
use roselock::{Micros, SECOND};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a connection may be idle after a request, in microseconds.
const IDLE_TIMEOUT: Micros = 120 * SECOND;
/// How long a connection that is closing waits for each further read, in microseconds.
const CLOSING_TIMEOUT: Micros = SECOND / 2;
/// How long a connection that is closing waits in all for the client's close, in microseconds.
const MAX_CLOSING_TIME: Micros = 2 * SECOND;
/// How many bytes it reads and discards meanwhile.
const MAX_CLOSING_BYTES: usize = 8 << 20;
/// Bytes after a stream in flight that are kept for the next requests in any case.
const MIN_READ_AHEAD: usize = 8 * 1024;
/// Bytes that are kept if the memory for bodies has room for them. Further ones are discarded, and the
/// connection closes after the requests that are kept.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// While there are such bytes, the end of the answer is polled at this interval, in microseconds.
const ANSWER_POLL_INTERVAL: Micros = SECOND / 50;

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
            unidentified: Some(front.connections.mark_sheddable(ShedPriority::Unidentified, &socket)),
            first_request_deadline: Some(deadline_after(FIRST_REQUEST_TIMEOUT)),
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
            let deadline = self.first_request_deadline.unwrap_or_else(|| deadline_after(IDLE_TIMEOUT));
            return Some(self.reader.fill(deadline));
        }
        let sheddable = self.front.connections.mark_sheddable(ShedPriority::Idle, &self.socket);
        let filled = self.reader.fill(deadline_after(IDLE_TIMEOUT));
        sheddable.reclaim().then_some(filled)
    }

    /// Reads what follows a stream in flight. It always reads, to notice when the client disconnects.
    fn read_ahead(&mut self) -> Result<bool, HttpError> {
        let unparsed = self.reader.unparsed().len();
        self.note_pipelined_bytes(unparsed > 0);
        if unparsed == 0 {
            let filled = self.reader.fill(deadline_after(IDLE_TIMEOUT));
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
        self.reader.fill(deadline_after(ANSWER_POLL_INTERVAL))
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
            (None, None) => deadline_after(REQUEST_READ_TIMEOUT),
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

    /// Lets the last response arrive: closing with unread bytes would reset the connection before that.
    fn close(&mut self) {
        let _sheddable = self.front.connections.mark_sheddable(ShedPriority::Closing, &self.socket);
        self.socket.shut_down_writes();
        let deadline = deadline_after(MAX_CLOSING_TIME);
        let mut left = MAX_CLOSING_BYTES;
        while left > 0
            && self.reader.discard_and_fill(deadline_after(CLOSING_TIMEOUT).min(deadline)) == Ok(true)
        {
            left = left.saturating_sub(self.reader.unparsed().len());
        }
    }
}
