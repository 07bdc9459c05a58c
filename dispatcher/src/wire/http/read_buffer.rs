//! The bytes that were read from a connection and not parsed yet.

use super::HttpError;
use crate::core::clock;
use crate::wire::arrivals::Arrivals;
use crate::wire::socket::Socket;
use roselock::Micros;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Bytes that are read at once.
pub(super) const READ_SIZE: usize = 4096;
/// Reads in a row that found bytes waiting, after which the coroutine pauses. The runtime polls for events
/// only when nothing runs, so a peer that sends continuously would starve all others.
const MAX_READS_IN_A_ROW: u32 = 32;
/// The length of that pause.
const FAIRNESS_PAUSE: Duration = Duration::from_millis(1);

/// The bytes that were read from a connection and not parsed yet.
pub(super) struct ReadBuffer {
    pub(super) socket: Socket,
    bytes: Vec<u8>,
    /// When the bytes were read.
    arrivals: Arrivals,
    /// Reads since it last waited.
    reads_in_a_row: u32,
    /// Nothing that is read from now on is kept.
    is_sealed: bool,
}

impl ReadBuffer {
    pub(super) fn new(socket: Socket) -> ReadBuffer {
        ReadBuffer {
            socket,
            bytes: Vec::new(),
            arrivals: Arrivals::default(),
            reads_in_a_row: 0,
            is_sealed: false,
        }
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// When the first unparsed byte was read.
    pub(super) fn first_byte_at(&self) -> Option<Micros> {
        self.arrivals.first()
    }

    /// When the last byte that was removed had been read.
    pub(super) fn last_removed_at(&self) -> Micros {
        self.arrivals.last_consumed_at()
    }

    pub(super) fn seal(&mut self) {
        self.is_sealed = true;
    }

    pub(super) fn unseal(&mut self) {
        self.is_sealed = false;
    }

    pub(super) fn is_sealed(&self) -> bool {
        self.is_sealed
    }

    /// Removes the first bytes and returns them.
    pub(super) fn split(&mut self, count: usize) -> Vec<u8> {
        self.arrivals.consume(count);
        let rest = self.bytes.split_off(count);
        std::mem::replace(&mut self.bytes, rest)
    }

    /// Removes the first bytes.
    pub(super) fn advance(&mut self, count: usize) {
        self.arrivals.consume(count);
        self.bytes.drain(..count);
    }

    /// Reads once; false at the end of the connection.
    pub(super) fn fill(&mut self, deadline: Micros) -> Result<bool, HttpError> {
        if self.reads_in_a_row >= MAX_READS_IN_A_ROW {
            self.reads_in_a_row = 0;
            may::coroutine::sleep(FAIRNESS_PAUSE);
        }
        let old_length = self.bytes.len();
        self.bytes.resize(old_length + READ_SIZE, 0);
        let result = self.socket.read_or_wait(&mut self.bytes[old_length..], deadline);
        let read = result.as_ref().map_or(0, |read| read.bytes);
        let kept = if self.is_sealed { 0 } else { read };
        self.bytes.truncate(old_length + kept);
        self.arrivals.extend(self.bytes.len(), clock::now());
        let waited = result.map_err(read_error)?.waited;
        self.reads_in_a_row = if waited { 0 } else { self.reads_in_a_row + 1 };
        Ok(read > 0)
    }

    /// Reads once; the end of the connection is an error.
    pub(super) fn fill_more(&mut self, deadline: Micros) -> Result<(), HttpError> {
        if self.is_sealed {
            return Err(HttpError::Closed);
        }
        let was_empty = self.bytes.is_empty();
        if self.fill(deadline)? {
            return Ok(());
        }
        Err(if was_empty { HttpError::Closed } else { HttpError::ConnectionLost })
    }

    /// Reads until there are this many bytes.
    pub(super) fn fill_to(&mut self, length: usize, deadline: Micros) -> Result<(), HttpError> {
        while self.bytes.len() < length {
            self.fill_more(deadline)?;
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
