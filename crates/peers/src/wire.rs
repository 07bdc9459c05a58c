//! The messages between members, as in `proto/peers.proto`.

use prost::{Message, Oneof};

/// The format of packets and frames; those of another format are dropped.
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
    /// Its content.
    #[prost(oneof = "PacketBody", tags = "3, 4, 5, 6, 7, 8")]
    pub body: Option<PacketBody>,
}

/// The content of a datagram.
#[derive(Clone, PartialEq, Oneof)]
pub enum PacketBody {
    /// A message of the membership library.
    #[prost(bytes = "vec", tag = "3")]
    Swim(Vec<u8>),
    /// The version and the watchers that its sender knows.
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
    /// How often it has renewed its identity.
    #[prost(uint32, tag = "5")]
    pub renewal: u32,
    /// Its zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Its configured number.
    #[prost(uint32, tag = "7")]
    pub number: u32,
}

/// The header of a packet of the membership library.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub source: Option<Identity>,
    /// Its incarnation.
    #[prost(uint32, tag = "2")]
    pub incarnation: u32,
    /// The receiver.
    #[prost(message, optional, tag = "3")]
    pub destination: Option<Identity>,
    /// The kind of the message.
    #[prost(uint32, tag = "4")]
    pub kind: u32,
    /// The member that it is about.
    #[prost(message, optional, tag = "5")]
    pub about: Option<Identity>,
    /// The probe that it belongs to.
    #[prost(uint32, tag = "6")]
    pub probe: u32,
}

/// The state of a member.
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
    /// Whether its receiver is to relay it to the suspect.
    #[prost(bool, tag = "4")]
    pub through: bool,
}

/// A version of the host list.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Version {
    /// Incremented with each restart of the service; from 1 on.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The revision of the service.
    #[prost(uint64, tag = "2")]
    pub rev: u64,
    /// The sum of the hashes of its hosts.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
}

/// The version of a member's list, and the watchers that it knows.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<Identity>,
    /// Its version; none without a list.
    #[prost(message, optional, tag = "2")]
    pub version: Option<Version>,
    /// The age of the list: microseconds since a watcher last heard the service.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// The watchers.
    #[prost(message, repeated, tag = "4")]
    pub askers: Vec<Asker>,
    /// Whether it answers another digest.
    #[prost(bool, tag = "5")]
    pub answer: bool,
}

/// A member that watches the discovery service, or fails to.
#[derive(Clone, PartialEq, Message)]
pub struct Asker {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether its watch is open; else its requests fail.
    #[prost(bool, tag = "2")]
    pub open: bool,
    /// Microseconds since its report.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
}

/// A host.
#[derive(Clone, PartialEq, Message)]
pub struct Target {
    /// Its name.
    #[prost(string, tag = "1")]
    pub uid: String,
    /// Its address.
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
    /// Its relative capacity.
    #[prost(double, tag = "7")]
    pub capacity_hint: f64,
    /// When its process started, in milliseconds since 1970; 0: long ago.
    #[prost(double, tag = "8")]
    pub boot_ms: f64,
}

/// The changes from one version to another.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<Identity>,
    /// The version before.
    #[prost(message, optional, tag = "2")]
    pub before: Option<Version>,
    /// The version after.
    #[prost(message, optional, tag = "3")]
    pub after: Option<Version>,
    /// The age of the list: microseconds since a watcher last heard the service.
    #[prost(uint64, tag = "4")]
    pub age_us: u64,
    /// The changed hosts.
    #[prost(message, repeated, tag = "5")]
    pub targets: Vec<Target>,
}

/// A complete list, or the changes since the version of a pull.
#[derive(Clone, PartialEq, Message)]
pub struct Listing {
    /// The version before the changes; none for a complete list.
    #[prost(message, optional, tag = "1")]
    pub before: Option<Version>,
    /// The version after.
    #[prost(message, optional, tag = "2")]
    pub after: Option<Version>,
    /// The age of the list: microseconds since a watcher last heard the service.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// Its hosts.
    #[prost(message, repeated, tag = "4")]
    pub targets: Vec<Target>,
}

/// A request or a response over TCP.
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
    /// Its content.
    #[prost(oneof = "FrameBody", tags = "4, 5, 6, 7")]
    pub body: Option<FrameBody>,
}

/// The content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum FrameBody {
    /// All members that the sender knows; the response has those of the receiver.
    #[prost(message, tag = "4")]
    Members(Members),
    /// Pulls the changes since this version; with generation 0 the complete list.
    #[prost(message, tag = "5")]
    Pull(Version),
    /// A list.
    #[prost(message, tag = "6")]
    Listing(Listing),
    /// Nothing: the request cannot be answered otherwise.
    #[prost(message, tag = "7")]
    Nothing(Nothing),
}

/// Members.
#[derive(Clone, PartialEq, Message)]
pub struct Members {
    /// The state of each.
    #[prost(message, repeated, tag = "1")]
    pub states: Vec<MemberState>,
}

/// Nothing.
#[derive(Clone, PartialEq, Message)]
pub struct Nothing {}
