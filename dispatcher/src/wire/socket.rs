//! A thin layer over sockets: callers give absolute deadlines, the operating system gets time-outs.
//!
//! The stream of the coroutine runtime holds one waiting coroutine for each socket. Only the reader of a
//! socket waits there, in `peek`; all other calls go to the non-blocking socket itself, so that one coroutine
//! may write, and any close, while another waits to read, without a second descriptor.

use crate::core::clock;
use may::net::TcpStream;
use roselock::Micros;
use std::io::{self, ErrorKind, IoSlice, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// A shortage on this machine (descriptors, ports, memory), or an interrupted call: no evidence against
    /// the peer.
    #[error(transparent)]
    Local(io::Error),
    /// The peer refused the connection, or could not be reached in time.
    #[error(transparent)]
    Peer(io::Error),
}

impl From<io::Error> for ConnectError {
    /// Classifies the error numbers as socket(2) and connect(2) document them.
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

/// First pause before a retry after a local shortage, in microseconds.
const INITIAL_PAUSE: Micros = 2_000;
/// Longest pause between such retries, in microseconds.
const MAX_PAUSE: Micros = 50_000;
/// Pause before a further write to a peer whose receive window is full.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(2);

/// Exponential backoff of retries after a local shortage.
#[derive(Clone, Copy, Debug)]
pub struct LocalRetry {
    next_pause: Micros,
}

impl Default for LocalRetry {
    fn default() -> LocalRetry {
        LocalRetry { next_pause: INITIAL_PAUSE }
    }
}

impl LocalRetry {
    /// Waits before the next attempt; false, at once, if there is no time for one before the deadline.
    pub fn wait(&mut self, deadline: Micros) -> bool {
        if clock::now() + self.next_pause >= deadline {
            return false;
        }
        may::coroutine::sleep(Duration::from_micros(self.next_pause as u64));
        self.next_pause = (self.next_pause * 2).min(MAX_PAUSE);
        true
    }
}

/// The result of a read.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// Bytes that were read; 0 at the end of the connection.
    pub bytes: usize,
    /// Whether it waited for them.
    pub waited: bool,
}

/// A connection that several coroutines share.
#[derive(Clone)]
pub struct Socket(Arc<TcpStream>);

impl Socket {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream) -> Socket {
        let _ = stream.set_nodelay(true);
        Socket(Arc::new(stream))
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// The peer refused it or could not be reached before the deadline, or this machine has a shortage.
    pub fn connect(to: SocketAddr, deadline: Micros) -> Result<Socket, ConnectError> {
        let left = clock::left(deadline);
        if left.is_zero() {
            return Err(ConnectError::Peer(ErrorKind::TimedOut.into()));
        }
        Ok(TcpStream::connect_timeout(&to, left).map(Socket::new)?)
    }

    /// Reads what has arrived, waiting for the first byte. 0 is the end.
    ///
    /// # Errors
    /// The deadline passed, or the connection failed.
    pub fn read(&self, into: &mut [u8], deadline: Micros) -> io::Result<usize> {
        self.read_or_wait(into, deadline).map(|read| read.bytes)
    }

    /// Reads what has arrived, waiting for the first byte, and tells whether it waited.
    ///
    /// # Errors
    /// The deadline passed, or the connection failed.
    pub fn read_or_wait(&self, into: &mut [u8], deadline: Micros) -> io::Result<Read> {
        let mut waited = false;
        loop {
            match self.0.inner().read(into) {
                Ok(bytes) => return Ok(Read { bytes, waited }),
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
        let left = clock::left(deadline);
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.0.set_read_timeout(Some(left))?;
        match self.0.peek(&mut [0]) {
            Err(error) if error.kind() != ErrorKind::Interrupted => Err(error),
            _ => Ok(()),
        }
    }

    /// Reads and discards what has arrived, up to `max_bytes`, without waiting. Closing with unread bytes
    /// would reset the connection, and what was written last might be lost.
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

    /// Writes all parts with gathering writes, as many as it takes.
    ///
    /// # Errors
    /// The deadline passed, or the connection failed.
    pub fn write(&self, parts: &[&[u8]], deadline: Micros) -> io::Result<()> {
        self.write_guarded(parts, deadline, |call| call())
    }

    /// Writes all parts; each system call is made by a guard, which may refuse it.
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
                // The peer reads too slowly. Only the reader may wait for events of the socket, so this
                // polls.
                Err(error) if error.kind() == ErrorKind::WouldBlock && !clock::left(deadline).is_zero() => {
                    may::coroutine::sleep(WRITE_RETRY_PAUSE);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Acknowledges received bytes at once instead of with the next response: a peer that holds back its next
    /// bytes until then (Nagle's algorithm, RFC 896) would wait for the system's delayed acknowledgement.
    pub fn acknowledge(&self) {
        let _ = socket2::SockRef::from(self.0.inner()).set_tcp_quickack(true);
    }

    /// Whether an idle connection is still open, and nothing has arrived on it.
    pub fn is_quiet(&self) -> bool {
        loop {
            match self.0.inner().peek(&mut [0]) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return matches!(result, Err(error) if error.kind() == ErrorKind::WouldBlock),
            }
        }
    }

    /// Shuts down both directions; a waiting reader wakes.
    pub fn close(&self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }

    /// Shuts down the writing direction: the peer learns that nothing more will be written.
    pub fn shut_down_writes(&self) {
        let _ = self.0.shutdown(Shutdown::Write);
    }
}
