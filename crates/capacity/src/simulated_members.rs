//! Simulates dispatchers as members of one cluster (`crates/peers`), with the discovery service that some of them watch. No
//! message is lost and no member stops: the tests of that crate cover faults.

use crate::payloads;
use crate::{Micros, SECOND};
use oorandom::Rand64;
use roselock_peers::codec;
use roselock_peers::lists::ListUpdate;
use roselock_peers::member::Member;
use roselock_peers::member_count::Fleet;
use roselock_peers::peers::{Action, Event, Peers, Settings, WatchMode};
use roselock_peers::wire::{FrameBody, PacketBody, Target};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// The number of members whose addresses are configured as seeds.
const SEED_MEMBERS: u32 = 3;
/// The number of members that watch the discovery service.
const WATCHERS: usize = 6;
/// The number of zones.
const ZONE_COUNT: u32 = 10;
/// The shortest delay of a datagram, in microseconds; that of a TCP frame is three times as long.
const MIN_DELAY_US: u64 = 200;
/// The upper bound of the delay of a datagram, in microseconds.
const MAX_DELAY_US: u64 = 1_000;
/// The duration of a request to the discovery service.
const CALL_DURATION: Micros = 5_000;
/// The interval between two heartbeats of an open watch.
const HEARTBEAT_INTERVAL: Micros = 2 * SECOND;
/// The longest partition after which members still count as alive.
const LONGEST_PARTITION: Micros = 300 * SECOND;
/// The age at which an endpoint list is stale.
const STALE_AFTER: Micros = 10 * SECOND;
/// The largest number of members.
const MAX_MEMBERS: usize = 8_192;
/// The name of the cluster.
const CLUSTER: &str = "capacity";
/// The size of the length prefix of a frame.
const FRAME_LENGTH_BYTES: usize = 4;

/// An event at a point in simulated time; members are identified by their index.
enum ScheduledEvent {
    /// The timer of a member, with its generation; ignored if the member has set a later timer.
    TimerFired(usize, u64),
    Datagram(usize, Vec<u8>),
    RequestArrived {
        from: usize,
        to: usize,
        frame: Vec<u8>,
    },
    ResponseArrived {
        to: usize,
        address: SocketAddr,
        answer: Option<Vec<u8>>,
    },
    ListReceived(usize),
    WatchEvent(usize, ListUpdate),
    Heartbeat,
}

struct SimulatedMember {
    peers: Peers,
    /// The generation of the latest timer.
    timer_generation: u64,
    is_watching: bool,
    started_at: Micros,
    list_received_at: Option<Micros>,
    /// The latest received version of the endpoint list.
    latest_version: Option<ReceivedVersion>,
    frame_bytes: u64,
}

/// The version of an endpoint list, and arrives_at a member received it.
#[derive(Clone, Copy)]
struct ReceivedVersion {
    version: u64,
    at: Micros,
}

/// Traffic of all members since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub packets: u64,
    /// Bytes of the datagrams.
    pub bytes: u64,
    /// Bytes of the datagrams that carry a change of the endpoint list.
    pub change_bytes: u64,
    /// Bytes of responses over TCP.
    pub frame_bytes: u64,
    /// Bytes of the largest exchange of membership lists, in both directions together.
    pub max_exchange_bytes: u64,
}

/// The members, their discovery service and the simulated time.
pub struct SimulatedMembers {
    now: Micros,
    count: u32,
    members: Vec<SimulatedMember>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    pending: Vec<Option<ScheduledEvent>>,
    free_slots: Vec<usize>,
    scheduled_count: u64,
    random: Rand64,
    endpoints: Vec<Target>,
    version: u64,
    changed_at: Micros,
    max_exchange_bytes: u64,
    change_bytes: u64,
}

/// The address of the member with this index.
fn member_address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (member >> 8) as u8, member as u8], 7_000))
}

/// Whether a datagram carries a change of the endpoint list.
fn is_change(packet: &[u8]) -> bool {
    matches!(codec::decode_packet(codec::cluster_hash(CLUSTER), packet), Ok(PacketBody::Change(_)))
}

/// Whether a frame carries a membership list.
fn is_membership_exchange(frame: &[u8]) -> bool {
    let decoded = codec::decode_frame(codec::cluster_hash(CLUSTER), frame);
    matches!(decoded, Ok((_, FrameBody::Members(_))))
}

/// The index of the member with this address.
fn member_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl SimulatedMembers {
    /// A discovery service with `workers` workers for `count` members, none of which has started.
    pub fn new(count: u32, workers: u32, seed: u64) -> SimulatedMembers {
        let mut members = SimulatedMembers {
            now: 0,
            count,
            members: Vec::new(),
            queue: BinaryHeap::new(),
            pending: Vec::new(),
            free_slots: Vec::new(),
            scheduled_count: 0,
            random: Rand64::new(u128::from(seed)),
            endpoints: (0..workers).map(payloads::peer_target).collect(),
            version: 1,
            changed_at: 0,
            max_exchange_bytes: 0,
            change_bytes: 0,
        };
        members.schedule(HEARTBEAT_INTERVAL, ScheduledEvent::Heartbeat);
        members
    }

    /// Starts the next member.
    pub fn start_member(&mut self) {
        let index = self.members.len();
        let seed = self.random.rand_u64();
        let peers = Peers::new(self.settings(index), seed, self.now);
        self.members.push(SimulatedMember {
            peers,
            timer_generation: 0,
            is_watching: false,
            started_at: self.now,
            list_received_at: None,
            latest_version: None,
            frame_bytes: 0,
        });
        self.schedule_timer(index);
    }

    /// Starts all members, evenly distributed over one second.
    pub fn start_all_members(&mut self) {
        for member in 0..self.count {
            self.run_until(self.now.max(i64::from(member) * SECOND / i64::from(self.count)));
            self.start_member();
        }
    }

    fn settings(&self, index: usize) -> Settings {
        let generation = 1 + self.now as u64 / 1_000;
        let zone = format!("zone-{}", index as u32 % ZONE_COUNT);
        let name = format!("dispatcher-{index:04}");
        Settings {
            me: Member {
                name: name.as_str().into(),
                address: member_address(index),
                generation,
                renewal: 0,
                zone: zone.as_str().into(),
                number: index as u32,
            },
            cluster: CLUSTER.into(),
            seeds: (0..SEED_MEMBERS.min(self.count)).map(|seed| member_address(seed as usize)).collect(),
            configured: Fleet { size: self.count, index: index as u32 },
            watchers: WATCHERS,
            stale_after: STALE_AFTER,
            longest_partition: LONGEST_PARTITION,
            max_members: MAX_MEMBERS,
        }
    }

    /// The simulated time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The traffic since the start.
    pub fn traffic(&self) -> Traffic {
        let mut traffic = Traffic {
            change_bytes: self.change_bytes,
            max_exchange_bytes: self.max_exchange_bytes,
            ..Traffic::default()
        };
        for member in &self.members {
            let sent = member.peers.statistics().sent;
            traffic.packets += sent.packets;
            traffic.bytes += sent.bytes;
            traffic.frame_bytes += member.frame_bytes;
        }
        traffic
    }

    /// The times from the start of each member to its first endpoint list, sorted; none while a member has no list.
    pub fn list_delays(&self) -> Option<Vec<Micros>> {
        let delay = |member: &SimulatedMember| member.list_received_at.map(|at| at - member.started_at);
        let mut delays = self.members.iter().map(delay).collect::<Option<Vec<Micros>>>()?;
        delays.sort_unstable();
        Some(delays)
    }

    /// The times from the latest change to its arrival at each member, sorted; none until all members have received it.
    pub fn notification_delays(&self) -> Option<Vec<Micros>> {
        let delay = |member: &SimulatedMember| {
            let latest = member.latest_version.filter(|received| received.version == self.version)?;
            Some(latest.at - self.changed_at)
        };
        let mut delays = self.members.iter().map(delay).collect::<Option<Vec<Micros>>>()?;
        delays.sort_unstable();
        Some(delays)
    }

    /// Whether each member sees all others as alive.
    pub fn all_members_connected(&self) -> bool {
        self.members.iter().all(|member| member.peers.live().len() + 1 == self.members.len())
    }

    /// Drains one worker; the discovery service notifies its watchers.
    pub fn drain_worker(&mut self, worker: u32) {
        self.version += 1;
        self.changed_at = self.now;
        let target = &mut self.endpoints[worker as usize];
        target.state = 2;
        let update =
            ListUpdate { complete: false, rev: self.version, targets: vec![target.clone()], requested_at: 0 };
        for member in 0..self.members.len() {
            if self.members[member].is_watching {
                let at = self.now + self.random_delay();
                self.schedule(at, ScheduledEvent::WatchEvent(member, update.clone()));
            }
        }
    }

    /// Advances the simulated time to this point.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied().filter(|next| next.0.0 <= until) {
            self.queue.pop();
            self.free_slots.push(slot);
            self.now = self.now.max(at);
            if let Some(event) = self.pending[slot].take() {
                self.handle(event);
            }
        }
        self.now = self.now.max(until);
    }

    fn random_delay(&mut self) -> Micros {
        self.random.rand_range(MIN_DELAY_US..MAX_DELAY_US) as Micros
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.scheduled_count += 1;
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.pending.push(None);
            self.pending.len() - 1
        });
        self.pending[slot] = Some(event);
        self.queue.push(Reverse((at, self.scheduled_count, slot)));
    }

    /// Schedules the timer of a member at its next deadline, which replaces earlier timers.
    fn schedule_timer(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.timer_generation += 1;
        let generation = member.timer_generation;
        let deadline = member.peers.next_deadline();
        self.schedule(deadline.max(self.now), ScheduledEvent::TimerFired(index, generation));
    }

    /// Passes an event to a member and performs its actions.
    fn handle_event(&mut self, member: usize, event: Event) {
        let mut actions = Vec::new();
        let peers = &mut self.members[member].peers;
        let deadline = peers.next_deadline();
        peers.handle(self.now, event, &mut actions);
        let deadline_changed = peers.next_deadline() != deadline;
        for action in actions {
            self.perform(member, action);
        }
        if deadline_changed {
            self.schedule_timer(member);
        }
    }

    fn perform(&mut self, member: usize, action: Action) {
        match action {
            Action::Send(to, packet) => {
                let to = member_index(to);
                let at = self.now + self.random_delay();
                // The list changes only through `drain_worker`: before that no packet needs decoding.
                if self.version > 1 && is_change(&packet) {
                    self.change_bytes += packet.len() as u64;
                }
                if to < self.members.len() {
                    self.schedule(at, ScheduledEvent::Datagram(to, packet));
                }
            }
            Action::Request(to, frame) => self.send_request(member, to, &frame),
            Action::UpdateHosts(..) => self.record_list(member),
            Action::Watch(mode) => self.set_watch_mode(member, mode),
            Action::ReloadList(_) => {
                self.members[member].is_watching = false;
                self.schedule(self.now + CALL_DURATION, ScheduledEvent::ListReceived(member));
            }
            Action::Fleet(_) | Action::MemberChanged(_) => {}
        }
    }

    fn send_request(&mut self, from: usize, address: SocketAddr, frame: &[u8]) {
        let to = member_index(address);
        let arrives_at = self.now + 3 * self.random_delay();
        if to < self.members.len() {
            self.schedule(
                arrives_at,
                ScheduledEvent::RequestArrived { from, to, frame: frame[FRAME_LENGTH_BYTES..].to_vec() },
            );
        } else {
            self.schedule(arrives_at, ScheduledEvent::ResponseArrived { to: from, address, answer: None });
        }
    }

    /// Records that a member has a new endpoint list.
    fn record_list(&mut self, member: usize) {
        let now = self.now;
        let member = &mut self.members[member];
        member.list_received_at.get_or_insert(now);
        let version = member.peers.list(now).map_or(0, |list| list.version.rev);
        if member.latest_version.is_none_or(|received| received.version != version) {
            member.latest_version = Some(ReceivedVersion { version, at: now });
        }
    }

    fn set_watch_mode(&mut self, member: usize, mode: WatchMode) {
        let watching = self.members[member].is_watching;
        match mode {
            WatchMode::Off if watching => {
                self.members[member].is_watching = false;
                self.handle_event(member, Event::WatchClosed);
            }
            WatchMode::Now | WatchMode::Paced if !watching => {
                self.schedule(self.now + CALL_DURATION, ScheduledEvent::ListReceived(member))
            }
            WatchMode::Off | WatchMode::Now | WatchMode::Paced => {}
        }
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::TimerFired(member, generation) => {
                if self.members[member].timer_generation == generation {
                    self.handle_event(member, Event::Tick);
                    self.schedule_timer(member);
                }
            }
            ScheduledEvent::Datagram(to, packet) => self.handle_event(to, Event::Datagram(&packet)),
            ScheduledEvent::RequestArrived { from, to, frame } => self.request_arrived(from, to, &frame),
            ScheduledEvent::ResponseArrived { to, address, answer } => {
                self.handle_event(to, Event::Response(address, answer.as_deref()))
            }
            ScheduledEvent::ListReceived(member) => {
                self.members[member].is_watching = true;
                let call_started_at = self.now - CALL_DURATION;
                let update = ListUpdate {
                    complete: true,
                    rev: self.version,
                    targets: self.endpoints.clone(),
                    requested_at: call_started_at,
                };
                self.handle_event(member, Event::ListUpdate(update));
            }
            ScheduledEvent::WatchEvent(member, update) => {
                if self.members[member].is_watching {
                    self.handle_event(member, Event::ListUpdate(update));
                }
            }
            ScheduledEvent::Heartbeat => {
                let watching: Vec<usize> =
                    (0..self.members.len()).filter(|member| self.members[*member].is_watching).collect();
                for member in watching {
                    self.handle_event(member, Event::WatchKeepAlive);
                }
                self.schedule(self.now + HEARTBEAT_INTERVAL, ScheduledEvent::Heartbeat);
            }
        }
    }

    fn request_arrived(&mut self, from: usize, to: usize, frame: &[u8]) {
        let mut actions = Vec::new();
        let answer = self.members[to].peers.handle_request(self.now, frame, &mut actions);
        let answer_bytes = answer.as_ref().map_or(0, Vec::len) as u64;
        self.members[to].frame_bytes += answer_bytes;
        if is_membership_exchange(frame) {
            let exchange_bytes = (FRAME_LENGTH_BYTES + frame.len()) as u64 + answer_bytes;
            self.max_exchange_bytes = self.max_exchange_bytes.max(exchange_bytes);
        }
        for action in actions {
            self.perform(to, action);
        }
        let address = member_address(to);
        let arrives_at = self.now + 3 * self.random_delay();
        let answer = answer.map(|frame| frame[FRAME_LENGTH_BYTES..].to_vec());
        self.schedule(arrives_at, ScheduledEvent::ResponseArrived { to: from, address, answer });
    }
}
