//! A deterministic simulation of many members. Packets are delayed, lost or blocked by partitions. Members stop,
//! continue, fail and restart, and their clocks run at different rates. The discovery service serves one call at a
//! time.
#![allow(dead_code)]

mod events;

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

/// The capacity of the receive buffer of a stopped member, in packets.
const RECEIVE_BUFFER_PACKETS: usize = 256;
/// The time that the discovery service takes to serve a call.
const CALL_DURATION: Micros = 5_000;
/// The length of a poll round without peers, per member.
const POLL_ROUND_PER_MEMBER: Micros = 20_000;

enum ScheduledEvent {
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
    /// The rate of the member's clock relative to simulated time.
    pub clock_rate: f64,
    pub stopped: bool,
    receive_buffer: VecDeque<Vec<u8>>,
    generation: u64,
    timer_generation: u64,
    /// The member's watch at the discovery service: the selected mode, the number of the latest call, and whether it
    /// is open.
    watch_mode: WatchMode,
    call_id: u64,
    watch_open: bool,
    called_at: Micros,
    /// When the member received its first list after its start, and the latest revision with the time of its arrival.
    pub first_list_at: Option<Micros>,
    pub rev: u64,
    pub rev_at: Micros,
    pub started_at: Micros,
    pub fleet: Fleet,
    pub changes: Vec<(Micros, Change)>,
}

pub type LinkRule = Box<dyn Fn(usize, usize) -> bool>;

pub struct Simulation {
    pub now: Micros,
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    pending: Vec<Option<ScheduledEvent>>,
    free_slots: Vec<usize>,
    scheduled_count: u64,
    pub random: Xoshiro256PlusPlus,
    pub packet_loss: f64,
    /// Whether packets of the first member reach the second.
    pub link_works: LinkRule,
    /// Whether a member reaches the discovery service.
    pub reaches_service: Box<dyn Fn(usize) -> bool>,
    pub service_hosts: BTreeMap<String, Target>,
    pub rev: u64,
    service_free_at: Micros,
    pub service_calls: usize,
    pub changed_at: Micros,
    pub seeds: Vec<usize>,
    pub configured_size: usize,
    pub stale_after: Micros,
    pub longest_partition: Micros,
    pub max_members: usize,
    /// The latest incarnation that each member has stored for each address, which must never decrease.
    latest_incarnations: BTreeMap<(usize, SocketAddr), Incarnation>,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7000))
}

pub fn node_index(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { panic!("not an address of the simulation") };
    let [_, a, b, c] = at.ip().octets();
    usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
}

pub fn name(n: usize) -> String {
    format!("n{n}")
}

impl Simulation {
    pub fn new(n: usize, seed: u64) -> Simulation {
        let node = |i| Node {
            peers: None,
            zone: i % 3,
            clock_rate: 1.0,
            stopped: false,
            receive_buffer: VecDeque::new(),
            generation: 0,
            timer_generation: 0,
            watch_mode: WatchMode::Off,
            call_id: 0,
            watch_open: false,
            called_at: 0,
            first_list_at: None,
            rev: 0,
            rev_at: 0,
            started_at: 0,
            fleet: Fleet { size: n as u32, index: i as u32 },
            changes: Vec::new(),
        };
        let host_entry = |i| {
            let target = Target {
                uid: format!("s-{i}"),
                endpoint: format!("10.9.0.{i}:80"),
                state: 1,
                ..Target::default()
            };
            (target.uid.clone(), target)
        };
        let mut simulation = Simulation {
            now: 0,
            nodes: (0..n).map(node).collect(),
            queue: BinaryHeap::new(),
            pending: Vec::new(),
            free_slots: Vec::new(),
            scheduled_count: 0,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            packet_loss: 0.0,
            link_works: Box::new(|_, _| true),
            reaches_service: Box::new(|_| true),
            service_hosts: (0..60).map(host_entry).collect(),
            rev: 1,
            service_free_at: 0,
            service_calls: 0,
            changed_at: 0,
            seeds: (0..n.min(3)).collect(),
            configured_size: n,
            stale_after: 10 * SECOND,
            longest_partition: 300 * SECOND,
            max_members: 8192,
            latest_incarnations: BTreeMap::new(),
        };
        simulation.schedule(2 * SECOND, ScheduledEvent::Heartbeat);
        simulation.schedule(SECOND, ScheduledEvent::CheckIncarnations);
        simulation
    }

    pub fn random_unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
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

    /// Returns the time on a member's own clock.
    fn clock(&self, n: usize) -> Micros {
        (self.now as f64 * self.nodes[n].clock_rate) as Micros
    }

    pub fn start(&mut self, n: usize) {
        self.start_in_generation(n, self.nodes[n].generation + 1 + self.now as u64 / 1000);
    }

    pub fn start_in_generation(&mut self, n: usize, generation: u64) {
        let seed = self.random.next_u64();
        let configured_fleet = Fleet { size: self.configured_size as u32, index: n as u32 };
        let zone = CompactString::from(format!("z{}", self.nodes[n].zone));
        let me = Member {
            name: name(n).into(),
            address: address(n),
            generation,
            renewal: 0,
            zone,
            number: n as u32,
        };
        let settings = Settings {
            me,
            cluster: "sim".into(),
            seeds: self.seeds.iter().map(|s| address(*s)).collect(),
            configured: configured_fleet,
            watchers: 6,
            stale_after: self.stale_after,
            longest_partition: self.longest_partition,
            max_members: self.max_members,
        };
        let peers = Peers::new(settings, seed, self.clock(n));
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
        node.fleet = configured_fleet;
        node.receive_buffer.clear();
        node.call_id += 1;
        self.latest_incarnations.retain(|(by, _), _| *by != n);
        self.set_timer(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].peers = None;
        self.nodes[n].call_id += 1;
    }

    pub fn leave(&mut self, n: usize) {
        let now = self.clock(n);
        let mut actions = Vec::new();
        if let Some(peers) = &mut self.nodes[n].peers {
            peers.leave(now, &mut actions);
        }
        self.apply_actions(n, actions);
        self.kill(n);
    }

    pub fn stop(&mut self, n: usize) {
        self.nodes[n].stopped = true;
    }

    /// Continues a stopped member, which handles the packets in its receive buffer before its timers.
    pub fn resume(&mut self, n: usize) {
        self.nodes[n].stopped = false;
        while let Some(packet) = self.nodes[n].receive_buffer.pop_front() {
            self.handle_event(n, Event::Datagram(&packet));
        }
        self.handle_event(n, Event::Tick);
    }

    fn set_timer(&mut self, n: usize) {
        let Some(peers) = &self.nodes[n].peers else { return };
        let at = (peers.next_deadline() as f64 / self.nodes[n].clock_rate) as Micros + 1;
        self.nodes[n].timer_generation += 1;
        let generation = self.nodes[n].timer_generation;
        self.schedule(at.max(self.now), ScheduledEvent::TimerFired(n, generation));
    }

    fn handle_event(&mut self, n: usize, event: Event) {
        let now = self.clock(n);
        let mut actions = Vec::new();
        let Some(peers) = &mut self.nodes[n].peers else { return };
        let deadline = peers.next_deadline();
        peers.handle(now, event, &mut actions);
        let deadline_changed = peers.next_deadline() != deadline;
        self.apply_actions(n, actions);
        if deadline_changed {
            self.set_timer(n);
        }
    }

    /// Changes the state of these hosts in a new revision of the discovery service.
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
        let update = ListUpdate { complete: false, rev: self.rev, targets, requested_at: 0 };
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch_open && (self.reaches_service)(n) {
                let (call, delay) = (self.nodes[n].call_id, 300 + (self.random_unit() * 1000.0) as Micros);
                self.schedule(self.now + delay, ScheduledEvent::ListChange(n, call, update.clone()));
            }
        }
    }

    /// Restarts the discovery service with a revision, which ends all watches.
    pub fn restart_service(&mut self, rev: u64) {
        self.rev = rev;
        for n in 0..self.nodes.len() {
            if std::mem::take(&mut self.nodes[n].watch_open) {
                self.end_watch(n);
            }
        }
    }

    /// Checks that no incarnation that a member has stored for another one has decreased.
    fn check_incarnations(&mut self, n: usize) {
        let Some(peers) = &self.nodes[n].peers else { return };
        for (at, now) in peers.incarnations() {
            let before = self.latest_incarnations.insert((n, at), now);
            assert!(
                before.is_none_or(|b| b <= now),
                "at member {n}, the incarnation of {at} decreased from {before:?} to {now:?}"
            );
        }
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].peers.is_some())
    }

    /// Returns whether a member watches the discovery service.
    pub fn is_watching(&self, n: usize) -> bool {
        self.nodes[n].watch_open
    }

    /// Returns the pairs of running members of which the first does not consider the second live.
    pub fn unseen_pairs(&self, of: impl Fn(usize, usize) -> bool) -> Vec<(usize, usize)> {
        let mut unseen = Vec::new();
        for a in self.running() {
            let peers = self.nodes[a].peers.as_ref().expect("up");
            let live: std::collections::BTreeSet<usize> =
                peers.live().iter().map(|m| node_index(m.address)).collect();
            unseen
                .extend(self.running().filter(|b| *b != a && of(a, *b) && !live.contains(b)).map(|b| (a, b)));
        }
        unseen
    }

    /// Counts the reports since a time that a member has failed that is running.
    pub fn false_failures(&self, since: Micros) -> usize {
        let lost = |c: &&(Micros, Change)| {
            c.0 >= since
                && matches!(&c.1, Change::Lost(m) if self.nodes[node_index(m.address)].peers.is_some())
        };
        self.running().map(|n| self.nodes[n].changes.iter().filter(lost).count()).sum()
    }
}
