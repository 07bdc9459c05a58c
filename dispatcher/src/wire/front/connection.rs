//! The read side of a client connection: processes requests in sequence until the client disconnects.

mod local_reply;
mod read_ahead;
mod routing;

use super::Front;
use super::writer::{WriteResult, Writer};
use crate::core::{Input, StreamId};
use crate::wire::connection_limiter::{
    FIRST_REQUEST_TIMEOUT, REQUEST_READ_TIMEOUT, ShedPriority, SheddableConnection,
};
use crate::wire::http::{HttpError, Reader, deadline_after};
use crate::wire::socket::Socket;
use may::net::TcpStream;
use read_ahead::ReadAhead;
use roselock::{Micros, SECOND};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum idle time after a request.
const IDLE_TIMEOUT: Micros = 120 * SECOND;
/// Time limit for each read of the lingering close.
const LINGER_READ_TIMEOUT: Micros = SECOND / 2;
/// Total time that the lingering close waits for the client to close.
const LINGER_TIMEOUT: Micros = 2 * SECOND;
/// Maximum number of bytes that the lingering close reads and discards.
const MAX_LINGER_BYTES: usize = 8 << 20;
/// Interval at which the result of the pending answer is polled while there are pipelined bytes.
const ANSWER_POLL_INTERVAL: Micros = SECOND / 50;

/// Serves a connection until it ends.
pub(super) fn serve(front: &Arc<Front>, stream: TcpStream, peer: SocketAddr) {
    let mut connection = Connection::new(front, stream, peer);
    loop {
        match connection.step() {
            NextStep::Continue => {}
            NextStep::Close => return connection.lingering_close(),
            NextStep::End => return,
        }
    }
}

/// What a connection does next.
enum NextStep {
    /// Processes its next bytes.
    Continue,
    /// Closes after the last response; further bytes from the client are read and discarded.
    Close,
    /// Ends immediately.
    End,
}

/// The read side of a client connection.
struct Connection<'a> {
    front: &'a Arc<Front>,
    peer: SocketAddr,
    socket: Socket,
    reader: Reader,
    writer: Option<Writer>,
    /// The stream whose answer has not been written yet, as far as the reader knows.
    pending_stream: Option<StreamId>,
    /// Pipelined requests that have been taken from the buffer.
    read_ahead: ReadAhead,
    /// Set until the client has sent a stream or a callback; until then the connection is shed early.
    unidentified: Option<SheddableConnection>,
    /// Whether the connection was shed while it was idle: it ends after the answer to what has been read.
    was_shed: bool,
    /// When the first valid request must have been received; `None` after that request.
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
            pending_stream: None,
            read_ahead: ReadAhead::default(),
            unidentified: Some(front.connections.mark_sheddable(ShedPriority::Unidentified, &socket)),
            was_shed: false,
            first_request_deadline: Some(deadline_after(FIRST_REQUEST_TIMEOUT)),
            socket,
        }
    }

    /// Waits for the next bytes, checks the pending answer, or processes the next request.
    fn step(&mut self) -> NextStep {
        self.reader.skip_blank_lines();
        if let Some(stream) = self.pending_stream {
            let filled = self.fill_read_ahead();
            return self.check_pending_answer(stream, filled);
        }
        if let Some(next) = self.process_read_ahead() {
            return next;
        }
        if !self.reader.is_empty() {
            return self.read_and_process_message();
        }
        if self.reader.is_discarding() {
            return NextStep::Close;
        }
        match self.wait_for_request() {
            Ok(true) => NextStep::Continue,
            _ => NextStep::End,
        }
    }

    /// Waits for the first bytes of a request.
    fn wait_for_request(&mut self) -> Result<bool, HttpError> {
        if self.unidentified.is_some() {
            let deadline = self.first_request_deadline.unwrap_or_else(|| deadline_after(IDLE_TIMEOUT));
            return self.reader.fill(deadline);
        }
        let sheddable = self.front.connections.mark_sheddable(ShedPriority::Idle, &self.socket);
        let filled = self.reader.fill(deadline_after(IDLE_TIMEOUT));
        self.was_shed |= !sheddable.reclaim();
        filled
    }

    /// Whether the connection was shed, so that it ends after the answer to what has been read.
    fn is_shed(&self) -> bool {
        self.was_shed || self.unidentified.as_ref().is_some_and(SheddableConnection::is_shed)
    }

    /// Checks whether the answer of the stream in flight has been written, or the client has disconnected.
    fn check_pending_answer(&mut self, stream: StreamId, filled: Result<bool, HttpError>) -> NextStep {
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
        self.was_shed |= !writer.exchange().sheddable.take().is_none_or(SheddableConnection::reclaim);
        match result {
            WriteResult::KeepAlive => self.pending_stream = None,
            WriteResult::Failed => return NextStep::End,
            // Requests after the last answer are not processed, because the client would get no response.
            WriteResult::Closing => return NextStep::Close,
        }
        let has_unanswered = self.was_shed && self.has_pipelined_bytes();
        if is_connected || has_unanswered { NextStep::Continue } else { NextStep::End }
    }

    fn read_and_process_message(&mut self) -> NextStep {
        let deadline = match (self.first_request_deadline, self.reader.first_byte_at()) {
            (Some(deadline), _) => deadline,
            (None, Some(first_byte_at)) => first_byte_at + REQUEST_READ_TIMEOUT,
            (None, None) => deadline_after(REQUEST_READ_TIMEOUT),
        };
        let head = self.reader.read_request_head(deadline);
        let request = head.and_then(|head| {
            let memory = self.front.memory.reserve(head.message.max_body_beyond_read());
            let memory = memory.ok_or(HttpError::Status(503))?;
            let message = self.reader.read_request_body(head, deadline)?;
            Ok((message, memory))
        });
        match request {
            Ok((message, memory)) => self.process(message, memory),
            Err(error) => self.reject(error),
        }
    }

    /// Closes the write side, and then reads and discards what the client still sends. Closing with unread
    /// bytes would reset the connection before the last response has arrived.
    fn lingering_close(&mut self) {
        let _sheddable = self.front.connections.mark_sheddable(ShedPriority::Closing, &self.socket);
        self.socket.shut_down_writes();
        let deadline = deadline_after(LINGER_TIMEOUT);
        let mut remaining_bytes = MAX_LINGER_BYTES;
        while remaining_bytes > 0
            && self.reader.discard_and_fill(deadline_after(LINGER_READ_TIMEOUT).min(deadline)) == Ok(true)
        {
            remaining_bytes = remaining_bytes.saturating_sub(self.reader.unparsed().len());
        }
    }
}
