//! The thin layer over sockets: absolute deadlines in, spans to the operating system out.
//!
//! A coroutine runtime's stream keeps one waiting coroutine a socket. Only a socket's reader ever waits there, by
//! `peek`; all other calls go to the non-blocking socket itself, so that one side may write, and any side close,
//! while another waits to read, without a second descriptor.

use crate::core::clock;
use may::net::TcpStream;
use roselock::Micros;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Why a connection did not come up.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine is short of something (descriptors, ports, memory), or the call was interrupted: that says nothing of
    /// the peer.
    Local(io::Error),
    /// The peer refused it, or could not be reached in time.
    Peer(io::Error),
}

impl From<io::Error> for ConnectError {
    /// As socket(2) and connect(2) document the numbers.
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

/// The pauses between tries of what this machine was short of something for: the first, and the longest.
const LOCAL_RETRY: [Micros; 2] = [2_000, 50_000];

/// The growing pause between such tries.
#[derive(Clone, Copy, Debug)]
pub struct LocalRetry(Micros);

impl Default for LocalRetry {
    fn default() -> LocalRetry {
        LocalRetry(LOCAL_RETRY[0])
    }
}

impl LocalRetry {
    /// Waits before the next try; false, at once, if there is no time for one before the deadline.
    pub fn wait(&mut self, deadline: Micros) -> bool {
        if clock::now() + self.0 >= deadline {
            return false;
        }
        may::coroutine::sleep(Duration::from_micros(self.0 as u64));
        self.0 = (self.0 * 2).min(LOCAL_RETRY[1]);
        true
    }
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
    pub fn connect(to: SocketAddr, deadline: Micros) -> Result<Socket, ConnectError> {
        let left = clock::left(deadline);
        if left.is_zero() {
            return Err(ConnectError::Peer(ErrorKind::TimedOut.into()));
        }
        Ok(TcpStream::connect_timeout(&to, left).map(Socket::new)?)
    }
    /// Reads what there is, waiting for the first byte. 0 is the end.
    pub fn read(&self, into: &mut [u8], deadline: Micros) -> io::Result<usize> {
        self.read_or_wait(into, deadline).map(|(read, _)| read)
    }
    /// The same, and whether it waited.
    pub fn read_or_wait(&self, into: &mut [u8], deadline: Micros) -> io::Result<(usize, bool)> {
        let mut waited = false;
        loop {
            match self.0.inner().read(into) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let left = clock::left(deadline);
                    if left.is_zero() {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    self.0.set_read_timeout(Some(left))?;
                    waited = true;
                    match self.0.peek(&mut [0]) {
                        Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
                        _ => {}
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                done => return done.map(|read| (read, waited)),
            }
        }
    }
    /// Reads and drops what is there, up to so many bytes, without waiting: a close over unread bytes would reset the
    /// connection, and what was written last might be lost with it.
    pub fn drain(&self, mut most: usize) {
        let mut bytes = [0; 4096];
        while most > 0 {
            match self.0.inner().read(&mut bytes) {
                Ok(n) if n > 0 => most = most.saturating_sub(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }
    /// Writes all parts, gathered, however few bytes a call takes.
    pub fn write(&self, parts: &[&[u8]], deadline: Micros) -> io::Result<()> {
        self.write_guarded(parts, deadline, |call| call())
    }
    /// The same, with each call to the system made by a guard, which may refuse it.
    pub fn write_guarded(
        &self,
        parts: &[&[u8]],
        deadline: Micros,
        mut guard: impl FnMut(&mut dyn FnMut() -> io::Result<usize>) -> io::Result<usize>,
    ) -> io::Result<()> {
        let mut slices: Vec<IoSlice> =
            parts.iter().filter(|p| !p.is_empty()).map(|p| IoSlice::new(p)).collect();
        let mut rest = &mut slices[..];
        while !rest.is_empty() {
            match guard(&mut || self.0.inner().write_vectored(rest)) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => IoSlice::advance_slices(&mut rest, n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // The peer reads too slowly; the reader has the place to wait, so look again in a while.
                Err(e) if e.kind() == ErrorKind::WouldBlock && !clock::left(deadline).is_zero() => {
                    may::coroutine::sleep(Duration::from_millis(2));
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
    /// Acknowledges what has come at once, not with the next answer: a peer that holds its next bytes back until then
    /// (RFC 896) would wait for as long as the system puts it off.
    pub fn acknowledge(&self) {
        let _ = socket2::SockRef::from(self.0.inner()).set_tcp_quickack(true);
    }
    /// Whether an idle connection is still open, with nothing come in.
    pub fn is_quiet(&self) -> bool {
        loop {
            match self.0.inner().peek(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                seen => return matches!(seen, Err(e) if e.kind() == ErrorKind::WouldBlock),
            }
        }
    }
    /// Ends both directions; whoever waits to read wakes.
    pub fn close(&self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }
    /// Says that nothing more will be written.
    pub fn finish(&self) {
        let _ = self.0.shutdown(Shutdown::Write);
    }
}
