//! A buffer of bytes that were read from a connection and are not parsed yet.

use super::HttpError;
use crate::core::clock;
use crate::wire::arrivals::Arrivals;
use crate::wire::socket::Socket;
use roselock::Micros;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Maximum number of bytes per read.
pub(super) const READ_SIZE: usize = 4096;
/// A buffer that is too small grows by this part (1/N) of its bytes. Its spare room is memory that is not accounted for.
const GROWTH_DIVISOR: usize = 8;
/// Number of consecutive reads without waiting after which the coroutine pauses. The runtime polls for events
/// only when no coroutine is runnable, so a peer that sends continuously would starve all others.
const MAX_CONSECUTIVE_READS: u32 = 32;
/// Duration of that pause.
const FAIRNESS_PAUSE: Duration = Duration::from_millis(1);

/// A buffer of bytes that were read from a connection and are not parsed yet.
pub(super) struct ReadBuffer {
    pub(super) socket: Socket,
    /// The bytes; those before `start` have been removed.
    bytes: Vec<u8>,
    start: usize,
    /// The read times of the bytes.
    arrivals: Arrivals,
    /// Number of reads since the last one that waited.
    consecutive_reads: u32,
    /// Whether bytes that are read are discarded.
    is_discarding: bool,
    /// Whether any byte was read on the connection.
    has_read: bool,
}

impl ReadBuffer {
    pub(super) fn new(socket: Socket) -> ReadBuffer {
        ReadBuffer {
            socket,
            bytes: Vec::new(),
            start: 0,
            arrivals: Arrivals::default(),
            consecutive_reads: 0,
            is_discarding: false,
            has_read: false,
        }
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Whether any byte was read on the connection.
    pub(super) fn has_read(&self) -> bool {
        self.has_read
    }

    /// When the first unparsed byte was read.
    pub(super) fn first_byte_at(&self) -> Option<Micros> {
        self.arrivals.first()
    }

    /// When the last removed byte was read.
    pub(super) fn last_removed_at(&self) -> Micros {
        self.arrivals.last_consumed_at()
    }

    pub(super) fn start_discarding(&mut self) {
        self.is_discarding = true;
    }

    pub(super) fn stop_discarding(&mut self) {
        self.is_discarding = false;
    }

    pub(super) fn is_discarding(&self) -> bool {
        self.is_discarding
    }

    /// Removes the first `count` bytes and returns them, in an allocation of their size.
    pub(super) fn split_to(&mut self, count: usize) -> Vec<u8> {
        self.arrivals.consume(count);
        if self.start == 0 && count == self.bytes.len() {
            let mut all = std::mem::take(&mut self.bytes);
            all.shrink_to_fit();
            return all;
        }
        let removed = self.bytes()[..count].to_vec();
        self.start += count;
        removed
    }

    /// Removes the first `count` bytes.
    pub(super) fn advance(&mut self, count: usize) {
        self.arrivals.consume(count);
        self.start += count;
    }

    /// Reads and discards `count` bytes.
    pub(super) fn skip(&mut self, count: usize, deadline: Micros) -> Result<(), HttpError> {
        let mut left = count;
        while left > 0 {
            if self.bytes().is_empty() {
                self.fill_more(deadline)?;
            }
            let skipped = left.min(self.bytes().len());
            self.advance(skipped);
            left -= skipped;
        }
        Ok(())
    }

    /// Makes room for one read, and for `expected` bytes in all. Releases memory that they do not need.
    fn make_room(&mut self, expected: usize) {
        self.bytes.drain(..self.start);
        self.start = 0;
        let length = self.bytes.len();
        let needed = length.max(expected) + READ_SIZE;
        let spare = READ_SIZE.max(length / GROWTH_DIVISOR);
        if self.bytes.capacity() < length + READ_SIZE {
            self.bytes.reserve_exact(needed.max(length + spare) - length);
        } else if self.bytes.capacity() > needed + spare {
            self.bytes.shrink_to(needed);
        }
    }

    /// Reads once. Returns false at the end of the connection.
    pub(super) fn fill(&mut self, deadline: Micros) -> Result<bool, HttpError> {
        self.fill_expecting(0, deadline)
    }

    /// Reads once, into a buffer that is to hold `expected` bytes. Returns false at the end of the connection.
    fn fill_expecting(&mut self, expected: usize, deadline: Micros) -> Result<bool, HttpError> {
        if self.consecutive_reads >= MAX_CONSECUTIVE_READS {
            self.consecutive_reads = 0;
            clock::sleep(FAIRNESS_PAUSE);
        }
        self.make_room(expected);
        let old_length = self.bytes.len();
        self.bytes.resize(old_length + READ_SIZE, 0);
        let result = self.socket.read_reporting_wait(&mut self.bytes[old_length..], deadline);
        let read = result.as_ref().map_or(0, |read| read.bytes);
        self.has_read |= read > 0;
        let kept = if self.is_discarding { 0 } else { read };
        self.bytes.truncate(old_length + kept);
        self.arrivals.extend(self.bytes.len(), clock::now());
        let waited = result.map_err(read_error)?.waited;
        self.consecutive_reads = if waited { 0 } else { self.consecutive_reads + 1 };
        Ok(read > 0)
    }

    /// Reads once. Fails at the end of the connection.
    pub(super) fn fill_more(&mut self, deadline: Micros) -> Result<(), HttpError> {
        self.fill_more_expecting(0, deadline)
    }

    fn fill_more_expecting(&mut self, expected: usize, deadline: Micros) -> Result<(), HttpError> {
        if self.is_discarding {
            return Err(HttpError::Closed);
        }
        let was_empty = self.bytes().is_empty();
        if self.fill_expecting(expected, deadline)? {
            return Ok(());
        }
        Err(if was_empty { HttpError::Closed } else { HttpError::ConnectionLost })
    }

    /// Reads until the buffer holds at least `length` bytes.
    pub(super) fn fill_to(&mut self, length: usize, deadline: Micros) -> Result<(), HttpError> {
        while self.bytes().len() < length {
            self.fill_more_expecting(length, deadline)?;
        }
        Ok(())
    }
}

fn read_error(error: io::Error) -> HttpError {
    match error.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => HttpError::TimedOut,
        _ => HttpError::ConnectionLost,
    }
}
