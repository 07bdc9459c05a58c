//! Encodes the packets that the server sends.

use roselock_gearman::packet::{HEADER_BYTES, encode};
use roselock_gearman::{Kind, Magic, packet};

/// The bytes of the packet header that hold the size of the arguments.
const SIZE_FIELD: std::ops::Range<usize> = 8..HEADER_BYTES;

/// Encodes a packet.
pub fn reply(kind: Kind, args: &[&[u8]]) -> Vec<u8> {
    packet(Magic::Res, kind, args)
}

/// Encodes the header of a packet and all arguments but the last. The last argument, of `body_size` bytes, is written
/// separately, so that receivers can share it without a copy.
pub fn reply_head(kind: Kind, args: &[&[u8]], body_size: usize) -> Vec<u8> {
    let mut head = Vec::new();
    let args: Vec<&[u8]> = args.iter().copied().chain([&b""[..]]).collect();
    encode(Magic::Res, kind, &args, &mut head);
    let size = (head.len() - HEADER_BYTES + body_size) as u32;
    head[SIZE_FIELD].copy_from_slice(&size.to_be_bytes());
    head
}

/// Encodes an ERROR packet.
pub fn error_reply(code: &str, text: &str) -> Vec<u8> {
    reply(Kind::Error, &[code.as_bytes(), text.as_bytes()])
}
