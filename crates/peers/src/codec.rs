//! Packets and frames in bytes, and the membership library's own parts of a packet.

use crate::member::Member;
use crate::wire::{self, Body, FORMAT, Frame, Packet, Said};
use bytes::{Buf, BufMut};
use foca::{Header, Message, State};
use prost::Message as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Longest datagram, in bytes.
pub const PACKET: usize = 1400;
/// What is kept of that for what stands around the membership library's part.
pub const AROUND: usize = 24;
/// Longest frame.
pub const FRAME: usize = 1 << 20;

/// Why something was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Foreign {
    /// It makes no sense.
    Garbage,
    /// It is of another format.
    Format,
    /// It is of another cluster.
    Cluster,
}

/// The hash that stands for a cluster's name.
pub fn cluster(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// A datagram's bytes.
pub fn packet(cluster: u64, body: Body) -> Vec<u8> {
    Packet { format: FORMAT, cluster, body: Some(body) }.encode_to_vec()
}

/// What a datagram says to this cluster.
pub fn read_packet(cluster: u64, bytes: &[u8]) -> Result<Body, Foreign> {
    if bytes.len() > PACKET {
        return Err(Foreign::Garbage);
    }
    let packet = Packet::decode(bytes).map_err(|_| Foreign::Garbage)?;
    check(cluster, packet.format, packet.cluster)?;
    packet.body.ok_or(Foreign::Garbage)
}

/// A frame's bytes, behind their length.
pub fn frame(cluster: u64, from: &Member, body: Said) -> Vec<u8> {
    let frame = Frame { format: FORMAT, cluster, from: Some(from.written()), body: Some(body) };
    let mut bytes = Vec::with_capacity(frame.encoded_len() + 4);
    bytes.put_u32(frame.encoded_len() as u32);
    frame.encode_raw(&mut bytes);
    bytes
}

/// What a frame says, without its length, and who sends it.
pub fn read_frame(cluster: u64, bytes: &[u8]) -> Result<(Member, Said), Foreign> {
    if bytes.len() > FRAME {
        return Err(Foreign::Garbage);
    }
    let frame = Frame::decode(bytes).map_err(|_| Foreign::Garbage)?;
    check(cluster, frame.format, frame.cluster)?;
    let from = frame.from.as_ref().and_then(Member::read).ok_or(Foreign::Garbage)?;
    Ok((from, frame.body.ok_or(Foreign::Garbage)?))
}

/// The name of who sends a frame, of whatever cluster, for who stands between.
pub fn sender(bytes: &[u8]) -> Option<String> {
    Frame::decode(bytes).ok()?.from.map(|from| from.name)
}

fn check(ours: u64, format: u32, theirs: u64) -> Result<(), Foreign> {
    match () {
        () if format != FORMAT => Err(Foreign::Format),
        () if theirs != ours => Err(Foreign::Cluster),
        () => Ok(()),
    }
}

/// Kinds of headers that belong to probes.
pub const PROBES: std::ops::RangeInclusive<u32> = 1..=6;

/// What the codec saw pass.
#[derive(Debug, Default)]
pub struct Seen {
    /// Direct probes sent.
    pub pings: AtomicU32,
    /// Answers to them.
    pub acks: AtomicU32,
    /// The latest life seen under one's own address.
    pub life: AtomicU64,
    /// The kind of header that was written last.
    pub kind: AtomicU32,
}

/// How the membership library's header and members are written.
pub struct Codec {
    /// One's own address.
    pub me: std::net::SocketAddr,
    /// What passed.
    pub seen: Arc<Seen>,
}

/// It does not fit, or makes no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad;

impl std::fmt::Display for Bad {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("does not fit, or makes no sense")
    }
}

impl std::error::Error for Bad {}

fn put(message: &impl prost::Message, mut buf: impl BufMut) -> Result<(), Bad> {
    message.encode_length_delimited(&mut buf).map_err(|_| Bad)
}

/// A member's state as it is written.
pub fn written(member: &foca::Member<Member>) -> wire::MemberState {
    let state = match member.state() {
        State::Alive => 1,
        State::Suspect => 2,
        State::Down => 3,
    };
    let incarnation = u32::from(member.incarnation());
    wire::MemberState { member: Some(member.id().written()), incarnation, state }
}

/// A member's state as it was written.
pub fn read(state: &wire::MemberState) -> Option<foca::Member<Member>> {
    let id = Member::read(state.member.as_ref()?)?;
    let how = match state.state {
        1 => State::Alive,
        2 => State::Suspect,
        3 => State::Down,
        _ => return None,
    };
    Some(foca::Member::new(id, u16::try_from(state.incarnation).ok()?, how))
}

impl Codec {
    fn note(&self, member: &Member) {
        if member.at == self.me {
            self.seen.life.fetch_max(member.life, Ordering::Relaxed);
        }
    }
}

impl foca::Codec<Member> for Codec {
    type Error = Bad;

    fn encode_header(&mut self, header: &Header<Member>, buf: impl BufMut) -> Result<(), Bad> {
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
            source: Some(header.src.written()),
            incarnation: u32::from(header.src_incarnation),
            destination: Some(header.dst.written()),
            kind,
            about: about.map(Member::written),
            probe: u32::from(probe),
        };
        put(&header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Member>, Bad> {
        let header = wire::Header::decode_length_delimited(buf).map_err(|_| Bad)?;
        let member = |m: &Option<wire::Identity>| m.as_ref().and_then(Member::read).ok_or(Bad);
        let (src, dst) = (member(&header.source)?, member(&header.destination)?);
        let probe = header.probe.try_into().map_err(|_| Bad)?;
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
            _ => return Err(Bad),
        };
        self.note(&dst);
        let src_incarnation = u16::try_from(header.incarnation).map_err(|_| Bad)?;
        Ok(Header { src, src_incarnation, dst, message })
    }

    fn encode_member(&mut self, member: &foca::Member<Member>, buf: impl BufMut) -> Result<(), Bad> {
        put(&written(member), buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Member>, Bad> {
        let state = wire::MemberState::decode_length_delimited(buf).map_err(|_| Bad)?;
        let member = read(&state).ok_or(Bad)?;
        self.note(member.id());
        Ok(member)
    }
}

/// Who sends the membership library's part of a packet, alive in an incarnation.
pub fn source(swim: &[u8]) -> Option<wire::MemberState> {
    let header = wire::Header::decode_length_delimited(swim).ok()?;
    Some(wire::MemberState { member: Some(header.source?), incarnation: header.incarnation, state: 1 })
}

/// The members that the membership library's part of a packet names, its sender first.
pub fn named(swim: &[u8]) -> Option<Vec<Member>> {
    let mut rest = swim;
    let header = wire::Header::decode_length_delimited(&mut rest).ok()?;
    let mut named = vec![Member::read(header.source.as_ref()?)?];
    if rest.len() < 2 {
        return Some(named);
    }
    for _ in 0..rest.get_u16() {
        let state = wire::MemberState::decode_length_delimited(&mut rest).ok()?;
        named.push(Member::read(state.member.as_ref()?)?);
    }
    Some(named)
}
