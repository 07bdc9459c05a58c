//! Encoding of packets and frames, and of foca's messages within them.

use crate::member::Member;
use crate::wire::{self, FORMAT, Frame, FrameBody, Packet, PacketBody};
use bytes::{Buf, BufMut};
use foca::{Header, Message, State};
use prost::Message as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 1400;
/// Bytes of it that are reserved for the envelope of a SWIM message.
pub const ENVELOPE_BYTES: usize = 24;
/// Longest frame.
pub const MAX_FRAME: usize = 1 << 20;

/// Why a datagram or frame was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Rejected {
    /// It is malformed.
    #[error("it is malformed")]
    Garbage,
    /// It is of another format.
    #[error("it is of another format")]
    Format,
    /// It is of another cluster.
    #[error("it is of another cluster")]
    Cluster,
}

/// The hash that stands for a cluster's name.
pub fn cluster_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Encodes a datagram.
pub fn encode_packet(cluster: u64, body: PacketBody) -> Vec<u8> {
    Packet { format: FORMAT, cluster, body: Some(body) }.encode_to_vec()
}

/// Decodes a datagram of this cluster.
///
/// # Errors
/// Why it was rejected: malformed, too long, of another format or of another cluster.
pub fn decode_packet(cluster: u64, bytes: &[u8]) -> Result<PacketBody, Rejected> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(Rejected::Garbage);
    }
    let packet = Packet::decode(bytes).map_err(|_| Rejected::Garbage)?;
    check(cluster, packet.format, packet.cluster)?;
    packet.body.ok_or(Rejected::Garbage)
}

/// Encodes a frame, behind its length in four bytes.
pub fn encode_frame(cluster: u64, from: &Member, body: FrameBody) -> Vec<u8> {
    let frame = Frame { format: FORMAT, cluster, from: Some(from.to_wire()), body: Some(body) };
    let mut bytes = Vec::with_capacity(frame.encoded_len() + 4);
    bytes.put_u32(frame.encoded_len() as u32);
    frame.encode_raw(&mut bytes);
    bytes
}

/// Decodes a frame without its length: its sender and its body.
///
/// # Errors
/// As [`decode_packet`].
pub fn decode_frame(cluster: u64, bytes: &[u8]) -> Result<(Member, FrameBody), Rejected> {
    if bytes.len() > MAX_FRAME {
        return Err(Rejected::Garbage);
    }
    let frame = Frame::decode(bytes).map_err(|_| Rejected::Garbage)?;
    check(cluster, frame.format, frame.cluster)?;
    let from = frame.from.as_ref().and_then(Member::from_wire).ok_or(Rejected::Garbage)?;
    Ok((from, frame.body.ok_or(Rejected::Garbage)?))
}

/// The name of the sender of a frame of any cluster, for a relay between members.
pub fn sender(bytes: &[u8]) -> Option<String> {
    Frame::decode(bytes).ok()?.from.map(|from| from.name)
}

fn check(ours: u64, format: u32, theirs: u64) -> Result<(), Rejected> {
    if format != FORMAT {
        return Err(Rejected::Format);
    }
    if theirs != ours {
        return Err(Rejected::Cluster);
    }
    Ok(())
}

/// Header kinds that belong to probes.
pub const PROBE_KINDS: std::ops::RangeInclusive<u32> = 1..=6;

/// What the codec has observed of the messages that passed through it.
#[derive(Debug, Default)]
pub struct Observed {
    /// Direct probes sent.
    pub pings: AtomicU32,
    /// Acknowledgements of them received.
    pub acks: AtomicU32,
    /// The latest generation seen under our own address.
    pub generation: AtomicU64,
    /// The kind of the header that was encoded last.
    pub kind: AtomicU32,
}

/// Encodes foca's headers and members.
pub struct Codec {
    /// Our own address.
    pub me: std::net::SocketAddr,
    /// What it observes.
    pub seen: Arc<Observed>,
}

/// A message does not fit, or is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("does not fit, or makes no sense")]
pub struct Malformed;

fn write_delimited(message: &impl prost::Message, mut buf: impl BufMut) -> Result<(), Malformed> {
    message.encode_length_delimited(&mut buf).map_err(|_| Malformed)
}

/// Encodes a member's state.
pub fn state_to_wire(member: &foca::Member<Member>) -> wire::MemberState {
    let state = match member.state() {
        State::Alive => 1,
        State::Suspect => 2,
        State::Down => 3,
    };
    let incarnation = u32::from(member.incarnation());
    wire::MemberState { member: Some(member.id().to_wire()), incarnation, state }
}

/// Decodes a member's state.
pub fn state_from_wire(state: &wire::MemberState) -> Option<foca::Member<Member>> {
    let id = Member::from_wire(state.member.as_ref()?)?;
    let how = match state.state {
        1 => State::Alive,
        2 => State::Suspect,
        3 => State::Down,
        _ => return None,
    };
    Some(foca::Member::new(id, u16::try_from(state.incarnation).ok()?, how))
}

impl Codec {
    fn note_generation(&self, member: &Member) {
        if member.address == self.me {
            self.seen.generation.fetch_max(member.generation, Ordering::Relaxed);
        }
    }
}

impl foca::Codec<Member> for Codec {
    type Error = Malformed;

    fn encode_header(&mut self, header: &Header<Member>, buf: impl BufMut) -> Result<(), Malformed> {
        let (kind, about, probe) = match &header.message {
            Message::Ping(n) => {
                self.seen.pings.fetch_add(1, Ordering::Relaxed);
                (1, None, *n)
            }
            Message::Ack(n) => (2, None, *n),
            Message::PingReq { target, probe_number } => (3, Some(target), *probe_number),
            Message::IndirectPing { origin, probe_number } => (4, Some(origin), *probe_number),
            Message::IndirectAck { target, probe_number } => (5, Some(target), *probe_number),
            Message::ForwardedAck { origin, probe_number } => (6, Some(origin), *probe_number),
            Message::Announce => (7, None, 0),
            Message::Feed => (8, None, 0),
            Message::Gossip => (9, None, 0),
            Message::Broadcast => (10, None, 0),
            Message::TurnUndead => (11, None, 0),
        };
        self.seen.kind.store(kind, Ordering::Relaxed);
        let header = wire::Header {
            source: Some(header.src.to_wire()),
            incarnation: u32::from(header.src_incarnation),
            destination: Some(header.dst.to_wire()),
            kind,
            about: about.map(Member::to_wire),
            probe: u32::from(probe),
        };
        write_delimited(&header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Member>, Malformed> {
        let header = wire::Header::decode_length_delimited(buf).map_err(|_| Malformed)?;
        let member = |m: &Option<wire::Identity>| m.as_ref().and_then(Member::from_wire).ok_or(Malformed);
        let (src, dst) = (member(&header.source)?, member(&header.destination)?);
        let probe = header.probe.try_into().map_err(|_| Malformed)?;
        let about = || member(&header.about);
        let message = match header.kind {
            1 => Message::Ping(probe),
            2 => {
                self.seen.acks.fetch_add(1, Ordering::Relaxed);
                Message::Ack(probe)
            }
            3 => Message::PingReq { target: about()?, probe_number: probe },
            4 => Message::IndirectPing { origin: about()?, probe_number: probe },
            5 => Message::IndirectAck { target: about()?, probe_number: probe },
            6 => Message::ForwardedAck { origin: about()?, probe_number: probe },
            7 => Message::Announce,
            8 => Message::Feed,
            9 => Message::Gossip,
            10 => Message::Broadcast,
            11 => Message::TurnUndead,
            _ => return Err(Malformed),
        };
        self.note_generation(&dst);
        let src_incarnation = u16::try_from(header.incarnation).map_err(|_| Malformed)?;
        Ok(Header { src, src_incarnation, dst, message })
    }

    fn encode_member(&mut self, member: &foca::Member<Member>, buf: impl BufMut) -> Result<(), Malformed> {
        write_delimited(&state_to_wire(member), buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Member>, Malformed> {
        let state = wire::MemberState::decode_length_delimited(buf).map_err(|_| Malformed)?;
        let member = state_from_wire(&state).ok_or(Malformed)?;
        self.note_generation(member.id());
        Ok(member)
    }
}

/// The sender of a SWIM message, as a member alive in its incarnation.
pub fn sender_state(swim: &[u8]) -> Option<wire::MemberState> {
    let header = wire::Header::decode_length_delimited(swim).ok()?;
    Some(wire::MemberState { member: Some(header.source?), incarnation: header.incarnation, state: 1 })
}

/// The members that a SWIM message names, its sender first.
pub fn named_members(swim: &[u8]) -> Option<Vec<Member>> {
    let mut rest = swim;
    let header = wire::Header::decode_length_delimited(&mut rest).ok()?;
    let mut named = vec![Member::from_wire(header.source.as_ref()?)?];
    if rest.len() < 2 {
        return Some(named);
    }
    for _ in 0..rest.get_u16() {
        let state = wire::MemberState::decode_length_delimited(&mut rest).ok()?;
        named.push(Member::from_wire(state.member.as_ref()?)?);
    }
    Some(named)
}
