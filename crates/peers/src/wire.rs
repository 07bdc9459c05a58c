//! What members say to one another, as in `proto/peers.proto`.

use prost::{Message, Oneof};

/// The format of packets and frames; what has another is dropped.
pub const FORMAT: u32 = 1;

/// A datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// [`FORMAT`].
    #[prost(fixed32, tag = "1")]
    pub format: u32,
    /// A hash of the cluster's name.
    #[prost(fixed64, tag = "2")]
    pub cluster: u64,
    /// What it says.
    #[prost(oneof = "PacketBody", tags = "3, 4, 5, 6, 7, 8")]
    pub body: Option<PacketBody>,
}

/// What a datagram says.
#[derive(Clone, PartialEq, Oneof)]
pub enum PacketBody {
    /// Of the membership library.
    #[prost(bytes = "vec", tag = "3")]
    Swim(Vec<u8>),
    /// What its sender has.
    #[prost(message, tag = "4")]
    Digest(Digest),
    /// A change of the list.
    #[prost(message, tag = "5")]
    Change(Change),
    /// Its receiver is suspected.
    #[prost(message, tag = "6")]
    Suspected(Suspected),
    /// Its sender leaves.
    #[prost(message, tag = "7")]
    Leaving(Identity),
    /// Its sender has just heard this member, which the receiver suspects.
    #[prost(message, tag = "8")]
    Heard(MemberState),
}

/// A member.
#[derive(Clone, PartialEq, Message)]
pub struct Identity {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its address: 4 or 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub ip: Vec<u8>,
    /// See [`Identity::ip`].
    #[prost(uint32, tag = "3")]
    pub port: u32,
    /// When its process started, in milliseconds since 1970.
    #[prost(fixed64, tag = "4")]
    pub generation: u64,
    /// How often it renewed itself.
    #[prost(uint32, tag = "5")]
    pub renewal: u32,
    /// Its zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// The number that it was told.
    #[prost(uint32, tag = "7")]
    pub number: u32,
}

/// The head of a packet of the membership library.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Who sends it.
    #[prost(message, optional, tag = "1")]
    pub source: Option<Identity>,
    /// Its incarnation.
    #[prost(uint32, tag = "2")]
    pub incarnation: u32,
    /// To whom.
    #[prost(message, optional, tag = "3")]
    pub destination: Option<Identity>,
    /// What it is.
    #[prost(uint32, tag = "4")]
    pub kind: u32,
    /// Whom it is about.
    #[prost(message, optional, tag = "5")]
    pub about: Option<Identity>,
    /// The probe that it belongs to.
    #[prost(uint32, tag = "6")]
    pub probe: u32,
}

/// How a member stands.
#[derive(Clone, PartialEq, Message)]
pub struct MemberState {
    /// The member.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Identity>,
    /// Its incarnation.
    #[prost(uint32, tag = "2")]
    pub incarnation: u32,
    /// 1 alive, 2 suspect, 3 down.
    #[prost(uint32, tag = "3")]
    pub state: u32,
}

/// The receiver is suspected by the sender.
#[derive(Clone, PartialEq, Message)]
pub struct Suspected {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub by: Option<Identity>,
    /// The receiver.
    #[prost(message, optional, tag = "2")]
    pub member: Option<Identity>,
    /// In this incarnation.
    #[prost(uint32, tag = "3")]
    pub incarnation: u32,
    /// Its receiver is to pass it on to whom it is about.
    #[prost(bool, tag = "4")]
    pub through: bool,
}

/// A version of the host list.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Version {
    /// One more with each service that began again; from 1 on.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// As the service tells it.
    #[prost(uint64, tag = "2")]
    pub rev: u64,
    /// The sum of the hashes of its lines.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
}

/// What a member has, and who keeps the watch.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<Identity>,
    /// What it has; none: no list.
    #[prost(message, optional, tag = "2")]
    pub version: Option<Version>,
    /// Microseconds since an asker's service last spoke.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// Who keeps the watch.
    #[prost(message, repeated, tag = "4")]
    pub askers: Vec<Asker>,
    /// It answers one of these.
    #[prost(bool, tag = "5")]
    pub answer: bool,
}

/// Who keeps the watch at the list service, or fails to.
#[derive(Clone, PartialEq, Message)]
pub struct Asker {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its watch is open; else its calls fail.
    #[prost(bool, tag = "2")]
    pub open: bool,
    /// Microseconds since it said so.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
}

/// A host.
#[derive(Clone, PartialEq, Message)]
pub struct Target {
    /// Its name.
    #[prost(string, tag = "1")]
    pub uid: String,
    /// Where it is.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// Its zone.
    #[prost(string, tag = "3")]
    pub az: String,
    /// Its machine kind.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Its cell.
    #[prost(uint32, tag = "5")]
    pub pod_group: u32,
    /// 1 ready, 2 draining, 3 gone.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// A figure to compare it by.
    #[prost(double, tag = "7")]
    pub capacity_hint: f64,
    /// When its process started, in milliseconds since 1970; 0: long ago.
    #[prost(double, tag = "8")]
    pub boot_ms: f64,
}

/// What follows on a version.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<Identity>,
    /// What it follows on.
    #[prost(message, optional, tag = "2")]
    pub before: Option<Version>,
    /// What it leads to.
    #[prost(message, optional, tag = "3")]
    pub after: Option<Version>,
    /// Microseconds since an asker's service last spoke.
    #[prost(uint64, tag = "4")]
    pub age_us: u64,
    /// What changed.
    #[prost(message, repeated, tag = "5")]
    pub targets: Vec<Target>,
}

/// A list, or what follows on the version that was asked from.
#[derive(Clone, PartialEq, Message)]
pub struct Listing {
    /// What it follows on; none: it is complete.
    #[prost(message, optional, tag = "1")]
    pub before: Option<Version>,
    /// What it leads to.
    #[prost(message, optional, tag = "2")]
    pub after: Option<Version>,
    /// Microseconds since an asker's service last spoke.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// Its lines.
    #[prost(message, repeated, tag = "4")]
    pub targets: Vec<Target>,
}

/// A question or an answer over TCP.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// [`FORMAT`].
    #[prost(fixed32, tag = "1")]
    pub format: u32,
    /// A hash of the cluster's name.
    #[prost(fixed64, tag = "2")]
    pub cluster: u64,
    /// The sender.
    #[prost(message, optional, tag = "3")]
    pub from: Option<Identity>,
    /// What it says.
    #[prost(oneof = "FrameBody", tags = "4, 5, 6, 7")]
    pub body: Option<FrameBody>,
}

/// What a frame says.
#[derive(Clone, PartialEq, Oneof)]
pub enum FrameBody {
    /// All members that the sender knows; the same comes back.
    #[prost(message, tag = "4")]
    Members(Members),
    /// Asks for what follows on this; generation 0: for all.
    #[prost(message, tag = "5")]
    Pull(Version),
    /// A list.
    #[prost(message, tag = "6")]
    Listing(Listing),
    /// Nothing to say.
    #[prost(message, tag = "7")]
    Nothing(Nothing),
}

/// Members.
#[derive(Clone, PartialEq, Message)]
pub struct Members {
    /// How each stands.
    #[prost(message, repeated, tag = "1")]
    pub states: Vec<MemberState>,
}

/// Nothing.
#[derive(Clone, PartialEq, Message)]
pub struct Nothing {}
