//! The messages between members, as defined in `proto/peers.proto`.

use prost::{Message, Oneof};

/// The version of the message format; packets and frames of another format are dropped.
pub const FORMAT: u32 = 1;

/// A datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// The message format, [`FORMAT`].
    #[prost(fixed32, tag = "1")]
    pub format: u32,
    /// The hash of the cluster's name.
    #[prost(fixed64, tag = "2")]
    pub cluster: u64,
    /// The content.
    #[prost(oneof = "PacketBody", tags = "3, 4, 5, 6, 7, 8")]
    pub body: Option<PacketBody>,
}

/// The content of a datagram.
#[derive(Clone, PartialEq, Oneof)]
pub enum PacketBody {
    /// A message of the membership library (foca).
    #[prost(bytes = "vec", tag = "3")]
    Swim(Vec<u8>),
    /// The sender's list version and its reports about watchers.
    #[prost(message, tag = "4")]
    Digest(Digest),
    /// A change of the endpoint list.
    #[prost(message, tag = "5")]
    Change(Change),
    /// Notifies a member of a suspicion.
    #[prost(message, tag = "6")]
    Suspected(Suspected),
    /// The sender leaves the cluster.
    #[prost(message, tag = "7")]
    Leaving(Identity),
    /// The sender has just received a message from this member, which the receiver suspects.
    #[prost(message, tag = "8")]
    Heard(MemberState),
}

/// The identity of a member.
#[derive(Clone, PartialEq, Message)]
pub struct Identity {
    /// The member's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The IP address: 4 or 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub ip: Vec<u8>,
    /// The UDP and TCP port at [`Identity::ip`].
    #[prost(uint32, tag = "3")]
    pub port: u32,
    /// The start time of its process, in milliseconds since 1970.
    #[prost(fixed64, tag = "4")]
    pub generation: u64,
    /// The number of identity renewals in this generation.
    #[prost(uint32, tag = "5")]
    pub renewal: u32,
    /// The zone that the member runs in.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// The configured dispatcher number.
    #[prost(uint32, tag = "7")]
    pub number: u32,
}

/// The header of a message of the membership library.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub source: Option<Identity>,
    /// The incarnation of the sender.
    #[prost(uint32, tag = "2")]
    pub incarnation: u32,
    /// The receiver.
    #[prost(message, optional, tag = "3")]
    pub destination: Option<Identity>,
    /// The kind of the message, as encoded by [`Codec`](crate::codec::Codec).
    #[prost(uint32, tag = "4")]
    pub kind: u32,
    /// For indirect probes, the probed member or the originator of the probe.
    #[prost(message, optional, tag = "5")]
    pub about: Option<Identity>,
    /// The number of the probe that the message belongs to.
    #[prost(uint32, tag = "6")]
    pub probe: u32,
}

/// The state of a member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberState {
    /// The member's identity.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Identity>,
    /// The member's incarnation.
    #[prost(uint32, tag = "2")]
    pub incarnation: u32,
    /// 1 alive, 2 suspect, 3 down.
    #[prost(uint32, tag = "3")]
    pub state: u32,
}

/// A suspicion, sent to the suspect or to a relay.
#[derive(Clone, PartialEq, Message)]
pub struct Suspected {
    /// The member that suspects another, or the relay, which inserts its own identity.
    #[prost(message, optional, tag = "1")]
    pub by: Option<Identity>,
    /// The suspect.
    #[prost(message, optional, tag = "2")]
    pub member: Option<Identity>,
    /// The incarnation of the suspect that is suspected.
    #[prost(uint32, tag = "3")]
    pub incarnation: u32,
    /// Whether the receiver is to relay the suspicion to the suspect.
    #[prost(bool, tag = "4")]
    pub through: bool,
}

/// A version of the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Version {
    /// Starts at 1 and is incremented with each restart of the discovery service.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The revision of the list at the discovery service.
    #[prost(uint64, tag = "2")]
    pub rev: u64,
    /// The wrapping sum of the hashes of the hosts.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
}

/// The version of the sender's list, and its reports about watchers.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<Identity>,
    /// The version of the sender's list, if it has one that may be shared.
    #[prost(message, optional, tag = "2")]
    pub version: Option<Version>,
    /// The age of the list: microseconds since a watcher last received a message from the discovery service.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// The latest reports about members that watch the discovery service or fail to.
    #[prost(message, repeated, tag = "4")]
    pub askers: Vec<Asker>,
    /// Whether this digest answers another one.
    #[prost(bool, tag = "5")]
    pub answer: bool,
}

/// A member that watches the discovery service, or fails to.
#[derive(Clone, PartialEq, Message)]
pub struct Asker {
    /// The member's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether its watch is open; otherwise its requests fail.
    #[prost(bool, tag = "2")]
    pub open: bool,
    /// Microseconds since the member's report.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
}

/// A host on the endpoint list.
#[derive(Clone, PartialEq, Message)]
pub struct Target {
    /// The host's unique name.
    #[prost(string, tag = "1")]
    pub uid: String,
    /// The address for requests.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// The zone that the host runs in.
    #[prost(string, tag = "3")]
    pub az: String,
    /// The machine type.
    #[prost(string, tag = "4")]
    pub model: String,
    /// The cell that the host belongs to.
    #[prost(uint32, tag = "5")]
    pub pod_group: u32,
    /// 1 ready, 2 draining, 3 gone.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// The capacity relative to other hosts.
    #[prost(double, tag = "7")]
    pub capacity_hint: f64,
    /// The start time of its process, in milliseconds since 1970; 0 if it started long ago.
    #[prost(double, tag = "8")]
    pub boot_ms: f64,
}

/// The changes from one version of the list to the next.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<Identity>,
    /// The version before the change.
    #[prost(message, optional, tag = "2")]
    pub before: Option<Version>,
    /// The version after the change.
    #[prost(message, optional, tag = "3")]
    pub after: Option<Version>,
    /// The age of the list: microseconds since a watcher last received a message from the discovery service.
    #[prost(uint64, tag = "4")]
    pub age_us: u64,
    /// The changed hosts in their new state.
    #[prost(message, repeated, tag = "5")]
    pub targets: Vec<Target>,
}

/// A complete list, or the changes since the version of a pull.
#[derive(Clone, PartialEq, Message)]
pub struct Listing {
    /// The version before the changes; absent for a complete list.
    #[prost(message, optional, tag = "1")]
    pub before: Option<Version>,
    /// The version of the complete list, or after the changes.
    #[prost(message, optional, tag = "2")]
    pub after: Option<Version>,
    /// The age of the list: microseconds since a watcher last received a message from the discovery service.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// All hosts, or the changed ones.
    #[prost(message, repeated, tag = "4")]
    pub targets: Vec<Target>,
}

/// A request or a response over TCP.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The message format, [`FORMAT`].
    #[prost(fixed32, tag = "1")]
    pub format: u32,
    /// The hash of the cluster's name.
    #[prost(fixed64, tag = "2")]
    pub cluster: u64,
    /// The sender.
    #[prost(message, optional, tag = "3")]
    pub from: Option<Identity>,
    /// The content.
    #[prost(oneof = "FrameBody", tags = "4, 5, 6, 7")]
    pub body: Option<FrameBody>,
}

/// The content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum FrameBody {
    /// The member states that the sender has; the response has those of the receiver.
    #[prost(message, tag = "4")]
    Members(Members),
    /// Requests the changes since this version; generation 0 requests the complete list.
    #[prost(message, tag = "5")]
    Pull(Version),
    /// The response to a pull.
    #[prost(message, tag = "6")]
    Listing(Listing),
    /// An empty response, when there is no list to share or the request is unexpected.
    #[prost(message, tag = "7")]
    Nothing(Nothing),
}

/// The states of all members that the sender has.
#[derive(Clone, PartialEq, Message)]
pub struct Members {
    /// One state per member, including the sender.
    #[prost(message, repeated, tag = "1")]
    pub states: Vec<MemberState>,
}

/// An empty response.
#[derive(Clone, PartialEq, Message)]
pub struct Nothing {}
