//! A simulation of many members, determined by its seed. Packets are delayed, lost or blocked by partitions; members stop,
//! continue, fail and restart, and their clocks run at different rates; the discovery service serves one call at a time.
#![allow(dead_code)]

mod play;

use compact_str::CompactString;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use roselock_peers::lists::ListUpdate;
use roselock_peers::member::Member;
use roselock_peers::member_count::Fleet;
use roselock_peers::membership::Change;
use roselock_peers::peers::{Event, Incarnation, Peers, Settings, WatchMode};
use roselock_peers::wire::Target;
use roselock_peers::{Micros, SECOND};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// The receive buffer of a stopped member, in packets.
const SOCKET_PACKETS: usize = 256;
/// The time that a call occupies the discovery service.
const CALL_DURATION: Micros = 5_000;
/// The length of a poll round without peers, per member.
const POLL_ROUND_PER_MEMBER: Micros = 20_000;

enum Occurrence {
    TimerFired(usize, u64),
    Packet(usize, Vec<u8>),
    RequestArrived { from: usize, to: usize, frame: Vec<u8> },
    ResponseArrived { to: usize, at: SocketAddr, answer: Option<Vec<u8>> },
    CallStarted(usize, u64),
    CallEnded(usize, u64, bool),
    ListChange(usize, u64, ListUpdate),
    Heartbeat,
    CheckIncarnations,
}

pub struct Node {
    pub peers: Option<Peers>,
    pub zone: usize,
    /// The rate of its clock.
    pub rate: f64,
    pub stopped: bool,
    socket: VecDeque<Vec<u8>>,
    generation: u64,
    wake: u64,
    /// Its watch at the discovery service: the wanted mode, the number of the latest call, and whether the watch is open.
    watch_mode: WatchMode,
    call: u64,
    watch_open: bool,
    called_at: Micros,
    /// When it received its first list since its start, and the latest revision with its time.
    pub first_list_at: Option<Micros>,
    pub rev: u64,
    pub rev_at: Micros,
    pub started_at: Micros,
    pub fleet: Fleet,
    pub changes: Vec<(Micros, Change)>,
}

pub type Rule = Box<dyn Fn(usize, usize) -> bool>;

pub struct World {
    pub now: Micros,
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    pending: Vec<Option<Occurrence>>,
    free_slots: Vec<usize>,
    scheduled_count: u64,
    pub random: Xoshiro256PlusPlus,
    pub loss: f64,
    /// Whether packets of one member reach another.
    pub link_works: Rule,
    /// Whether a member reaches the discovery service.
    pub reaches_service: Box<dyn Fn(usize) -> bool>,
    pub service_hosts: BTreeMap<String, Target>,
    pub rev: u64,
    service_free_at: Micros,
    pub calls: usize,
    pub changed_at: Micros,
    pub seeds: Vec<usize>,
    pub configured_size: usize,
    pub stale_after: Micros,
    pub longest_partition: Micros,
    pub max_members: usize,
    /// The latest incarnation that each has seen of each address; it must never decrease.
    latest_incarnations: BTreeMap<(usize, SocketAddr), Incarnation>,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7000))
}

pub fn number(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { panic!("an address of the simulation") };
    let [_, a, b, c] = at.ip().octets();
    usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
}

pub fn name(n: usize) -> String {
    format!("n{n}")
}

impl World {
    pub fn new(n: usize, seed: u64) -> World {
        let node = |i| Node {
            peers: None,
            zone: i % 3,
            rate: 1.0,
            stopped: false,
            socket: VecDeque::new(),
            generation: 0,
            wake: 0,
            watch_mode: WatchMode::Off,
            call: 0,
            watch_open: false,
            called_at: 0,
            first_list_at: None,
            rev: 0,
            rev_at: 0,
            started_at: 0,
            fleet: Fleet { size: n as u32, me: i as u32 },
            changes: Vec::new(),
        };
        let line = |i| {
            let target = Target {
                uid: format!("s-{i}"),
                endpoint: format!("10.9.0.{i}:80"),
                state: 1,
                ..Target::default()
            };
            (target.uid.clone(), target)
        };
        let mut world = World {
            now: 0,
            nodes: (0..n).map(node).collect(),
            queue: BinaryHeap::new(),
            pending: Vec::new(),
            free_slots: Vec::new(),
            scheduled_count: 0,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            loss: 0.0,
            link_works: Box::new(|_, _| true),
            reaches_service: Box::new(|_| true),
            service_hosts: (0..60).map(line).collect(),
            rev: 1,
            service_free_at: 0,
            calls: 0,
            changed_at: 0,
            seeds: (0..n.min(3)).collect(),
            configured_size: n,
            stale_after: 10 * SECOND,
            longest_partition: 300 * SECOND,
            max_members: 8192,
            latest_incarnations: BTreeMap::new(),
        };
        world.schedule(2 * SECOND, Occurrence::Heartbeat);
        world.schedule(SECOND, Occurrence::CheckIncarnations);
        world
    }

    pub fn draw(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn schedule(&mut self, at: Micros, what: Occurrence) {
        self.scheduled_count += 1;
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.pending.push(None);
            self.pending.len() - 1
        });
        self.pending[slot] = Some(what);
        self.queue.push(Reverse((at, self.scheduled_count, slot)));
    }

    /// The time on a member's own clock.
    fn clock(&self, n: usize) -> Micros {
        (self.now as f64 * self.nodes[n].rate) as Micros
    }

    pub fn start(&mut self, n: usize) {
        self.start_in_generation(n, self.nodes[n].generation + 1 + self.now as u64 / 1000);
    }

    pub fn start_in_generation(&mut self, n: usize, generation: u64) {
        let seed = self.random.next_u64();
        let told = Fleet { size: self.configured_size as u32, me: n as u32 };
        let zone = CompactString::from(format!("z{}", self.nodes[n].zone));
        let me = Member {
            name: name(n).into(),
            address: address(n),
            generation,
            renewal: 0,
            zone,
            number: n as u32,
        };
        let set = Settings {
            me,
            cluster: "sim".into(),
            seeds: self.seeds.iter().map(|s| address(*s)).collect(),
            configured: told,
            watchers: 6,
            stale_after: self.stale_after,
            longest_partition: self.longest_partition,
            max_members: self.max_members,
        };
        let peers = Peers::new(set, seed, self.clock(n));
        let now = self.now;
        let node = &mut self.nodes[n];
        node.generation = generation;
        node.peers = Some(peers);
        node.stopped = false;
        node.first_list_at = None;
        node.rev = 0;
        node.started_at = now;
        node.watch_mode = WatchMode::Off;
        node.watch_open = false;
        node.fleet = told;
        node.socket.clear();
        node.call += 1;
        self.latest_incarnations.retain(|(by, _), _| *by != n);
        self.wake(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].peers = None;
        self.nodes[n].call += 1;
    }

    pub fn leave(&mut self, n: usize) {
        let now = self.clock(n);
        let mut acts = Vec::new();
        if let Some(peers) = &mut self.nodes[n].peers {
            peers.leave(now, &mut acts);
        }
        self.apply_actions(n, acts);
        self.kill(n);
    }

    pub fn stop(&mut self, n: usize) {
        self.nodes[n].stopped = true;
    }

    /// A stopped member continues; the packets in its receive buffer are read first.
    pub fn resume(&mut self, n: usize) {
        self.nodes[n].stopped = false;
        while let Some(packet) = self.nodes[n].socket.pop_front() {
            self.handle_event(n, Event::Datagram(&packet));
        }
        self.handle_event(n, Event::Tick);
    }

    fn wake(&mut self, n: usize) {
        let Some(peers) = &self.nodes[n].peers else { return };
        let at = (peers.next_deadline() as f64 / self.nodes[n].rate) as Micros + 1;
        self.nodes[n].wake += 1;
        let wake = self.nodes[n].wake;
        self.schedule(at.max(self.now), Occurrence::TimerFired(n, wake));
    }

    fn handle_event(&mut self, n: usize, event: Event) {
        let now = self.clock(n);
        let mut acts = Vec::new();
        let Some(peers) = &mut self.nodes[n].peers else { return };
        let due = peers.next_deadline();
        peers.handle(now, event, &mut acts);
        let moved = peers.next_deadline() != due;
        self.apply_actions(n, acts);
        if moved {
            self.wake(n);
        }
    }

    /// The discovery service has a new version, in which these hosts have another state.
    pub fn change_hosts(&mut self, uids: &[&str], state: u32) {
        self.rev += 1;
        self.changed_at = self.now;
        let mut targets = Vec::new();
        for uid in uids {
            let target =
                Target { uid: (*uid).to_owned(), endpoint: "10.9.9.9:80".into(), state, ..Target::default() };
            self.service_hosts.insert(target.uid.clone(), target.clone());
            targets.push(target);
        }
        let news = ListUpdate { complete: false, rev: self.rev, targets, requested_at: 0 };
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch_open && (self.reaches_service)(n) {
                let (call, way) = (self.nodes[n].call, 300 + (self.draw() * 1000.0) as Micros);
                self.schedule(self.now + way, Occurrence::ListChange(n, call, news.clone()));
            }
        }
    }

    /// The discovery service restarts with a revision; all watches end.
    pub fn restart_service(&mut self, rev: u64) {
        self.rev = rev;
        for n in 0..self.nodes.len() {
            if std::mem::take(&mut self.nodes[n].watch_open) {
                self.end_watch(n);
            }
        }
    }

    /// Checks that no incarnation that a member knows of another has decreased.
    fn check_incarnations(&mut self, n: usize) {
        let Some(peers) = &self.nodes[n].peers else { return };
        for (at, now) in peers.incarnations() {
            let before = self.latest_incarnations.insert((n, at), now);
            assert!(before.is_none_or(|b| b <= now), "{n} saw {at} go back from {before:?} to {now:?}");
        }
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].peers.is_some())
    }

    /// Whether a member watches the discovery service.
    pub fn is_watching(&self, n: usize) -> bool {
        self.nodes[n].watch_open
    }

    /// Pairs of live members of which the first does not see the second alive.
    pub fn unseen_pairs(&self, of: impl Fn(usize, usize) -> bool) -> Vec<(usize, usize)> {
        let mut blind = Vec::new();
        for a in self.running() {
            let peers = self.nodes[a].peers.as_ref().expect("up");
            let live: std::collections::BTreeSet<usize> =
                peers.live().iter().map(|m| number(m.address)).collect();
            blind
                .extend(self.running().filter(|b| *b != a && of(a, *b) && !live.contains(b)).map(|b| (a, b)));
        }
        blind
    }

    /// The number of failures that were reported since a time of members that run.
    pub fn false_failures(&self, since: Micros) -> usize {
        let lost = |c: &&(Micros, Change)| {
            c.0 >= since && matches!(&c.1, Change::Lost(m) if self.nodes[number(m.address)].peers.is_some())
        };
        self.running().map(|n| self.nodes[n].changes.iter().filter(lost).count()).sum()
    }
}
