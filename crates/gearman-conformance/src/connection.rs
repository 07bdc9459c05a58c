//! A connection of a case to the server: packets and lines with a deadline.

use roselock_gearman::decode::DecodeError;
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The longest packet that is accepted, in bytes.
const MAX_PACKET: usize = 64 << 20;
/// Bytes that are read at once.
const READ_BUFFER: usize = 65536;
/// The shortest time-out of a read: a time-out of 0 is invalid.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// What was received in place of a packet or a line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReceiveError {
    /// The server closed the connection.
    #[error("the end of the connection")]
    Closed,
    /// Nothing until the deadline.
    #[error("nothing")]
    TimedOut,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Another frame than a packet.
    #[error("{0:?}")]
    Unexpected(Frame),
    /// Bytes that are no packet.
    #[error("no packet: {0:?}")]
    Malformed(DecodeError),
}

/// One connection that a case has opened.
pub(crate) struct Connection {
    stream: TcpStream,
    decoder: Decoder,
    /// Bytes that were read for lines and not yet returned.
    text: Vec<u8>,
}

impl Connection {
    /// Connects to the server.
    pub(crate) fn open(server: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(server)?;
        let _ = stream.set_nodelay(true);
        let limits = Limits { packet: MAX_PACKET, line: 0 };
        Ok(Connection { stream, decoder: Decoder::new(Magic::Res, limits), text: Vec::new() })
    }

    /// Writes all bytes within a time-out.
    pub(crate) fn write(&mut self, bytes: &[u8], timeout: Duration) -> io::Result<()> {
        let _ = self.stream.set_write_timeout(Some(timeout));
        self.stream.write_all(bytes)
    }

    /// The next packet: its type and its arguments.
    pub(crate) fn packet(&mut self, deadline: Instant) -> Result<(Kind, Vec<u8>), ReceiveError> {
        loop {
            match self.decoder.next_frame().map_err(ReceiveError::Malformed)? {
                Some(Frame::Packet(kind, data)) => return Ok((kind, data)),
                Some(Frame::Large(..)) => {}
                Some(other) => return Err(ReceiveError::Unexpected(other)),
                None => {
                    let bytes = self.read(deadline)?;
                    self.decoder.feed(&bytes);
                }
            }
        }
    }

    /// The next line of an administrator's answer, without its line ending.
    pub(crate) fn line(&mut self, deadline: Instant) -> Result<String, ReceiveError> {
        loop {
            if let Some(end) = self.text.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.text.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            let bytes = self.read(deadline)?;
            self.text.extend(bytes);
        }
    }

    /// The next bytes.
    fn read(&mut self, deadline: Instant) -> Result<Vec<u8>, ReceiveError> {
        let left = deadline.saturating_duration_since(Instant::now()).max(MIN_TIMEOUT);
        self.stream.set_read_timeout(Some(left))?;
        let mut buffer = vec![0; READ_BUFFER];
        match self.stream.read(&mut buffer) {
            Ok(0) => Err(ReceiveError::Closed),
            Ok(length) => {
                buffer.truncate(length);
                Ok(buffer)
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(ReceiveError::TimedOut)
            }
            Err(error) => Err(ReceiveError::Io(error)),
        }
    }
}
