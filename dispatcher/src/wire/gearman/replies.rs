//! Packets of the server.

use roselock_gearman::packet::{HEAD, encode};
use roselock_gearman::{Kind, Magic, packet};

/// Where a packet's head has the size of what follows it.
const SIZE_FIELD: std::ops::Range<usize> = 8..HEAD;

/// A packet from the server.
pub fn reply(kind: Kind, args: &[&[u8]]) -> Vec<u8> {
    packet(Magic::Res, kind, args)
}

/// The beginning of a packet whose last argument, of so many bytes, follows separately: it is shared and not copied for
/// each receiver. `args` are the arguments before that.
pub fn reply_head(kind: Kind, args: &[&[u8]], body_size: usize) -> Vec<u8> {
    let mut head = Vec::new();
    let args: Vec<&[u8]> = args.iter().copied().chain([&b""[..]]).collect();
    encode(Magic::Res, kind, &args, &mut head);
    let size = (head.len() - HEAD + body_size) as u32;
    head[SIZE_FIELD].copy_from_slice(&size.to_be_bytes());
    head
}

/// An ERROR packet.
pub fn error_reply(code: &str, text: &str) -> Vec<u8> {
    reply(Kind::Error, &[code.as_bytes(), text.as_bytes()])
}
