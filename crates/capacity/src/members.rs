//! Hollow members: dispatchers that know one another (`crates/peers`) in simulated time, with the list service that the
//! askers among them call. Nothing is lost and nobody stops: faults are the ground of that crate's own tests.

use crate::listing;
use crate::{Micros, SECOND};
use oorandom::Rand64;
use roselock_peers::codec;
use roselock_peers::count::Fleet;
use roselock_peers::lists::News;
use roselock_peers::member::Member;
use roselock_peers::peers::{Action, Event, Peers, Settings, WatchMode};
use roselock_peers::wire::{FrameBody, PacketBody, Target};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// Members whose addresses are told to all.
const SEEDS: u32 = 3;
/// Members that keep the watch.
const ASKERS: usize = 6;
/// Zones of the members.
const ZONES: u32 = 10;
/// A datagram takes from 200 us to 1 ms, a frame three times as long.
const LEAST_WAY: u64 = 200;
const MOST_WAY: u64 = 1_000;
/// A call to the list service, and a word of an open watch.
const CALL: Micros = 5_000;
const BEAT: Micros = 2 * SECOND;
/// A cut that is reckoned with.
const HEAL: Micros = 300 * SECOND;
const STALE: Micros = 10 * SECOND;
const MOST_MEMBERS: usize = 8_192;
/// The members' cluster.
const CLUSTER: &str = "capacity";
/// Bytes of a frame's length.
const LENGTH: usize = 4;

enum Happens {
    Wake(usize, u64),
    Datagram(usize, Vec<u8>),
    Asked { from: usize, to: usize, frame: Vec<u8> },
    Answer { to: usize, at: SocketAddr, answer: Option<Vec<u8>> },
    Called(usize),
    Changed(usize, News),
    Beat,
}

struct Hollow {
    peers: Peers,
    wake: u64,
    watches: bool,
    started: Micros,
    listed: Option<Micros>,
    told: Option<(u64, Micros)>,
    frame_bytes: u64,
}

/// What all members have sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams.
    pub packets: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bytes of the datagrams among them that carry a change of the list.
    pub change_bytes: u64,
    /// Bytes of answers over TCP.
    pub frame_bytes: u64,
    /// Most bytes, both ways, of an exchange of all members that one knows.
    pub largest_exchange: u64,
}

/// The members, their service and their time.
pub struct Members {
    now: Micros,
    count: u32,
    members: Vec<Hollow>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    pending: Vec<Option<Happens>>,
    free: Vec<usize>,
    made: u64,
    random: Rand64,
    service: Vec<Target>,
    rev: u64,
    changed: Micros,
    largest_exchange: u64,
    change_bytes: u64,
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (member >> 8) as u8, member as u8], 7_000))
}

/// Whether a datagram carries a change of the list.
fn is_change(packet: &[u8]) -> bool {
    matches!(codec::decode_packet(codec::cluster_hash(CLUSTER), packet), Ok(PacketBody::Change(_)))
}

/// Whether a frame asks for all members, and tells all.
fn is_exchange(frame: &[u8]) -> bool {
    let said = codec::decode_frame(codec::cluster_hash(CLUSTER), frame);
    matches!(said, Ok((_, FrameBody::Members(_))))
}

fn number(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(at) => {
            let [_, _, high, low] = at.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Members {
    /// A list service with so many workers, for so many members, of which none has started.
    pub fn new(count: u32, workers: u32, seed: u64) -> Members {
        let mut members = Members {
            now: 0,
            count,
            members: Vec::new(),
            queue: BinaryHeap::new(),
            pending: Vec::new(),
            free: Vec::new(),
            made: 0,
            random: Rand64::new(u128::from(seed)),
            service: (0..workers).map(listing::target).collect(),
            rev: 1,
            changed: 0,
            largest_exchange: 0,
            change_bytes: 0,
        };
        members.put(BEAT, Happens::Beat);
        members
    }

    /// The next member starts.
    pub fn start(&mut self) {
        let me = self.members.len();
        let seed = self.random.rand_u64();
        let peers = Peers::new(self.settings(me), seed, self.now);
        let (now, listed, told) = (self.now, None, None);
        self.members.push(Hollow {
            peers,
            wake: 0,
            watches: false,
            started: now,
            listed,
            told,
            frame_bytes: 0,
        });
        self.wake(me);
    }

    /// All members start within a second.
    pub fn start_all(&mut self) {
        for member in 0..self.count {
            self.run_until(self.now.max(i64::from(member) * SECOND / i64::from(self.count)));
            self.start();
        }
    }

    fn settings(&self, me: usize) -> Settings {
        let told = Fleet { size: self.count, me: me as u32 };
        let life = 1 + self.now as u64 / 1_000;
        let zone = format!("zone-{}", me as u32 % ZONES);
        let name = format!("dispatcher-{me:04}");
        Settings {
            me: Member {
                name: name.as_str().into(),
                address: address(me),
                generation: life,
                renewal: 0,
                zone: zone.as_str().into(),
                number: me as u32,
            },
            cluster: CLUSTER.into(),
            seeds: (0..SEEDS.min(self.count)).map(|seed| address(seed as usize)).collect(),
            configured: told,
            askers: ASKERS,
            stale_after: STALE,
            heal: HEAL,
            max_members: MOST_MEMBERS,
        }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// What was sent so far.
    pub fn traffic(&self) -> Traffic {
        let mut traffic = Traffic {
            change_bytes: self.change_bytes,
            largest_exchange: self.largest_exchange,
            ..Traffic::default()
        };
        for member in &self.members {
            let (packets, bytes) = member.peers.figures().sent;
            traffic.packets += packets;
            traffic.bytes += bytes;
            traffic.frame_bytes += member.frame_bytes;
        }
        traffic
    }

    /// From the start of each member to its first list, sorted; none while one has no list.
    pub fn listed_after(&self) -> Option<Vec<Micros>> {
        let after = |member: &Hollow| member.listed.map(|at| at - member.started);
        let mut all = self.members.iter().map(after).collect::<Option<Vec<Micros>>>()?;
        all.sort_unstable();
        Some(all)
    }

    /// From the latest change to the word of it at each member, sorted; none while one has not heard.
    pub fn told_after(&self) -> Option<Vec<Micros>> {
        let told = |member: &Hollow| member.told.filter(|t| t.0 == self.rev).map(|t| t.1 - self.changed);
        let mut all = self.members.iter().map(told).collect::<Option<Vec<Micros>>>()?;
        all.sort_unstable();
        Some(all)
    }

    /// Whether all know all.
    pub fn all_know_all(&self) -> bool {
        self.members.iter().all(|member| member.peers.live().len() + 1 == self.members.len())
    }

    /// One worker is drained: the service tells those that keep the watch.
    pub fn change(&mut self, worker: u32) {
        (self.rev, self.changed) = (self.rev + 1, self.now);
        let target = &mut self.service[worker as usize];
        target.state = 2;
        let news = News { whole: false, rev: self.rev, targets: vec![target.clone()], asked: 0 };
        for member in 0..self.members.len() {
            if self.members[member].watches {
                let at = self.now + self.way();
                self.put(at, Happens::Changed(member, news.clone()));
            }
        }
    }

    /// Lets time pass until then.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied().filter(|next| next.0.0 <= until) {
            self.queue.pop();
            self.free.push(slot);
            self.now = self.now.max(at);
            if let Some(happens) = self.pending[slot].take() {
                self.happen(happens);
            }
        }
        self.now = self.now.max(until);
    }

    fn way(&mut self) -> Micros {
        self.random.rand_range(LEAST_WAY..MOST_WAY) as Micros
    }

    fn put(&mut self, at: Micros, happens: Happens) {
        self.made += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.pending.push(None);
            self.pending.len() - 1
        });
        self.pending[slot] = Some(happens);
        self.queue.push(Reverse((at, self.made, slot)));
    }

    fn wake(&mut self, member: usize) {
        let hollow = &mut self.members[member];
        hollow.wake += 1;
        let (at, wake) = (hollow.peers.next_deadline(), hollow.wake);
        self.put(at.max(self.now), Happens::Wake(member, wake));
    }

    fn give(&mut self, member: usize, event: Event) {
        let mut acts = Vec::new();
        let peers = &mut self.members[member].peers;
        let due = peers.next_deadline();
        peers.handle(self.now, event, &mut acts);
        let moved = peers.next_deadline() != due;
        acts.into_iter().for_each(|act| self.perform(member, act));
        if moved {
            self.wake(member);
        }
    }

    fn perform(&mut self, member: usize, act: Action) {
        match act {
            Action::Send(to, packet) => {
                let (to, at) = (number(to), self.now + self.way());
                // Nothing changes but by a call here: before it, no packet need be looked at.
                if self.rev > 1 && is_change(&packet) {
                    self.change_bytes += packet.len() as u64;
                }
                if to < self.members.len() {
                    self.put(at, Happens::Datagram(to, packet));
                }
            }
            Action::Request(to, frame) => self.question(member, to, &frame),
            Action::UpdateHosts(..) => self.tell(member),
            Action::Watch(ask) => self.ask(member, ask),
            Action::ReloadList(_) => {
                self.members[member].watches = false;
                self.put(self.now + CALL, Happens::Called(member));
            }
            Action::Fleet(_) | Action::MemberChanged(_) => {}
        }
    }

    fn question(&mut self, from: usize, at: SocketAddr, frame: &[u8]) {
        let to = number(at);
        let when = self.now + 3 * self.way();
        if to < self.members.len() {
            self.put(when, Happens::Asked { from, to, frame: frame[LENGTH..].to_vec() });
        } else {
            self.put(when, Happens::Answer { to: from, at, answer: None });
        }
    }

    fn tell(&mut self, member: usize) {
        let now = self.now;
        let hollow = &mut self.members[member];
        hollow.listed.get_or_insert(now);
        let rev = hollow.peers.list(now).map_or(0, |list| list.0.rev);
        if hollow.told.is_none_or(|told| told.0 != rev) {
            hollow.told = Some((rev, now));
        }
    }

    fn ask(&mut self, member: usize, ask: WatchMode) {
        let watches = self.members[member].watches;
        match ask {
            WatchMode::Off if watches => {
                self.members[member].watches = false;
                self.give(member, Event::WatchClosed);
            }
            WatchMode::Now | WatchMode::Paced if !watches => {
                self.put(self.now + CALL, Happens::Called(member))
            }
            WatchMode::Off | WatchMode::Now | WatchMode::Paced => {}
        }
    }

    fn happen(&mut self, happens: Happens) {
        match happens {
            Happens::Wake(member, wake) => {
                if self.members[member].wake == wake {
                    self.give(member, Event::Tick);
                    self.wake(member);
                }
            }
            Happens::Datagram(to, packet) => self.give(to, Event::Datagram(&packet)),
            Happens::Asked { from, to, frame } => self.asked(from, to, &frame),
            Happens::Answer { to, at, answer } => self.give(to, Event::Response(at, answer.as_deref())),
            Happens::Called(member) => {
                self.members[member].watches = true;
                let (rev, targets, asked) = (self.rev, self.service.clone(), self.now - CALL);
                self.give(member, Event::ListNews(News { whole: true, rev, targets, asked }));
            }
            Happens::Changed(member, news) => {
                if self.members[member].watches {
                    self.give(member, Event::ListNews(news));
                }
            }
            Happens::Beat => {
                let watching: Vec<usize> =
                    (0..self.members.len()).filter(|member| self.members[*member].watches).collect();
                watching.into_iter().for_each(|member| self.give(member, Event::WatchAlive));
                self.put(self.now + BEAT, Happens::Beat);
            }
        }
    }

    fn asked(&mut self, from: usize, to: usize, frame: &[u8]) {
        let mut acts = Vec::new();
        let answer = self.members[to].peers.handle_request(self.now, frame, &mut acts);
        let answered = answer.as_ref().map_or(0, Vec::len) as u64;
        self.members[to].frame_bytes += answered;
        if is_exchange(frame) {
            let exchanged = (LENGTH + frame.len()) as u64 + answered;
            self.largest_exchange = self.largest_exchange.max(exchanged);
        }
        acts.into_iter().for_each(|act| self.perform(to, act));
        let (at, when) = (address(to), self.now + 3 * self.way());
        let answer = answer.map(|whole| whole[LENGTH..].to_vec());
        self.put(when, Happens::Answer { to: from, at, answer });
    }
}
