//! The decoder: bounded memory, discarded packets, and invalid bytes.

use roselock_gearman::decode::{DecodeError, READ_CHUNK_BYTES};
use roselock_gearman::packet::encode_header;
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, packet};

fn decode_all(decoder: &mut Decoder) -> Vec<Frame> {
    std::iter::from_fn(|| decoder.next_frame().expect("valid bytes")).collect()
}

/// A header that announces 1 MiB of arguments, followed by 4 bytes, takes less than two chunks of memory.
#[test]
fn memory_grows_with_received_bytes_not_with_the_announced_size() {
    let mut decoder = Decoder::new(Magic::Req, Limits::default());
    decoder.feed(&encode_header(Magic::Req, Kind::SubmitJob, 1 << 20));
    assert_eq!(decode_all(&mut decoder), [Frame::Large(Kind::SubmitJob, 1 << 20)]);
    decoder.feed(b"f\0u\0");
    assert!(decoder.buffered_bytes() < 2 * READ_CHUNK_BYTES, "{}", decoder.buffered_bytes());
}

/// A packet that is discarded, because it is too large or on request, is followed by the next packet.
#[test]
fn the_packet_after_a_discarded_one_is_decoded() {
    for (limit, packet_frames) in [(100, 1), (1 << 20, 2)] {
        let mut decoder = Decoder::new(Magic::Req, Limits { packet: limit, line: 100 });
        let mut bytes = packet(Magic::Req, Kind::SubmitJob, &[b"f", b"u", &vec![7; 20_000]]);
        bytes.extend(packet(Magic::Req, Kind::EchoReq, &[b"x"]));
        let mut decoded = Vec::new();
        for part in bytes.chunks(1000) {
            decoder.feed(part);
            while let Some(frame) = decoder.next_frame().expect("valid bytes") {
                if matches!(frame, Frame::Large(..)) {
                    decoder.skip();
                }
                decoded.push(frame);
            }
        }
        assert_eq!(decoded.len(), packet_frames + 1);
        assert_eq!(decoded[packet_frames - 1], Frame::Skipped(Kind::SubmitJob, 20_004));
        assert_eq!(decoded[packet_frames], Frame::Packet(Kind::EchoReq, b"x".to_vec()));
    }
}

#[test]
fn a_decode_error_is_permanent() {
    let mut decoder = Decoder::new(Magic::Req, Limits::default());
    decoder.feed(&packet(Magic::Res, Kind::Noop, &[]));
    assert_eq!(decoder.next_frame(), Err(DecodeError::InvalidMagic));
    decoder.feed(&packet(Magic::Req, Kind::PreSleep, &[]));
    assert_eq!(decoder.next_frame(), Err(DecodeError::InvalidMagic));
    let mut line_decoder = Decoder::new(Magic::Req, Limits::default());
    line_decoder.feed(&[b'x'; 2000]);
    assert_eq!(line_decoder.next_frame(), Err(DecodeError::LineTooLong));
}
