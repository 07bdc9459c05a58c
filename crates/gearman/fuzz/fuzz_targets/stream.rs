//! The decoder with arbitrary bytes in parts of any size: it does not panic, uses bounded memory, and returns the same
//! frames for any split.
#![no_main]

use libfuzzer_sys::fuzz_target;
use roselock_gearman::decode::READ_CHUNK_BYTES;
use roselock_gearman::{Decoder, Frame, Limits, Magic, Packet, Submission};

const LIMITS: Limits = Limits { packet: 20_000, line: 200 };

fn decode_in_parts(bytes: &[u8], part_size: usize) -> Vec<Frame> {
    let mut decoder = Decoder::new(Magic::Req, LIMITS);
    let mut frames = Vec::new();
    for part in bytes.chunks(part_size.max(1)) {
        decoder.feed(part);
        loop {
            match decoder.next_frame() {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(_) => return frames,
            }
        }
        assert!(decoder.buffered_bytes() <= 2 * LIMITS.packet + 8 * READ_CHUNK_BYTES + 2 * part.len());
    }
    frames
}

fuzz_target!(|input: &[u8]| {
    let Some((part_size, bytes)) = input.split_first() else { return };
    let frames = decode_in_parts(bytes, *part_size as usize);
    assert_eq!(frames, decode_in_parts(bytes, bytes.len()));
    for frame in frames {
        if let Frame::Packet(kind, data) = frame
            && let Ok(packet) = Packet::parse(kind, &data)
        {
            let mut written = Vec::new();
            packet.write(Magic::Req, &mut written);
            assert_eq!(Packet::parse(kind, &written[12..]), Ok(packet));
            if let Ok(job) = Submission::read(&packet) {
                job.write(&mut written);
            }
        }
    }
});
