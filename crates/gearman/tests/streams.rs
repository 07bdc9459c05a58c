//! Property tests of packets and the decoder with arbitrary bytes, split at arbitrary positions.

use proptest::collection::vec;
use proptest::prelude::*;
use roselock_gearman::decode::{DecodeError, READ_CHUNK_BYTES};
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, Packet, Submission, packet};

const LIMITS: Limits = Limits { packet: 40_000, line: 200 };

/// Decodes bytes that are fed in parts of these sizes, cyclically. Returns the frames, and the error if there was one.
fn decode_in_parts(bytes: &[u8], parts: &[usize]) -> (Vec<Frame>, Option<DecodeError>) {
    let mut decoder = Decoder::new(Magic::Req, LIMITS);
    let (mut decoded, mut position, mut part) = (Vec::new(), 0, 0);
    while position < bytes.len() {
        let end = (position + parts[part % parts.len()].max(1)).min(bytes.len());
        decoder.feed(&bytes[position..end]);
        (position, part) = (end, part + 1);
        loop {
            match decoder.next_frame() {
                Ok(Some(frame)) => decoded.push(frame),
                Ok(None) => break,
                Err(error) => return (decoded, Some(error)),
            }
        }
        assert!(
            decoder.buffered_bytes() <= 2 * LIMITS.packet + 8 * READ_CHUNK_BYTES,
            "the decoder buffers {} bytes",
            decoder.buffered_bytes()
        );
    }
    (decoded, None)
}

fn any_request() -> impl Strategy<Value = Vec<u8>> {
    let kinds: Vec<Kind> = Kind::ALL.iter().copied().filter(|kind| kind.is_request()).collect();
    let text = vec(1u8..=255, 0..20);
    let data = prop_oneof![9 => vec(any::<u8>(), 0..60), 1 => vec(any::<u8>(), 9_000..60_000)];
    let packet = (proptest::sample::select(kinds), vec(text, 8), data).prop_map(|(kind, texts, data)| {
        let n = kind.arguments().len();
        let mut args: Vec<&[u8]> = texts.iter().take(n).map(Vec::as_slice).collect();
        if let Some(last) = args.last_mut() {
            *last = &data;
        }
        packet(Magic::Req, kind, &args)
    });
    let line = "[a-z ]{1,50}\r?\n".prop_map(String::into_bytes);
    let unknown = (43u32..9999, vec(any::<u8>(), 0..50)).prop_map(|(code, data)| {
        let mut bytes = b"\0REQ".to_vec();
        bytes.extend(code.to_be_bytes());
        bytes.extend((data.len() as u32).to_be_bytes());
        bytes.extend(data);
        bytes
    });
    prop_oneof![8 => packet, 1 => line, 1 => unknown]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Packets of each type with arbitrary arguments are parsed as they were written.
    #[test]
    fn packets_round_trip(kind in proptest::sample::select(Kind::ALL), texts in vec(vec(1u8..=255, 0..20), 8),
                         data in vec(any::<u8>(), 0..200)) {
        let n = kind.arguments().len();
        let mut args: Vec<&[u8]> = texts.iter().take(n).map(Vec::as_slice).collect();
        if let Some(last) = args.last_mut() {
            *last = &data;
        }
        let bytes = packet(Magic::Res, kind, &args);
        let parsed = Packet::parse(kind, &bytes[12..]).expect("a written packet is valid");
        let mut written = Vec::new();
        parsed.write(Magic::Res, &mut written);
        prop_assert_eq!(parsed.kind(), kind);
        prop_assert_eq!(written, bytes);
    }

    /// Submissions are parsed with all fields as they were written.
    #[test]
    fn submissions_round_trip(bytes in any_request()) {
        if let (frames, None) = decode_in_parts(&bytes, &[bytes.len()])
            && let Some(Frame::Packet(kind, data)) = frames.last()
            && let Ok(request) = Packet::parse(*kind, data)
            && let Ok(job) = Submission::read(&request)
        {
            let mut written = Vec::new();
            job.write(&mut written);
            let parsed = Packet::parse(job.kind(), &written[12..]).expect("a written packet is valid");
            prop_assert_eq!(Submission::read(&parsed), Ok(job));
        }
    }

    /// The decoded frames do not depend on how the bytes are split.
    #[test]
    fn frames_do_not_depend_on_how_bytes_are_split(stream in vec(any_request(), 1..12), parts in vec(1usize..5000, 1..20)) {
        let bytes = stream.concat();
        prop_assert_eq!(decode_in_parts(&bytes, &parts), decode_in_parts(&bytes, &[bytes.len()]));
        prop_assert_eq!(decode_in_parts(&bytes[..bytes.len().min(2000)], &[1]).0,
                        decode_in_parts(&bytes[..bytes.len().min(2000)], &[2000]).0);
    }

    /// Arbitrary bytes, and valid streams with some bytes changed, are decoded without a panic and in bounded memory, which
    /// `decode_in_parts` asserts.
    #[test]
    fn arbitrary_bytes_are_decoded_without_panic_in_bounded_memory(mut bytes in prop_oneof![
                                vec(any::<u8>(), 0..3000), vec(any_request(), 1..6).prop_map(|packets| packets.concat())],
                            changes in vec((any::<prop::sample::Index>(), any::<u8>()), 0..8),
                            parts in vec(1usize..3000, 1..9)) {
        for (index, value) in changes {
            if !bytes.is_empty() {
                let index = index.index(bytes.len());
                bytes[index] = value;
            }
        }
        for frame in decode_in_parts(&bytes, &parts).0 {
            if let Frame::Packet(kind, data) = frame {
                let _ = Packet::parse(kind, &data).map(|packet| Submission::read(&packet));
            }
        }
    }
}
