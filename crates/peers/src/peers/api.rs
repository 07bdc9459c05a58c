//! The settings, events, actions and statistics of [`Peers`](super::Peers).

use crate::Micros;
use crate::lists::{HostsUpdate, ListUpdate, ReloadReason};
use crate::member::Member;
use crate::member_count::Fleet;
use crate::membership;
use crate::wire::Version;
use std::net::SocketAddr;

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The identity of this member.
    pub me: Member,
    /// The name of the cluster; messages of other clusters are dropped.
    pub cluster: String,
    /// Addresses of members through which to join; one reachable seed is enough.
    pub seeds: Vec<SocketAddr>,
    /// The configured fleet size and index, used until the membership has settled.
    pub configured: Fleet,
    /// The number of members that watch the discovery service; at least two in each zone do.
    pub watchers: usize,
    /// The age of its list beyond which a member polls the discovery service itself.
    pub stale_after: Micros,
    /// The longest expected partition, during which failed members are still counted.
    pub longest_partition: Micros,
    /// The maximum number of other members that are stored at a time.
    pub max_members: usize,
}

/// An input of the state machine.
pub enum Event<'a> {
    /// A datagram has arrived.
    Datagram(&'a [u8]),
    /// The response to a request of this member, with the address that the request was sent to; `None` after a timeout.
    Response(SocketAddr, Option<&'a [u8]>),
    /// The discovery service has sent a complete list, or a change of it.
    ListUpdate(ListUpdate),
    /// This member's watch at the discovery service has been opened, and continues from the current version.
    WatchOpened,
    /// A keep-alive message has arrived on this member's watch.
    WatchKeepAlive,
    /// This member's request to the discovery service has failed, or its watch has ended.
    WatchClosed,
    /// A timer is due.
    Tick,
}

/// Whether and how this member opens a watch at the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// No watch: the list comes from the peers.
    Off,
    /// Open a watch immediately.
    Now,
    /// Open a watch at this member's time in a poll round, as without peers.
    Paced,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Send a request over TCP: one frame, which is answered with one frame.
    Request(SocketAddr, Vec<u8>),
    /// Update the hosts that the decision logic uses.
    UpdateHosts(HostsUpdate),
    /// Open or close the watch at the discovery service.
    Watch(WatchMode),
    /// Close the open watch and request the complete list.
    ReloadList(ReloadReason),
    /// Update the fleet that the decision logic uses.
    Fleet(Fleet),
    /// Report a change of a member.
    MemberChanged(membership::Change),
}

/// The number and total size of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCount {
    /// The number of datagrams.
    pub packets: u64,
    /// The total payload, in bytes.
    pub bytes: u64,
}

impl DatagramCount {
    /// Counts a datagram.
    pub(super) fn add(&mut self, datagram: &[u8]) {
        self.packets += 1;
        self.bytes += datagram.len() as u64;
    }
}

/// The endpoint list of a member, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostListStatus {
    /// The version of the list.
    pub version: Version,
    /// The number of hosts.
    pub hosts: usize,
    /// The time since a watcher last received a message from the discovery service.
    pub age: Micros,
}

/// The version of a member's identity and state, which only increases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// The start time of its process, in milliseconds since 1970.
    pub generation: u64,
    /// The number of identity renewals in this generation.
    pub renewal: u32,
    /// The SWIM incarnation of this identity.
    pub incarnation: u16,
}

/// Statistics for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statistics {
    /// The datagrams sent.
    pub sent: DatagramCount,
    /// The datagrams received, including dropped ones.
    pub received: DatagramCount,
    /// The number of requests sent over TCP.
    pub requests: u64,
    /// The number of requests without a response within the timeout.
    pub requests_failed: u64,
    /// The numbers of dropped messages: malformed, of another format, of another cluster, with too many members.
    pub dropped: [u64; 4],
    /// The number of conflicts between different lists of one revision, each resolved by requesting the complete list.
    pub conflicts: u64,
    /// The number of versions of the endpoint list that were applied.
    pub versions_applied: u64,
    /// The age of the last applied version when it was applied, in microseconds.
    pub applied_version_age: Micros,
}

/// The state of a member, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// The identity of the member.
    pub member: Member,
    /// The state: `alive`, `suspect` or `down`.
    pub state: &'static str,
    /// Whether its watch at the discovery service is open.
    pub watches: bool,
}
