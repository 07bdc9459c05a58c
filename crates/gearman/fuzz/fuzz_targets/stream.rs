//! Any bytes in any pieces: the decoder never panics, holds bounded memory, and gives the same frames for any split.
#![no_main]

use libfuzzer_sys::fuzz_target;
use roselock_gearman::decode::CHUNK;
use roselock_gearman::{Decoder, Frame, Limits, Magic, Packet, Submission};

const LIMITS: Limits = Limits { packet: 20_000, line: 200 };

fn frames(bytes: &[u8], piece: usize) -> Vec<Frame> {
    let mut decoder = Decoder::new(Magic::Req, LIMITS);
    let mut seen = Vec::new();
    for part in bytes.chunks(piece.max(1)) {
        decoder.feed(part);
        loop {
            match decoder.next_frame() {
                Ok(Some(frame)) => seen.push(frame),
                Ok(None) => break,
                Err(_) => return seen,
            }
        }
        assert!(decoder.buffered_bytes() <= 2 * LIMITS.packet + 8 * CHUNK + 2 * part.len());
    }
    seen
}

fuzz_target!(|input: &[u8]| {
    let Some((piece, bytes)) = input.split_first() else { return };
    let seen = frames(bytes, *piece as usize);
    assert_eq!(seen, frames(bytes, bytes.len()));
    for frame in seen {
        if let Frame::Packet(kind, data) = frame
            && let Ok(packet) = Packet::parse(kind, &data)
        {
            let mut again = Vec::new();
            packet.write(Magic::Req, &mut again);
            assert_eq!(Packet::parse(kind, &again[12..]), Ok(packet));
            if let Ok(job) = Submission::read(&packet) {
                job.write(&mut again);
            }
        }
    }
});
