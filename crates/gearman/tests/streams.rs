//! Properties of the packets and the decoder over any bytes and any split of them.

use proptest::collection::vec;
use proptest::prelude::*;
use roselock_gearman::decode::{CHUNK, DecodeError};
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, Packet, Submission, packet};

const LIMITS: Limits = Limits { packet: 40_000, line: 200 };

/// All frames of bytes that come in parts of these lengths, one after the other and over again.
fn frames(bytes: &[u8], parts: &[usize]) -> (Vec<Frame>, Option<DecodeError>) {
    let mut decoder = Decoder::new(Magic::Req, LIMITS);
    let (mut seen, mut at, mut turn) = (Vec::new(), 0, 0);
    while at < bytes.len() {
        let end = (at + parts[turn % parts.len()].max(1)).min(bytes.len());
        decoder.feed(&bytes[at..end]);
        (at, turn) = (end, turn + 1);
        loop {
            match decoder.next_frame() {
                Ok(Some(frame)) => seen.push(frame),
                Ok(None) => break,
                Err(broken) => return (seen, Some(broken)),
            }
        }
        assert!(
            decoder.buffered_bytes() <= 2 * LIMITS.packet + 8 * CHUNK,
            "holds {}",
            decoder.buffered_bytes()
        );
    }
    (seen, None)
}

fn any_request() -> impl Strategy<Value = Vec<u8>> {
    let kinds: Vec<Kind> = Kind::ALL.iter().copied().filter(|k| k.is_request()).collect();
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

    /// What is written reads back, for each type and any arguments.
    #[test]
    fn packets_are_read_as_they_were_written(kind in proptest::sample::select(Kind::ALL), texts in vec(vec(1u8..=255, 0..20), 8),
                         data in vec(any::<u8>(), 0..200)) {
        let n = kind.arguments().len();
        let mut args: Vec<&[u8]> = texts.iter().take(n).map(Vec::as_slice).collect();
        if let Some(last) = args.last_mut() {
            *last = &data;
        }
        let bytes = packet(Magic::Res, kind, &args);
        let read = Packet::parse(kind, &bytes[12..]).expect("as written");
        let mut again = Vec::new();
        read.write(Magic::Res, &mut again);
        prop_assert_eq!(read.kind(), kind);
        prop_assert_eq!(again, bytes);
    }

    /// Submissions read back with all their fields.
    #[test]
    fn submissions_are_read_as_they_were_written(bytes in any_request()) {
        if let (frames, None) = frames(&bytes, &[bytes.len()])
            && let Some(Frame::Packet(kind, data)) = frames.last()
            && let Ok(read) = Packet::parse(*kind, data)
            && let Ok(job) = Submission::read(&read)
        {
            let mut again = Vec::new();
            job.write(&mut again);
            let data = Packet::parse(job.kind(), &again[12..]).expect("as written");
            prop_assert_eq!(Submission::read(&data), Ok(job));
        }
    }

    /// However the bytes are split, the same frames come.
    #[test]
    fn frames_do_not_depend_on_how_bytes_are_split(stream in vec(any_request(), 1..12), parts in vec(1usize..5000, 1..20)) {
        let bytes = stream.concat();
        prop_assert_eq!(frames(&bytes, &parts), frames(&bytes, &[bytes.len()]));
        prop_assert_eq!(frames(&bytes[..bytes.len().min(2000)], &[1]).0,
                        frames(&bytes[..bytes.len().min(2000)], &[2000]).0);
    }

    /// Arbitrary bytes, and sound streams with some bytes changed: no panic, bounded memory (asserted above).
    #[test]
    fn any_bytes_are_decoded_without_panic_in_bounded_memory(mut bytes in prop_oneof![
                                vec(any::<u8>(), 0..3000), vec(any_request(), 1..6).prop_map(|s| s.concat())],
                            flips in vec((any::<prop::sample::Index>(), any::<u8>()), 0..8),
                            parts in vec(1usize..3000, 1..9)) {
        for (at, to) in flips {
            if !bytes.is_empty() {
                let at = at.index(bytes.len());
                bytes[at] = to;
            }
        }
        for frame in frames(&bytes, &parts).0 {
            if let Frame::Packet(kind, data) = frame {
                let _ = Packet::parse(kind, &data).map(|p| Submission::read(&p));
            }
        }
    }
}
