//! Bytes become packets and administrators' lines.
//!
//! A small packet is copied out of the read buffer. The bytes of a large one are read straight into the vector that
//! the packet keeps, which grows with what has come, not with what its head claims. So a connection that claims much
//! and sends little costs little.

use crate::packet::{HEAD, Kind, Magic};

/// Bytes asked for at a time; packets up to this size are read through the buffer.
pub const CHUNK: usize = 8 * 1024;

/// What a decoder takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a packet's arguments. Those of a larger one are read and dropped.
    pub packet: usize,
    /// Most bytes of an administrator's line.
    pub line: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { packet: (1 << 20) + 4096, line: 1024 }
    }
}

/// What came in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A packet, and its arguments with NULs between.
    Packet(Kind, Vec<u8>),
    /// A packet of a type that is not assigned, without its arguments.
    Unknown(u32),
    /// A packet with so many bytes of arguments begins to come in and is more than a chunk. [`Decoder::skip`] may
    /// drop it; else it follows as a whole.
    Large(Kind, usize),
    /// The end of a packet that was dropped, and its size.
    Skipped(Kind, usize),
    /// An administrator's line without its end.
    Line(Vec<u8>),
}

/// Why a stream of bytes cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Neither a packet of this direction nor a line.
    Magic,
    /// A line without an end.
    Line,
}

enum State {
    /// At the start of a packet or a line.
    Start,
    /// In a large packet.
    Large { kind: Kind, size: usize, data: Vec<u8> },
    /// In one that is dropped: bytes that still come.
    Skipping { kind: Option<Kind>, code: u32, size: usize, left: usize },
}

/// Reads one direction of a connection.
pub struct Decoder {
    magic: Magic,
    limits: Limits,
    buffer: Vec<u8>,
    at: usize,
    state: State,
    broken: Option<Broken>,
}

impl Decoder {
    /// A decoder for packets with this magic word.
    pub fn new(magic: Magic, limits: Limits) -> Decoder {
        Decoder { magic, limits, buffer: Vec::new(), at: 0, state: State::Start, broken: None }
    }

    /// Takes in bytes. Call [`next_frame`](Self::next_frame) until it has none before the next call, or the buffer
    /// grows with what is fed.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        if self.at == self.buffer.len() {
            // The rest of a large packet need not pass through the buffer.
            (self.at, bytes) = (0, self.absorb(bytes));
            self.buffer.clear();
        } else if self.at >= CHUNK {
            self.buffer.drain(..self.at);
            self.at = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Moves what belongs to the packet under way; returns the rest.
    fn absorb<'b>(&mut self, bytes: &'b [u8]) -> &'b [u8] {
        let taken = match &mut self.state {
            State::Start => 0,
            State::Large { size, data, .. } => {
                let taken = bytes.len().min(*size - data.len());
                data.extend_from_slice(&bytes[..taken]);
                taken
            }
            State::Skipping { left, .. } => {
                let taken = bytes.len().min(*left);
                *left -= taken;
                taken
            }
        };
        &bytes[taken..]
    }

    /// Drops the large packet that has just been announced.
    pub fn skip(&mut self) {
        if let State::Large { kind, size, data } = &self.state {
            let (kind, size, left) = (*kind, *size, size - data.len());
            self.state = State::Skipping { kind: Some(kind), code: kind as u32, size, left };
        }
    }

    /// Whether it is within a packet or a line.
    pub fn is_inside(&self) -> bool {
        self.at < self.buffer.len() || !matches!(self.state, State::Start)
    }

    /// Bytes held for what is not complete.
    pub fn held(&self) -> usize {
        let large = if let State::Large { data, .. } = &self.state { data.capacity() } else { 0 };
        self.buffer.capacity() + large
    }

    /// The next frame, if one is complete.
    ///
    /// # Errors
    /// Where the bytes make no sense; from then on always.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Broken> {
        if let Some(broken) = self.broken {
            return Err(broken);
        }
        let frame = self.step();
        if let Err(broken) = &frame {
            self.broken = Some(*broken);
        }
        if self.at == self.buffer.len() {
            self.buffer.clear();
            self.at = 0;
            if self.buffer.capacity() > 4 * CHUNK {
                self.buffer.shrink_to(CHUNK);
            }
        }
        frame
    }

    fn step(&mut self) -> Result<Option<Frame>, Broken> {
        if !matches!(self.state, State::Start) {
            let buffer = std::mem::take(&mut self.buffer);
            self.at = buffer.len() - self.absorb(&buffer[self.at..]).len();
            self.buffer = buffer;
            return Ok(self.ended());
        }
        let came = &self.buffer[self.at..];
        match came.first() {
            None => return Ok(None),
            Some(0) => {}
            Some(_) => return self.line(),
        }
        let magic = came.len().min(4);
        if came[..magic] != self.magic.bytes()[..magic] {
            return Err(Broken::Magic);
        }
        if came.len() < HEAD {
            return Ok(None);
        }
        let word = |at: usize| u32::from_be_bytes([came[at], came[at + 1], came[at + 2], came[at + 3]]);
        let (code, size) = (word(4), word(8) as usize);
        let kind = Kind::of(code);
        if let Some(kind) = kind.filter(|_| size <= CHUNK.min(self.limits.packet)) {
            if came.len() < HEAD + size {
                return Ok(None);
            }
            let data = came[HEAD..HEAD + size].to_vec();
            self.at += HEAD + size;
            return Ok(Some(Frame::Packet(kind, data)));
        }
        self.at += HEAD;
        match kind {
            Some(kind) if size <= self.limits.packet => {
                self.state = State::Large { kind, size, data: Vec::new() };
                Ok(Some(Frame::Large(kind, size)))
            }
            _ => {
                self.state = State::Skipping { kind, code, size, left: size };
                self.step()
            }
        }
    }

    /// The packet under way, if it has come to its end.
    fn ended(&mut self) -> Option<Frame> {
        let ended = match &self.state {
            State::Start => false,
            State::Large { size, data, .. } => data.len() == *size,
            State::Skipping { left, .. } => *left == 0,
        };
        if !ended {
            return None;
        }
        match std::mem::replace(&mut self.state, State::Start) {
            State::Start => None,
            State::Large { kind, data, .. } => Some(Frame::Packet(kind, data)),
            State::Skipping { kind: Some(kind), size, .. } => Some(Frame::Skipped(kind, size)),
            State::Skipping { code, .. } => Some(Frame::Unknown(code)),
        }
    }

    fn line(&mut self) -> Result<Option<Frame>, Broken> {
        let came = &self.buffer[self.at..];
        let Some(end) = came.iter().take(self.limits.line + 1).position(|b| *b == b'\n') else {
            return if came.len() > self.limits.line { Err(Broken::Line) } else { Ok(None) };
        };
        let line = came[..end].strip_suffix(b"\r").unwrap_or(&came[..end]).to_vec();
        self.at += end + 1;
        Ok(Some(Frame::Line(line)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::packet::packet;

    fn all(decoder: &mut Decoder) -> Vec<Frame> {
        std::iter::from_fn(|| decoder.next_frame().expect("sense")).collect()
    }

    /// A head that claims a megabyte and sends nothing must not cost one.
    #[test]
    fn a_claim_costs_nothing() {
        let mut decoder = Decoder::new(Magic::Req, Limits::default());
        decoder.feed(&crate::packet::head(Magic::Req, Kind::SubmitJob, 1 << 20));
        assert_eq!(all(&mut decoder), [Frame::Large(Kind::SubmitJob, 1 << 20)]);
        decoder.feed(b"f\0u\0");
        assert!(decoder.held() < 2 * CHUNK, "{}", decoder.held());
    }

    /// What is too large, or dropped on purpose, leaves the connection readable.
    #[test]
    fn a_packet_too_large_is_dropped_and_the_next_is_read() {
        for (limit, frames) in [(100, 1), (1 << 20, 2)] {
            let mut decoder = Decoder::new(Magic::Req, Limits { packet: limit, line: 100 });
            let mut bytes = packet(Magic::Req, Kind::SubmitJob, &[b"f", b"u", &vec![7; 20_000]]);
            bytes.extend(packet(Magic::Req, Kind::EchoReq, &[b"x"]));
            let mut seen = Vec::new();
            for part in bytes.chunks(1000) {
                decoder.feed(part);
                while let Some(frame) = decoder.next_frame().expect("sense") {
                    if matches!(frame, Frame::Large(..)) {
                        decoder.skip();
                    }
                    seen.push(frame);
                }
            }
            assert_eq!(seen.len(), frames + 1);
            assert_eq!(seen[frames - 1], Frame::Skipped(Kind::SubmitJob, 20_004));
            assert_eq!(seen[frames], Frame::Packet(Kind::EchoReq, b"x".to_vec()));
        }
    }

    #[test]
    fn what_makes_no_sense_stays_so() {
        let mut decoder = Decoder::new(Magic::Req, Limits::default());
        decoder.feed(&packet(Magic::Res, Kind::Noop, &[]));
        assert_eq!(decoder.next_frame(), Err(Broken::Magic));
        decoder.feed(&packet(Magic::Req, Kind::PreSleep, &[]));
        assert_eq!(decoder.next_frame(), Err(Broken::Magic));
        let mut endless = Decoder::new(Magic::Req, Limits::default());
        endless.feed(&[b'x'; 2000]);
        assert_eq!(endless.next_frame(), Err(Broken::Line));
    }
}
