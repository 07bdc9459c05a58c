//! The thin layer over sockets: absolute deadlines in, spans to the operating system out.
//!
//! A coroutine runtime's stream keeps one waiting coroutine a socket. Only a socket's reader ever waits there, by
//! `peek`; all other calls go to the non-blocking socket itself, so that one side may write, and any side close,
//! while another waits to read, without a second descriptor.

use crate::memory::clock;
use may::net::TcpStream;
use roselock::Micros;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

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
    pub fn connect(to: SocketAddr, deadline: Micros) -> io::Result<Socket> {
        let left = clock::left(deadline);
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        TcpStream::connect_timeout(&to, left).map(Socket::new)
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
        let mut slices: Vec<IoSlice> =
            parts.iter().filter(|p| !p.is_empty()).map(|p| IoSlice::new(p)).collect();
        let mut rest = &mut slices[..];
        while !rest.is_empty() {
            match self.0.inner().write_vectored(rest) {
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
