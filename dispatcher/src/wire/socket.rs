//! A thin layer over sockets that converts absolute deadlines to the timeouts of the operating system.
//!
//! The `TcpStream` of the coroutine runtime supports one waiting coroutine per socket. Only the reader of a
//! socket waits there, in `peek`; all other calls use the underlying non-blocking socket. One coroutine can
//! therefore write, and any coroutine close, while another waits to read, without a second descriptor.

use crate::core::clock;
use may::net::TcpStream;
use roselock::Micros;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, IoSlice, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// The reason why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The machine is out of a resource (descriptors, ports, memory), or the call was interrupted. This is
    /// not evidence of a fault of the peer.
    #[error(transparent)]
    Local(io::Error),
    /// The peer refused the connection, or could not be reached in time.
    #[error(transparent)]
    Peer(io::Error),
}

impl From<io::Error> for ConnectError {
    /// Classifies the error numbers documented in socket(2) and connect(2).
    fn from(error: io::Error) -> ConnectError {
        match error.raw_os_error() {
            Some(
                libc::EMFILE
                | libc::ENFILE
                | libc::ENOBUFS
                | libc::ENOMEM
                | libc::ENOSPC
                | libc::EADDRNOTAVAIL
                | libc::EADDRINUSE
                | libc::EAGAIN
                | libc::EINTR,
            ) => ConnectError::Local(error),
            _ => ConnectError::Peer(error),
        }
    }
}

/// Delay before the first retry after a local shortage.
const INITIAL_RETRY_DELAY: Micros = 2_000;
/// Maximum delay between such retries.
const MAX_RETRY_DELAY: Micros = 50_000;
/// Longest part of a wait for bytes. The runtime keeps an entry for each part of a wait until its time has passed, also if bytes
/// came before.
const MAX_WAIT_PART: Duration = Duration::from_secs(4);
/// Longer waits have parts of whole multiples of this, as the runtime keeps a queue for each different length.
const WAIT_PART_UNIT: Duration = Duration::from_millis(250);
/// Delay before writing again to a peer whose receive window is full.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Exponential backoff for retries after a local shortage.
#[derive(Clone, Copy, Debug)]
pub struct LocalShortageBackoff {
    next_delay: Micros,
}

impl Default for LocalShortageBackoff {
    fn default() -> LocalShortageBackoff {
        LocalShortageBackoff { next_delay: INITIAL_RETRY_DELAY }
    }
}

impl LocalShortageBackoff {
    /// Waits before the next attempt. Returns false without waiting if the deadline would pass first.
    pub fn wait(&mut self, deadline: Micros) -> bool {
        if clock::now() + self.next_delay >= deadline {
            return false;
        }
        clock::sleep(Duration::from_micros(self.next_delay as u64));
        self.next_delay = (self.next_delay * 2).min(MAX_RETRY_DELAY);
        true
    }
}

/// The next part of a wait.
fn wait_part(left: Duration) -> Duration {
    if left <= WAIT_PART_UNIT {
        return left;
    }
    let part = left.min(MAX_WAIT_PART);
    let units = part.as_micros() / WAIT_PART_UNIT.as_micros();
    WAIT_PART_UNIT * units as u32
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}

/// The result of a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadResult {
    /// Number of bytes read; 0 at the end of the connection.
    pub bytes: usize,
    /// Whether the call waited for them.
    pub waited: bool,
}

/// A connection that several coroutines share.
#[derive(Clone)]
pub struct Socket(Arc<TcpStream>);

impl Socket {
    /// Wraps a connected stream and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> Socket {
        let _ = stream.set_nodelay(true);
        Socket(Arc::new(stream))
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// The peer refused the connection, could not be reached before the deadline, or this machine is out of a
    /// resource.
    pub fn connect(address: SocketAddr, deadline: Micros) -> Result<Socket, ConnectError> {
        let left = clock::time_until(deadline);
        if left.is_zero() {
            return Err(ConnectError::Peer(ErrorKind::TimedOut.into()));
        }
        Ok(TcpStream::connect_timeout(&address, left).map(Socket::new)?)
    }

    /// Reads what has arrived, waiting for the first byte. Returns 0 at the end of the connection.
    ///
    /// # Errors
    /// The deadline passed, or the connection failed.
    pub fn read(&self, into: &mut [u8], deadline: Micros) -> io::Result<usize> {
        self.read_reporting_wait(into, deadline).map(|read| read.bytes)
    }

    /// Reads what has arrived, waiting for the first byte, and reports whether it waited.
    ///
    /// # Errors
    /// The deadline passed, or the connection failed.
    pub fn read_reporting_wait(&self, into: &mut [u8], deadline: Micros) -> io::Result<ReadResult> {
        let mut waited = false;
        loop {
            match self.0.inner().read(into) {
                Ok(bytes) => return Ok(ReadResult { bytes, waited }),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    waited = true;
                    self.wait_to_read(deadline)?;
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn wait_to_read(&self, deadline: Micros) -> io::Result<()> {
        let left = clock::time_until(deadline);
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        let part = wait_part(left);
        self.0.set_read_timeout(Some(part))?;
        match self.0.peek(&mut [0]) {
            // Only a part of the wait is over; the caller waits again.
            Err(error) if is_timeout(&error) && part < left => Ok(()),
            Err(error) if error.kind() != ErrorKind::Interrupted => Err(error),
            _ => Ok(()),
        }
    }

    /// Reads and discards what has arrived, up to `max_bytes`, without waiting. Closing a socket with unread
    /// bytes resets the connection, and the peer may then lose the last bytes written.
    pub fn discard_received(&self, max_bytes: usize) {
        let mut bytes = [0; 4096];
        let mut left = max_bytes;
        while left > 0 {
            match self.0.inner().read(&mut bytes) {
                Ok(count) if count > 0 => left = left.saturating_sub(count),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    /// Writes all parts with vectored writes, repeated until everything is written.
    ///
    /// # Errors
    /// The deadline passed, or the connection failed.
    pub fn write(&self, parts: &[&[u8]], deadline: Micros) -> io::Result<()> {
        self.write_guarded(parts, deadline, |call| call())
    }

    /// Writes all parts. Each system call is passed to `guard`, which makes it or refuses it.
    ///
    /// # Errors
    /// The deadline passed, the connection failed, or the guard refused a call.
    pub fn write_guarded(
        &self,
        parts: &[&[u8]],
        deadline: Micros,
        mut guard: impl FnMut(&mut dyn FnMut() -> io::Result<usize>) -> io::Result<usize>,
    ) -> io::Result<()> {
        let mut slices: Vec<IoSlice> =
            parts.iter().filter(|part| !part.is_empty()).map(|part| IoSlice::new(part)).collect();
        let mut rest = &mut slices[..];
        while !rest.is_empty() {
            match guard(&mut || self.0.inner().write_vectored(rest)) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => IoSlice::advance_slices(&mut rest, count),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The peer reads too slowly. Only the reader may wait for socket events, so the writer polls.
                Err(error)
                    if error.kind() == ErrorKind::WouldBlock && !clock::time_until(deadline).is_zero() =>
                {
                    clock::sleep(WRITE_RETRY_DELAY);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Acknowledges received bytes immediately instead of with the next response. A peer that holds back its
    /// next bytes until then (Nagle's algorithm, RFC 896) would otherwise wait for the system's delayed
    /// acknowledgement.
    pub fn acknowledge(&self) {
        let _ = socket2::SockRef::from(self.0.inner()).set_tcp_quickack(true);
    }

    /// Whether the connection is open and has no unread bytes.
    pub fn is_open_and_idle(&self) -> bool {
        matches!(self.peek(), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the connection has unread bytes.
    pub fn has_unread_bytes(&self) -> bool {
        self.peek().is_ok_and(|bytes| bytes > 0)
    }

    /// Whether the peer has closed or reset the connection, also if there are unread bytes before that. Not to be called after
    /// [`Socket::shut_down_reads`], which has the same effect here.
    pub fn is_closed_by_peer(&self) -> bool {
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(self.0.inner(), PollFlags::RDHUP)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut polled, Some(&no_wait)).is_ok_and(|_| polled[0].revents().intersects(ended))
    }

    /// The number of unread bytes, at most 1, without waiting. Returns 0 at the end of the connection.
    fn peek(&self) -> io::Result<usize> {
        loop {
            match self.0.inner().peek(&mut [0]) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Shuts down both directions and wakes a waiting reader.
    pub fn close(&self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }

    /// Ends the read side and wakes a waiting reader, without a word to the peer. The reader still gets what has arrived.
    pub fn shut_down_reads(&self) {
        let _ = self.0.shutdown(Shutdown::Read);
    }

    /// Shuts down the write side, so that the peer sees the end of the stream.
    pub fn shut_down_writes(&self) {
        let _ = self.0.shutdown(Shutdown::Write);
    }
}

#[cfg(test)]
#[path = "socket_tests.rs"]
mod tests;
