//! Pipelined requests that are read while a stream is in flight. Those that fit into the read-ahead limit are kept, and
//! each further one is answered with 503, so that every request that is read gets an answer.

use super::local_reply::LocalReply;
use super::{ANSWER_POLL_INTERVAL, Connection, IDLE_TIMEOUT, NextStep};
use crate::core::MemoryReservation;
use crate::wire::front::request::parse_stream;
use crate::wire::http::{
    BufferedRequest, HttpError, MAX_BODY_BYTES, MAX_HEAD_BYTES, Message, deadline_after,
};
use roselock::ClassId;
use roselock_admin::metrics::JobResult;
use std::collections::VecDeque;

/// Bytes of pipelined requests that are always buffered while a stream is in flight.
const MIN_READ_AHEAD: usize = 8 * 1024;
/// Bytes of pipelined requests that are buffered if the memory for bodies has room for them.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Maximum number of reads of what a client has sent behind a request, before the request is submitted: 4 MiB, more than the
/// systems of both sides usually buffer.
const MAX_DRAIN_READS: usize = 1024;
/// Maximum size of a request, in bytes: one that crosses the read-ahead limit is read to its end.
const MAX_REQUEST_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// Maximum number of requests beyond the read-ahead limit that are answered. Bytes beyond them are discarded, and the
/// connection closes after the answers.
const MAX_REFUSED: usize = 1024;

/// The pipelined requests of a connection that have been taken from its buffer, in their order.
#[derive(Default)]
pub(super) struct ReadAhead {
    kept: VecDeque<BufferedRequest>,
    /// The memory of the kept requests, in bytes.
    kept_bytes: usize,
    /// The requests behind the kept ones, which are refused: the class of each, if it names a valid one.
    refused: VecDeque<Option<ClassId>>,
    /// Memory reserved for kept requests beyond [`MIN_READ_AHEAD`].
    kept_memory: Option<MemoryReservation>,
    /// Memory reserved for a request that crosses the limit.
    crossing_memory: Option<MemoryReservation>,
}

impl ReadAhead {
    /// Whether no request has been taken from the buffer.
    pub(super) fn is_empty(&self) -> bool {
        self.kept.is_empty() && self.refused.is_empty()
    }

    fn keep(&mut self, request: BufferedRequest) {
        self.kept_bytes += request.memory();
        self.kept.push_back(request);
    }

    fn next_kept(&mut self) -> Option<Message> {
        let request = self.kept.pop_front()?;
        self.kept_bytes -= request.memory();
        request.parse()
    }
}

impl Connection<'_> {
    /// Whether a part of a further request has been read.
    pub(super) fn has_pipelined_bytes(&self) -> bool {
        !self.reader.is_empty() || !self.read_ahead.is_empty()
    }

    /// Reads pipelined requests while a stream is in flight. It always reads, to detect that the client has
    /// disconnected.
    pub(super) fn fill_read_ahead(&mut self) -> Result<bool, HttpError> {
        self.report_pipelined_bytes();
        if !self.has_pipelined_bytes() {
            let filled = self.reader.fill(deadline_after(IDLE_TIMEOUT));
            self.report_pipelined_bytes();
            return filled;
        }
        let unparsed = self.reader.unparsed().len();
        if unparsed >= MIN_READ_AHEAD && self.read_ahead.kept_memory.is_none() {
            self.read_ahead.kept_memory = self.front.memory.reserve(MAX_READ_AHEAD);
        }
        let has_memory = self.read_ahead.kept_memory.is_some();
        let limit = if has_memory { MAX_READ_AHEAD } else { MIN_READ_AHEAD };
        if unparsed + self.read_ahead.kept_bytes >= limit && !self.take_requests(limit) {
            tracing::debug!(peer = %self.peer, has_memory, "pipelined bytes discarded, closing after the kept requests");
            self.reader.start_discarding();
        }
        self.reader.fill(deadline_after(ANSWER_POLL_INTERVAL))
    }

    /// Whether the client has closed the connection. The end may lie behind bytes that are not read yet, and the client's
    /// system sends it only once there is room for what comes before it, so these are read ahead first.
    pub(super) fn has_client_left(&mut self) -> bool {
        for _ in 0..MAX_DRAIN_READS {
            if !self.socket.has_unread_bytes() {
                break;
            }
            self.reader.skip_blank_lines();
            if !matches!(self.fill_read_ahead(), Ok(true) | Err(HttpError::TimedOut)) {
                return true;
            }
        }
        self.socket.is_closed_by_peer()
    }

    /// Takes the complete requests from the buffer: keeps those that fit into the limit, and refuses the others. Returns
    /// false if the rest of the buffer cannot grow to a complete request.
    fn take_requests(&mut self, limit: usize) -> bool {
        if self.read_ahead.crossing_memory.is_none() {
            self.read_ahead.crossing_memory = self.front.memory.reserve(MAX_REQUEST_BYTES);
        }
        self.reader.skip_blank_lines();
        while let Some(request) = self.reader.take_buffered_request() {
            let fits = self.read_ahead.kept_bytes + request.memory() <= limit;
            if fits && self.read_ahead.refused.is_empty() {
                self.read_ahead.keep(request);
            } else {
                self.read_ahead.refused.push_back(self.class_of(request));
            }
            self.reader.skip_blank_lines();
        }
        self.read_ahead.crossing_memory.is_some()
            && self.reader.unparsed().len() < MAX_REQUEST_BYTES
            && self.read_ahead.refused.len() < MAX_REFUSED
    }

    /// The class of a request that is refused, if it names a valid one.
    fn class_of(&self, request: BufferedRequest) -> Option<ClassId> {
        let stream = parse_stream(self.front, request.parse()?, None, self.peer)?;
        Some(stream.class)
    }

    /// Processes the next request that has been taken from the buffer. Returns `None` if there is none.
    pub(super) fn process_read_ahead(&mut self) -> Option<NextStep> {
        if let Some(message) = self.read_ahead.next_kept() {
            let memory = self.front.memory.reserve(message.max_body_beyond_read());
            return Some(match memory {
                Some(memory) => self.process(message, memory),
                None => {
                    let class = parse_stream(self.front, message, None, self.peer).map(|new| new.class);
                    self.refuse(class)
                }
            });
        }
        if let Some(class) = self.read_ahead.refused.pop_front() {
            return Some(self.refuse(class));
        }
        self.read_ahead = ReadAhead::default();
        None
    }

    /// Answers a request that was not processed with 503.
    fn refuse(&mut self, class: Option<ClassId>) -> NextStep {
        tracing::debug!(peer = %self.peer, "pipelined request refused: beyond the read-ahead limit or the memory");
        if let Some(class) = class {
            self.front.metrics.job_ended(class.0 as usize, JobResult::Deferred, false);
        }
        self.reply(&LocalReply::new(503), false)
    }

    fn report_pipelined_bytes(&self) {
        if let Some(writer) = &self.writer {
            writer.exchange().has_pipelined_bytes = self.has_pipelined_bytes();
        }
    }
}
