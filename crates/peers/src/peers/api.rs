//! What goes into and comes out of [`Peers`](super::Peers).

use crate::Micros;
use crate::count::Fleet;
use crate::lists::{News, ReloadReason};
use crate::member::Member;
use crate::membership;
use crate::wire::Target;
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
    /// How many dispatchers the decisions were configured with.
    pub configured: Fleet,
    /// How many members keep a watch at the list service; at least two in each zone.
    pub askers: usize,
    /// A member whose list is older than this asks the list service itself.
    pub stale_after: Micros,
    /// The longest partition that is expected: for so long failed members are still counted.
    pub heal: Micros,
    /// Most members that are known at a time.
    pub max_members: usize,
}

/// Something that came in, or time that passed.
pub enum Event<'a> {
    /// A datagram.
    Datagram(&'a [u8]),
    /// The response to a request of ours, by the address that it went to; none if none came in time.
    Response(SocketAddr, Option<&'a [u8]>),
    /// The list service has sent a list, or a change of it.
    ListNews(News),
    /// Our watch at the list service is open, and goes on from the version that is held.
    WatchOpened,
    /// A keep-alive of our watch.
    WatchAlive,
    /// Our call failed, or our watch ended.
    WatchClosed,
    /// Time has passed.
    Tick,
}

/// Whether this member keeps a watch at the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// No: the peers pass the list on.
    Off,
    /// Yes, at once.
    Now,
    /// Yes, but paced as without peers: at this member's place in a round.
    Paced,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Send a request over TCP: one frame, which is answered by one frame.
    Request(SocketAddr, Vec<u8>),
    /// Update the decisions' hosts: whether the list is complete, its lines, and how long ago the service spoke.
    UpdateHosts(bool, Vec<Target>, Micros),
    /// Keep a watch at the list service, or not.
    Watch(WatchMode),
    /// End the open watch, and ask for the complete list.
    ReloadList(ReloadReason),
    /// Tell the decisions how many dispatchers there are.
    Fleet(Fleet),
    /// Who is a member has changed.
    MemberChanged(membership::Change),
}

/// Figures for staff.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams received, and their bytes.
    pub received: (u64, u64),
    /// Requests sent, and those of them without a response.
    pub requests: (u64, u64),
    /// Dropped: malformed, of another format, of another cluster, naming too many members.
    pub dropped: [u64; 4],
    /// Versions that were seen with different lines, for which the list was asked for anew.
    pub conflicts: u64,
    /// Versions of the host list taken in.
    pub versions: u64,
    /// Age of the latest of them when it came, in microseconds.
    pub age: Micros,
}

/// One member's state, for staff.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// The member.
    pub member: Member,
    /// `alive`, `suspect` or `down`.
    pub state: &'static str,
    /// It keeps a watch at the list service.
    pub watches: bool,
}
