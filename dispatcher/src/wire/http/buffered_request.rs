//! A complete request that was taken from the read buffer and is parsed again when its turn comes.

use super::Message;
use super::head::{self, Head};
use roselock::Micros;

/// The bytes of a complete request. They are kept instead of the parsed message, which takes several times the memory of a
/// small request.
pub struct BufferedRequest {
    /// The head and the body, in an allocation of their size.
    raw: Vec<u8>,
    /// When the last byte was read.
    received_at: Micros,
}

impl BufferedRequest {
    pub(super) fn new(raw: Vec<u8>, received_at: Micros) -> BufferedRequest {
        BufferedRequest { raw, received_at }
    }

    /// The memory that the request occupies in a queue, in bytes.
    pub fn memory(&self) -> usize {
        size_of::<BufferedRequest>() + self.raw.capacity()
    }

    /// Parses the request. Returns `None` if it is invalid.
    pub fn parse(self) -> Option<Message> {
        let Head { mut message, end } = head::parse_request(&self.raw).ok()??;
        message.parse_framing(&self.raw, self.raw.len()).ok()?;
        message.body = end..self.raw.len();
        message.raw = self.raw;
        message.received_at = self.received_at;
        Some(message)
    }
}
