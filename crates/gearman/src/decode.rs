//! The decoder: bytes become packets and administrators' lines.
//!
//! A small packet is copied out of the read buffer. The bytes of a large one are read straight into the vector that
//! the packet keeps, which grows with what was received, not with what the head of the packet claims. So a connection
//! that claims much and sends little costs little memory.

use crate::packet::{HEAD, Kind, Magic};
use std::fmt;

/// Bytes to read at a time. Arguments up to this size pass through the buffer.
pub const CHUNK: usize = 8 * 1024;

/// Bounds of a decoder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a packet's arguments. A larger packet is read and dropped.
    pub packet: usize,
    /// Most bytes of an administrator's line.
    pub line: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { packet: (1 << 20) + 4096, line: 1024 }
    }
}

/// What was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A packet, and its arguments with NUL bytes between them.
    Packet(Kind, Vec<u8>),
    /// A packet of a type that is not assigned, without its arguments.
    Unknown(u32),
    /// A packet with so many bytes of arguments, more than a [`CHUNK`], has begun. [`Decoder::skip`] drops it;
    /// otherwise it follows once it is complete.
    Large(Kind, usize),
    /// A packet of this size was dropped, and has come to its end.
    Skipped(Kind, usize),
    /// An administrator's line without its end.
    Line(Vec<u8>),
}

/// Why the bytes of a connection cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Neither a packet of this direction nor a line.
    InvalidMagic,
    /// A line without an end.
    LineTooLong,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DecodeError::InvalidMagic => "neither a packet of this direction nor a line",
            DecodeError::LineTooLong => "a line without an end",
        })
    }
}

impl std::error::Error for DecodeError {}

enum State {
    /// At the start of a packet or a line.
    Start,
    /// In a large packet.
    Large { kind: Kind, size: usize, data: Vec<u8> },
    /// In a packet that is dropped.
    Skipping { kind: Option<Kind>, code: u32, size: usize, remaining: usize },
}

/// The head of a packet.
struct Head {
    code: u32,
    /// None if the type is not assigned.
    kind: Option<Kind>,
    /// Bytes of arguments.
    size: usize,
}

impl Head {
    /// Reads the type and the size. The magic word has been checked.
    fn read(bytes: &[u8]) -> Head {
        let number = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let code = number(4);
        Head { code, kind: Kind::of(code), size: number(8) as usize }
    }
}

/// Decodes one direction of a connection.
pub struct Decoder {
    magic: Magic,
    limits: Limits,
    buffer: Vec<u8>,
    /// Bytes of the buffer that have been decoded.
    position: usize,
    state: State,
    error: Option<DecodeError>,
}

impl Decoder {
    /// A decoder for packets with this magic word.
    pub fn new(magic: Magic, limits: Limits) -> Decoder {
        Decoder { magic, limits, buffer: Vec::new(), position: 0, state: State::Start, error: None }
    }

    /// Takes in bytes. Call [`next_frame`](Self::next_frame) until it returns none before the next call, or the buffer
    /// grows with what is fed.
    pub fn feed(&mut self, bytes: &[u8]) {
        let mut bytes = bytes;
        if self.position == self.buffer.len() {
            // The rest of a large packet need not pass through the buffer.
            bytes = self.absorb(bytes);
            self.position = 0;
            self.buffer.clear();
        } else if self.position >= CHUNK {
            self.buffer.drain(..self.position);
            self.position = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the bytes that belong to the large or dropped packet under way. Returns the others.
    fn absorb<'b>(&mut self, bytes: &'b [u8]) -> &'b [u8] {
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

    /// Drops the large packet that has just been announced.
    pub fn skip(&mut self) {
        if let State::Large { kind, size, data } = &self.state {
            let (kind, size) = (*kind, *size);
            let remaining = size - data.len();
            self.state = State::Skipping { kind: Some(kind), code: kind as u32, size, remaining };
        }
    }

    /// Whether a packet or a line has begun and is not complete.
    pub fn is_inside(&self) -> bool {
        self.position < self.buffer.len() || !matches!(self.state, State::Start)
    }

    /// Bytes of memory for what is not complete.
    pub fn buffered_bytes(&self) -> usize {
        let large = match &self.state {
            State::Large { data, .. } => data.capacity(),
            State::Start | State::Skipping { .. } => 0,
        };
        self.buffer.capacity() + large
    }

    /// The next frame, if one is complete.
    ///
    /// # Errors
    /// The bytes are neither packets nor lines. Each later call returns the same error.
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
            if self.buffer.capacity() > 4 * CHUNK {
                self.buffer.shrink_to(CHUNK);
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

    /// Goes on with a large or dropped packet. Returns its frame if it is complete.
    fn continue_packet(&mut self) -> Option<Frame> {
        let buffer = std::mem::take(&mut self.buffer);
        let rest = self.absorb(&buffer[self.position..]).len();
        self.position = buffer.len() - rest;
        self.buffer = buffer;
        self.complete_packet()
    }

    fn decode_packet(&mut self) -> Result<Option<Frame>, DecodeError> {
        let available = &self.buffer[self.position..];
        let magic_bytes = available.len().min(4);
        if available[..magic_bytes] != self.magic.bytes()[..magic_bytes] {
            return Err(DecodeError::InvalidMagic);
        }
        if available.len() < HEAD {
            return Ok(None);
        }
        let Head { code, kind, size } = Head::read(available);
        let Some(kind) = kind.filter(|_| size <= self.limits.packet) else {
            self.position += HEAD;
            self.state = State::Skipping { kind, code, size, remaining: size };
            return Ok(self.continue_packet());
        };
        if size > CHUNK {
            self.position += HEAD;
            self.state = State::Large { kind, size, data: Vec::new() };
            return Ok(Some(Frame::Large(kind, size)));
        }
        if available.len() < HEAD + size {
            return Ok(None);
        }
        let data = available[HEAD..HEAD + size].to_vec();
        self.position += HEAD + size;
        Ok(Some(Frame::Packet(kind, data)))
    }

    /// The frame of the large or dropped packet under way, if that is complete.
    fn complete_packet(&mut self) -> Option<Frame> {
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
