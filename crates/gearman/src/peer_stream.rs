//! What the client's and the worker's side of a connection share: a decoder, bytes to be written, events to be read.

use crate::decode::{DecodeError, Decoder, Frame, Limits};
use crate::packet::{Kind, Magic, encode};
use std::collections::VecDeque;

/// Largest packet that a client or a worker accepts, in bytes.
const MAX_PACKET: usize = 64 << 20;

/// One side of a connection to a server, with events of type `E`.
pub(crate) struct PeerStream<E> {
    decoder: Decoder,
    /// Bytes to be written.
    pub output: Vec<u8>,
    events: VecDeque<E>,
}

/// A packet of a server: its type and its arguments.
pub(crate) struct ReceivedPacket {
    pub kind: Kind,
    pub data: Vec<u8>,
}

impl<E> PeerStream<E> {
    pub fn new() -> PeerStream<E> {
        PeerStream {
            decoder: Decoder::new(Magic::Res, Limits { packet: MAX_PACKET, line: 0 }),
            output: Vec::new(),
            events: VecDeque::new(),
        }
    }

    pub fn send(&mut self, kind: Kind, args: &[&[u8]]) {
        encode(Magic::Req, kind, args, &mut self.output);
    }

    pub fn take_output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.output)
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.decoder.feed(bytes);
    }

    /// The next packet that is complete. Packets of unknown types are passed over.
    pub fn next_packet(&mut self) -> Result<Option<ReceivedPacket>, DecodeError> {
        while let Some(frame) = self.decoder.next_frame()? {
            if let Frame::Packet(kind, data) = frame {
                return Ok(Some(ReceivedPacket { kind, data }));
            }
        }
        Ok(None)
    }

    pub fn push_event(&mut self, event: E) {
        self.events.push_back(event);
    }

    pub fn next_event(&mut self) -> Option<E> {
        self.events.pop_front()
    }
}
