//! Decodes received bytes into packets and lines of the text protocol for administrators.
//!
//! The arguments of a small packet are copied out of the receive buffer. Those of a large packet are appended directly
//! to the vector that the packet owns. That vector grows with the bytes received, and is not allocated from the size
//! in the header, so that a connection that announces a large packet and sends little uses little memory.

use crate::packet::{HEADER_BYTES, Kind, Magic};
use std::fmt;

/// Number of bytes to read at a time. Arguments of up to this size are held in the receive buffer.
pub const READ_CHUNK_BYTES: usize = 8 * 1024;

/// Limits of a decoder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a packet's arguments in bytes. A larger packet is read and discarded.
    pub packet: usize,
    /// Maximum length of a text line in bytes.
    pub line: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { packet: (1 << 20) + 4096, line: 1024 }
    }
}

/// A decoded part of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A packet and its arguments, which are separated by NUL bytes.
    Packet(Kind, Vec<u8>),
    /// A packet of an unassigned type, whose arguments have been discarded.
    Unknown(u32),
    /// The header of a packet with this many bytes of arguments, more than [`READ_CHUNK_BYTES`]. [`Decoder::skip`] discards
    /// the packet; otherwise it follows once it is complete.
    Large(Kind, usize),
    /// The end of a discarded packet with this many bytes of arguments.
    Skipped(Kind, usize),
    /// A line of the text protocol, without its line ending.
    Line(Vec<u8>),
}

/// An error after which the bytes of a connection can no longer be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes start neither with this direction's magic word nor a text line.
    InvalidMagic,
    /// No line ending within the maximum length of a text line.
    LineTooLong,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DecodeError::InvalidMagic => {
                "invalid magic word: neither a packet of this direction nor a text line"
            }
            DecodeError::LineTooLong => "no line ending within the maximum length of a text line",
        })
    }
}

impl std::error::Error for DecodeError {}

enum State {
    /// At the start of a packet or a line.
    Start,
    /// Within the arguments of a large packet.
    Large { kind: Kind, size: usize, data: Vec<u8> },
    /// Within the arguments of a packet that is discarded.
    Skipping { kind: Option<Kind>, code: u32, size: usize, remaining: usize },
}

/// The header of a packet.
struct Header {
    code: u32,
    /// `None` if the type is not assigned.
    kind: Option<Kind>,
    /// Size of the arguments in bytes.
    size: usize,
}

impl Header {
    /// Reads the type and the size. The caller has checked the magic word.
    fn read(bytes: &[u8]) -> Header {
        let read_u32 = |offset: usize| {
            u32::from_be_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
        };
        let code = read_u32(4);
        Header { code, kind: Kind::from_code(code), size: read_u32(8) as usize }
    }
}

/// Decodes one direction of a connection.
pub struct Decoder {
    magic: Magic,
    limits: Limits,
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that have been decoded.
    position: usize,
    state: State,
    error: Option<DecodeError>,
}

impl Decoder {
    /// Creates a decoder for packets with this magic word.
    pub fn new(magic: Magic, limits: Limits) -> Decoder {
        Decoder { magic, limits, buffer: Vec::new(), position: 0, state: State::Start, error: None }
    }

    /// Adds received bytes. Call [`next_frame`](Self::next_frame) until it returns `None` before the next call;
    /// otherwise the buffer grows with each call.
    pub fn feed(&mut self, bytes: &[u8]) {
        let mut bytes = bytes;
        if self.position == self.buffer.len() {
            // The rest of a large packet bypasses the buffer.
            bytes = self.consume_arguments(bytes);
            self.position = 0;
            self.buffer.clear();
        } else if self.position >= READ_CHUNK_BYTES {
            self.buffer.drain(..self.position);
            self.position = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Consumes the bytes that belong to the current large or discarded packet. Returns the remaining bytes.
    fn consume_arguments<'b>(&mut self, bytes: &'b [u8]) -> &'b [u8] {
        let taken = match &mut self.state {
            State::Start => 0,
            State::Large { size, data, .. } => {
                let taken = bytes.len().min(*size - data.len());
                data.extend_from_slice(&bytes[..taken]);
                taken
            }
            State::Skipping { remaining, .. } => {
                let taken = bytes.len().min(*remaining);
                *remaining -= taken;
                taken
            }
        };
        &bytes[taken..]
    }

    /// Discards the large packet whose [`Frame::Large`] was returned last.
    pub fn skip(&mut self) {
        if let State::Large { kind, size, data } = &self.state {
            let (kind, size) = (*kind, *size);
            let remaining = size - data.len();
            self.state = State::Skipping { kind: Some(kind), code: kind as u32, size, remaining };
        }
    }

    /// Whether a packet or a line has been received in part.
    pub fn has_partial_frame(&self) -> bool {
        self.position < self.buffer.len() || !matches!(self.state, State::Start)
    }

    /// Memory that is allocated for incomplete packets and lines, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        let large = match &self.state {
            State::Large { data, .. } => data.capacity(),
            State::Start | State::Skipping { .. } => 0,
        };
        self.buffer.capacity() + large
    }

    /// Returns the next frame, if one is complete.
    ///
    /// # Errors
    /// If the bytes are neither packets nor lines. Each later call returns the same error.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, DecodeError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let frame = self.decode_frame();
        if let Err(error) = &frame {
            self.error = Some(*error);
        }
        if self.position == self.buffer.len() {
            self.buffer.clear();
            self.position = 0;
            if self.buffer.capacity() > 4 * READ_CHUNK_BYTES {
                self.buffer.shrink_to(READ_CHUNK_BYTES);
            }
        }
        frame
    }

    fn decode_frame(&mut self) -> Result<Option<Frame>, DecodeError> {
        if !matches!(self.state, State::Start) {
            return Ok(self.continue_packet());
        }
        let available = &self.buffer[self.position..];
        match available.first() {
            None => Ok(None),
            Some(0) => self.decode_packet(),
            Some(_) => self.decode_line(),
        }
    }

    /// Continues with the current large or discarded packet. Returns its frame if it is complete.
    fn continue_packet(&mut self) -> Option<Frame> {
        let buffer = std::mem::take(&mut self.buffer);
        let rest = self.consume_arguments(&buffer[self.position..]).len();
        self.position = buffer.len() - rest;
        self.buffer = buffer;
        self.take_complete_packet()
    }

    fn decode_packet(&mut self) -> Result<Option<Frame>, DecodeError> {
        let available = &self.buffer[self.position..];
        let magic_size = available.len().min(4);
        if available[..magic_size] != self.magic.bytes()[..magic_size] {
            return Err(DecodeError::InvalidMagic);
        }
        if available.len() < HEADER_BYTES {
            return Ok(None);
        }
        let Header { code, kind, size } = Header::read(available);
        let Some(kind) = kind.filter(|_| size <= self.limits.packet) else {
            self.position += HEADER_BYTES;
            self.state = State::Skipping { kind, code, size, remaining: size };
            return Ok(self.continue_packet());
        };
        if size > READ_CHUNK_BYTES {
            self.position += HEADER_BYTES;
            self.state = State::Large { kind, size, data: Vec::new() };
            return Ok(Some(Frame::Large(kind, size)));
        }
        if available.len() < HEADER_BYTES + size {
            return Ok(None);
        }
        let data = available[HEADER_BYTES..HEADER_BYTES + size].to_vec();
        self.position += HEADER_BYTES + size;
        Ok(Some(Frame::Packet(kind, data)))
    }

    /// Takes the frame of the current large or discarded packet, if the packet is complete.
    fn take_complete_packet(&mut self) -> Option<Frame> {
        let is_complete = match &self.state {
            State::Start => false,
            State::Large { size, data, .. } => data.len() == *size,
            State::Skipping { remaining, .. } => *remaining == 0,
        };
        if !is_complete {
            return None;
        }
        match std::mem::replace(&mut self.state, State::Start) {
            State::Start => None,
            State::Large { kind, data, .. } => Some(Frame::Packet(kind, data)),
            State::Skipping { kind: Some(kind), size, .. } => Some(Frame::Skipped(kind, size)),
            State::Skipping { code, .. } => Some(Frame::Unknown(code)),
        }
    }

    fn decode_line(&mut self) -> Result<Option<Frame>, DecodeError> {
        let available = &self.buffer[self.position..];
        let max_line = self.limits.line;
        let Some(end) = available.iter().take(max_line + 1).position(|byte| *byte == b'\n') else {
            return if available.len() > max_line { Err(DecodeError::LineTooLong) } else { Ok(None) };
        };
        let line = available[..end].strip_suffix(b"\r").unwrap_or(&available[..end]).to_vec();
        self.position += end + 1;
        Ok(Some(Frame::Line(line)))
    }
}
