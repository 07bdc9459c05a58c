//! The common part of the client and worker state machines: a decoder, an output buffer and a queue of events.

use crate::decode::{DecodeError, Decoder, Frame, Limits};
use crate::packet::{Kind, Magic, encode};
use std::collections::VecDeque;

/// Maximum size of a packet's arguments that a client or a worker accepts, in bytes.
const MAX_PACKET_BYTES: usize = 64 << 20;

/// The stream state of a connection to a server, with events of type `E`.
pub(crate) struct PeerStream<E> {
    decoder: Decoder,
    /// Bytes to be sent.
    pub output: Vec<u8>,
    events: VecDeque<E>,
}

/// A packet from a server: its type and its undecoded arguments.
pub(crate) struct ReceivedPacket {
    pub kind: Kind,
    pub data: Vec<u8>,
}

impl<E> PeerStream<E> {
    pub fn new() -> PeerStream<E> {
        PeerStream {
            decoder: Decoder::new(Magic::Res, Limits { packet: MAX_PACKET_BYTES, line: 0 }),
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

    /// The next complete packet. Packets of unassigned types are ignored.
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
