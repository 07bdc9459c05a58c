//! A client connection to the server under test that reads packets and lines with a deadline.

use roselock_gearman::decode::DecodeError;
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The largest packet that is accepted.
const MAX_PACKET_BYTES: usize = 64 << 20;
const READ_BUFFER_BYTES: usize = 65536;
/// The shortest read timeout; the socket API rejects a timeout of 0.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// Why no packet or line was received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReceiveError {
    /// The server closed the connection.
    #[error("the end of the connection")]
    Closed,
    /// Nothing was received before the deadline.
    #[error("nothing before the deadline")]
    TimedOut,
    /// Reading from the connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A frame that is not a packet.
    #[error("{0:?}")]
    Unexpected(Frame),
    /// Bytes that are not a valid packet.
    #[error("an invalid packet: {0:?}")]
    Malformed(DecodeError),
}

/// One connection that a case has opened.
pub(crate) struct Connection {
    stream: TcpStream,
    decoder: Decoder,
    /// Bytes that were read but not yet returned as lines.
    line_buffer: Vec<u8>,
}

impl Connection {
    /// Connects to the server.
    pub(crate) fn open(server: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(server)?;
        let _ = stream.set_nodelay(true);
        let limits = Limits { packet: MAX_PACKET_BYTES, line: 0 };
        Ok(Connection { stream, decoder: Decoder::new(Magic::Res, limits), line_buffer: Vec::new() })
    }

    /// Writes all bytes, with a timeout.
    pub(crate) fn write(&mut self, bytes: &[u8], timeout: Duration) -> io::Result<()> {
        let _ = self.stream.set_write_timeout(Some(timeout));
        self.stream.write_all(bytes)
    }

    /// Reads the next packet; returns its type and its arguments, which are not yet split.
    pub(crate) fn read_packet(&mut self, deadline: Instant) -> Result<(Kind, Vec<u8>), ReceiveError> {
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

    /// Reads the next line of a response of the administration protocol, without its line ending.
    pub(crate) fn read_line(&mut self, deadline: Instant) -> Result<String, ReceiveError> {
        loop {
            if let Some(end) = self.line_buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.line_buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            let bytes = self.read(deadline)?;
            self.line_buffer.extend(bytes);
        }
    }

    /// Reads the next bytes.
    fn read(&mut self, deadline: Instant) -> Result<Vec<u8>, ReceiveError> {
        let remaining = deadline.saturating_duration_since(Instant::now()).max(MIN_READ_TIMEOUT);
        self.stream.set_read_timeout(Some(remaining))?;
        let mut buffer = vec![0; READ_BUFFER_BYTES];
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
