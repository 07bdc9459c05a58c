//! Encoding of packets and frames, and of the foca messages in them.

use crate::member::Member;
use crate::wire::{self, FORMAT, Frame, FrameBody, Packet, PacketBody};
use bytes::{Buf, BufMut};
use foca::{Header, Message, State};
use prost::Message as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The bytes of a datagram that are reserved for the envelope of a SWIM message.
pub const ENVELOPE_BYTES: usize = 24;
/// The maximum length of a frame, in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// The reason for rejecting a datagram or frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum RejectReason {
    /// The message is malformed or too long.
    #[error("message is malformed or too long")]
    Malformed,
    /// The format differs from [`FORMAT`].
    #[error("message has another format")]
    FormatMismatch,
    /// The sender belongs to another cluster.
    #[error("message is from another cluster")]
    ClusterMismatch,
}

/// Hashes the name of a cluster.
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
/// The datagram is malformed, too long, of another format or from another cluster.
pub fn decode_packet(cluster: u64, bytes: &[u8]) -> Result<PacketBody, RejectReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(RejectReason::Malformed);
    }
    let packet = Packet::decode(bytes).map_err(|_| RejectReason::Malformed)?;
    check_envelope(cluster, packet.format, packet.cluster)?;
    packet.body.ok_or(RejectReason::Malformed)
}

/// Encodes a frame, prefixed by its length as four bytes.
pub fn encode_frame(cluster: u64, from: &Member, body: FrameBody) -> Vec<u8> {
    let frame = Frame { format: FORMAT, cluster, from: Some(from.to_wire()), body: Some(body) };
    let mut bytes = Vec::with_capacity(frame.encoded_len() + 4);
    bytes.put_u32(frame.encoded_len() as u32);
    frame.encode_raw(&mut bytes);
    bytes
}

/// Decodes a frame without its length prefix into its sender and body.
///
/// # Errors
/// As [`decode_packet`].
pub fn decode_frame(cluster: u64, bytes: &[u8]) -> Result<(Member, FrameBody), RejectReason> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(RejectReason::Malformed);
    }
    let frame = Frame::decode(bytes).map_err(|_| RejectReason::Malformed)?;
    check_envelope(cluster, frame.format, frame.cluster)?;
    let from = frame.from.as_ref().and_then(Member::from_wire).ok_or(RejectReason::Malformed)?;
    Ok((from, frame.body.ok_or(RejectReason::Malformed)?))
}

/// Returns the name of the sender of a frame of any cluster, for a relay between members.
pub fn sender_name(bytes: &[u8]) -> Option<String> {
    Frame::decode(bytes).ok()?.from.map(|from| from.name)
}

fn check_envelope(ours: u64, format: u32, theirs: u64) -> Result<(), RejectReason> {
    if format != FORMAT {
        return Err(RejectReason::FormatMismatch);
    }
    if theirs != ours {
        return Err(RejectReason::ClusterMismatch);
    }
    Ok(())
}

/// The header kinds of probes and their acknowledgements.
pub const PROBE_KINDS: std::ops::RangeInclusive<u32> = 1..=6;

/// Observations of the codec about the messages that it has encoded and decoded.
#[derive(Debug, Default)]
pub struct Observed {
    /// The number of direct probes sent.
    pub pings: AtomicU32,
    /// The number of acknowledgements of direct probes received.
    pub acks: AtomicU32,
    /// The highest generation received for this member's own address.
    pub own_address_generation: AtomicU64,
    /// The kind of the last encoded header.
    pub last_header_kind: AtomicU32,
}

/// Encodes and decodes foca's headers and members.
pub struct Codec {
    /// This member's own address.
    pub own_address: std::net::SocketAddr,
    /// The observations, shared with the membership.
    pub observed: Arc<Observed>,
}

/// A message exceeds the buffer, or is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("message exceeds the buffer or is malformed")]
pub struct CodecError;

fn write_delimited(message: &impl prost::Message, mut buf: impl BufMut) -> Result<(), CodecError> {
    message.encode_length_delimited(&mut buf).map_err(|_| CodecError)
}

/// Converts a member's state to its wire representation.
pub fn state_to_wire(member: &foca::Member<Member>) -> wire::MemberState {
    let state = match member.state() {
        State::Alive => 1,
        State::Suspect => 2,
        State::Down => 3,
    };
    let incarnation = u32::from(member.incarnation());
    wire::MemberState { member: Some(member.id().to_wire()), incarnation, state }
}

/// Converts the wire representation of a member's state; returns `None` if it is malformed.
pub fn state_from_wire(state: &wire::MemberState) -> Option<foca::Member<Member>> {
    let id = Member::from_wire(state.member.as_ref()?)?;
    let foca_state = match state.state {
        1 => State::Alive,
        2 => State::Suspect,
        3 => State::Down,
        _ => return None,
    };
    Some(foca::Member::new(id, u16::try_from(state.incarnation).ok()?, foca_state))
}

impl Codec {
    fn record_generation(&self, member: &Member) {
        if member.address == self.own_address {
            self.observed.own_address_generation.fetch_max(member.generation, Ordering::Relaxed);
        }
    }
}

impl foca::Codec<Member> for Codec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Member>, buf: impl BufMut) -> Result<(), CodecError> {
        let (kind, about, probe) = match &header.message {
            Message::Ping(n) => {
                self.observed.pings.fetch_add(1, Ordering::Relaxed);
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
        self.observed.last_header_kind.store(kind, Ordering::Relaxed);
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

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Member>, CodecError> {
        let header = wire::Header::decode_length_delimited(buf).map_err(|_| CodecError)?;
        let member = |m: &Option<wire::Identity>| m.as_ref().and_then(Member::from_wire).ok_or(CodecError);
        let (src, dst) = (member(&header.source)?, member(&header.destination)?);
        let probe = header.probe.try_into().map_err(|_| CodecError)?;
        let about = || member(&header.about);
        let message = match header.kind {
            1 => Message::Ping(probe),
            2 => {
                self.observed.acks.fetch_add(1, Ordering::Relaxed);
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
            _ => return Err(CodecError),
        };
        self.record_generation(&dst);
        let src_incarnation = u16::try_from(header.incarnation).map_err(|_| CodecError)?;
        Ok(Header { src, src_incarnation, dst, message })
    }

    fn encode_member(&mut self, member: &foca::Member<Member>, buf: impl BufMut) -> Result<(), CodecError> {
        write_delimited(&state_to_wire(member), buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Member>, CodecError> {
        let state = wire::MemberState::decode_length_delimited(buf).map_err(|_| CodecError)?;
        let member = state_from_wire(&state).ok_or(CodecError)?;
        self.record_generation(member.id());
        Ok(member)
    }
}

/// Returns the sender of a SWIM message, as alive in the incarnation that the message states.
pub fn sender_state(swim: &[u8]) -> Option<wire::MemberState> {
    let header = wire::Header::decode_length_delimited(swim).ok()?;
    Some(wire::MemberState { member: Some(header.source?), incarnation: header.incarnation, state: 1 })
}

/// Returns the members that a SWIM message contains, its sender first.
pub fn named_members(swim: &[u8]) -> Option<Vec<Member>> {
    let mut remaining = swim;
    let header = wire::Header::decode_length_delimited(&mut remaining).ok()?;
    let mut named = vec![Member::from_wire(header.source.as_ref()?)?];
    if remaining.len() < 2 {
        return Some(named);
    }
    for _ in 0..remaining.get_u16() {
        let state = wire::MemberState::decode_length_delimited(&mut remaining).ok()?;
        named.push(Member::from_wire(state.member.as_ref()?)?);
    }
    Some(named)
}
