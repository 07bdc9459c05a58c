//! The settings, events, actions and figures of [`Peers`](super::Peers).

use crate::Micros;
use crate::lists::{HostsUpdate, ListUpdate, ReloadReason};
use crate::member::Member;
use crate::member_count::Fleet;
use crate::membership;
use crate::wire::Version;
use std::net::SocketAddr;

/// The settings of an installation.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This member.
    pub me: Member,
    /// The cluster's name.
    pub cluster: String,
    /// Addresses of members through which to join; one that answers is enough.
    pub seeds: Vec<SocketAddr>,
    /// The configured fleet.
    pub configured: Fleet,
    /// How many members watch the discovery service; at least two in each zone.
    pub watchers: usize,
    /// A member whose list is older than this polls the discovery service itself.
    pub stale_after: Micros,
    /// The longest expected partition: for so long failed members still count.
    pub longest_partition: Micros,
    /// The limit of the members that are known at a time.
    pub max_members: usize,
}

/// An input of a member.
pub enum Event<'a> {
    /// A datagram.
    Datagram(&'a [u8]),
    /// The response to a request of ours, by the address that it was sent to; none after a time-out.
    Response(SocketAddr, Option<&'a [u8]>),
    /// The discovery service has sent a list, or a change of it.
    ListUpdate(ListUpdate),
    /// Our watch at the discovery service is open, and continues from the current version.
    WatchOpened,
    /// A keep-alive of our watch.
    WatchAlive,
    /// Our request failed, or our watch ended.
    WatchClosed,
    /// Time has passed.
    Tick,
}

/// Whether this member watches the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// No: the list comes from the peers.
    Off,
    /// Yes, at once.
    Now,
    /// Yes, but paced as without peers: at the time of this member in a poll round.
    Paced,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Send a request over TCP: one frame, which is answered by one frame.
    Request(SocketAddr, Vec<u8>),
    /// Update the hosts of the decisions.
    UpdateHosts(HostsUpdate),
    /// Open or close the watch at the discovery service.
    Watch(WatchMode),
    /// Close the open watch, and request the complete list.
    ReloadList(ReloadReason),
    /// Notify the decisions of the fleet.
    Fleet(Fleet),
    /// A member has changed.
    MemberChanged(membership::Change),
}

/// A count of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCount {
    /// Their number.
    pub packets: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl DatagramCount {
    /// Adds a datagram.
    pub(super) fn add(&mut self, datagram: &[u8]) {
        self.packets += 1;
        self.bytes += datagram.len() as u64;
    }
}

/// The host list of a member, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostListStatus {
    /// Its version.
    pub version: Version,
    /// The number of hosts.
    pub hosts: usize,
    /// Its age.
    pub age: Micros,
}

/// The identity under which a member is known: it only increases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// When its process started, in milliseconds since 1970.
    pub generation: u64,
    /// How often it has renewed its identity in this generation.
    pub renewal: u32,
    /// The SWIM incarnation of this identity.
    pub incarnation: u16,
}

/// Counters for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Datagrams sent.
    pub sent: DatagramCount,
    /// Datagrams received.
    pub received: DatagramCount,
    /// Requests sent over TCP.
    pub requests: u64,
    /// Requests without a response in time.
    pub requests_failed: u64,
    /// Dropped: malformed, of another format, of another cluster, naming too many members.
    pub dropped: [u64; 4],
    /// Versions that were seen with different hosts, after which the complete list was requested.
    pub conflicts: u64,
    /// Versions of the host list that were applied.
    pub versions: u64,
    /// The age of the latest of them when it was applied, in microseconds.
    pub age: Micros,
}

/// The state of a member, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// The member.
    pub member: Member,
    /// `alive`, `suspect` or `down`.
    pub state: &'static str,
    /// Whether it watches the discovery service.
    pub watches: bool,
}
