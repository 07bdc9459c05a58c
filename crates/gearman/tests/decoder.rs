//! The decoder: bounded memory, dropped packets, and bytes that are no packets.

use roselock_gearman::decode::{CHUNK, DecodeError};
use roselock_gearman::packet::head;
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, packet};

fn all(decoder: &mut Decoder) -> Vec<Frame> {
    std::iter::from_fn(|| decoder.next_frame().expect("valid bytes")).collect()
}

/// A head that claims a megabyte, without the data, takes less than two chunks of memory.
#[test]
fn memory_follows_received_bytes_not_the_claimed_size() {
    let mut decoder = Decoder::new(Magic::Req, Limits::default());
    decoder.feed(&head(Magic::Req, Kind::SubmitJob, 1 << 20));
    assert_eq!(all(&mut decoder), [Frame::Large(Kind::SubmitJob, 1 << 20)]);
    decoder.feed(b"f\0u\0");
    assert!(decoder.buffered_bytes() < 2 * CHUNK, "{}", decoder.buffered_bytes());
}

/// After a packet that is too large, or dropped on request, the next one is read.
#[test]
fn a_dropped_packet_is_followed_by_the_next() {
    for (limit, frames) in [(100, 1), (1 << 20, 2)] {
        let mut decoder = Decoder::new(Magic::Req, Limits { packet: limit, line: 100 });
        let mut bytes = packet(Magic::Req, Kind::SubmitJob, &[b"f", b"u", &vec![7; 20_000]]);
        bytes.extend(packet(Magic::Req, Kind::EchoReq, &[b"x"]));
        let mut seen = Vec::new();
        for part in bytes.chunks(1000) {
            decoder.feed(part);
            while let Some(frame) = decoder.next_frame().expect("valid bytes") {
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
fn an_error_is_returned_from_then_on() {
    let mut decoder = Decoder::new(Magic::Req, Limits::default());
    decoder.feed(&packet(Magic::Res, Kind::Noop, &[]));
    assert_eq!(decoder.next_frame(), Err(DecodeError::InvalidMagic));
    decoder.feed(&packet(Magic::Req, Kind::PreSleep, &[]));
    assert_eq!(decoder.next_frame(), Err(DecodeError::InvalidMagic));
    let mut endless = Decoder::new(Magic::Req, Limits::default());
    endless.feed(&[b'x'; 2000]);
    assert_eq!(endless.next_frame(), Err(DecodeError::LineTooLong));
}
