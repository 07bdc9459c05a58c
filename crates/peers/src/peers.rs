//! One dispatcher among its peers: takes in datagrams, requests, responses, news of the list service and time; says
//! what to send, what to tell the decisions, and whether to keep a watch at the list service.

mod api;
mod host_list;
mod receive;
mod status;
mod suspicion;
mod watch;

pub use api::{Action, Event, Figures, Settings, Standing, WatchMode};

use crate::askers::Askers;
use crate::codec;
use crate::count::{Count, Fleet};
use crate::lists::Lists;
use crate::membership::{self, Membership};
use crate::wire::{FrameBody, PacketBody};
use crate::{Micros, SECOND};
use std::net::SocketAddr;
use suspicion::RelayedSuspicion;

/// How often digests are sent, and to how many members.
const DIGEST_PERIOD: Micros = SECOND * 2 / 5;
const DIGEST_FANOUT: usize = 2;
/// How often all member states are exchanged with one other member.
const FULL_EXCHANGE_PERIOD: Micros = 20 * SECOND;
/// The first full exchanges come so long after the first other member was seen.
const FIRST_FULL_EXCHANGES: [Micros; 3] = [0, SECOND / 2, 3 * SECOND / 2];
/// A request over TCP may take so long.
pub const REQUEST_TIMEOUT: Micros = 2 * SECOND;
/// How often the watch mode and the number of dispatchers are reviewed.
const REVIEW_PERIOD: Micros = SECOND / 10;

/// One dispatcher among its peers.
pub struct Peers {
    settings: Settings,
    cluster_hash: u64,
    membership: Membership,
    askers: Askers,
    lists: Lists,
    count: Count,
    started_at: Micros,
    /// When the first other member was seen.
    first_peer_at: Option<Micros>,
    full_exchanges: usize,
    next_full_exchange: Micros,
    next_digest: Micros,
    next_review: Micros,
    /// When it is decided anew who keeps a watch: at each change of the members, and periodically.
    next_election: Micros,
    watch_mode: WatchMode,
    fleet: Fleet,
    /// The member that a pull of the host list was sent to, and when.
    pull_in_flight: Option<(SocketAddr, Micros)>,
    relayed_suspicions: Vec<RelayedSuspicion>,
    figures: Figures,
}

impl Peers {
    /// A dispatcher that has not seen any peers yet.
    pub fn new(settings: Settings, random_seed: u64, now: Micros) -> Peers {
        let (me, seeds) = (settings.me.clone(), settings.seeds.clone());
        Peers {
            cluster_hash: codec::cluster_hash(&settings.cluster),
            membership: Membership::new(me, seeds, settings.max_members, random_seed, now),
            askers: Askers::default(),
            lists: Lists::default(),
            count: Count::new(&settings.me.name, settings.configured, settings.heal, now),
            started_at: now,
            first_peer_at: None,
            full_exchanges: 0,
            next_full_exchange: now,
            next_digest: now + DIGEST_PERIOD,
            next_review: now,
            next_election: now,
            watch_mode: WatchMode::Off,
            fleet: settings.configured,
            pull_in_flight: None,
            relayed_suspicions: Vec::new(),
            figures: Figures::default(),
            settings,
        }
    }

    /// Takes over new settings; the member and its cluster stay.
    pub fn reconfigure(&mut self, new: Settings) {
        self.membership.set_seeds(new.seeds.clone());
        self.count.tell(new.configured, new.heal);
        let (me, cluster) = (self.settings.me.clone(), self.settings.cluster.clone());
        self.settings = Settings { me, cluster, ..new };
    }

    /// When an [`Event::Tick`] is due at the latest.
    pub fn next_deadline(&self) -> Micros {
        self.membership.next_deadline().min(self.next_review).min(self.next_digest)
    }

    /// Takes in an event, and appends the actions that follow.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let mut out = membership::Output::default();
        match event {
            Event::Datagram(bytes) => self.receive_datagram(now, bytes, &mut out, actions),
            Event::Response(from, response) => self.receive_response(now, from, response, &mut out, actions),
            Event::ListNews(news) => {
                let list_actions = self.lists.service(now, news);
                self.perform_list_actions(now, list_actions, None, actions);
                self.note_own_watch(now);
            }
            Event::WatchOpened => {
                self.lists.opened(now);
                self.note_own_watch(now);
            }
            Event::WatchAlive => {
                self.lists.alive(now);
                self.note_own_watch(now);
            }
            Event::WatchClosed => {
                self.lists.closed();
                let name = self.me().name.clone();
                self.askers.said(&name, false, now);
                self.next_election = now;
                self.review(now, actions);
            }
            Event::Tick => self.tick(now, &mut out, actions),
        }
        self.apply_membership(now, out, actions);
    }

    fn tick(&mut self, now: Micros, out: &mut membership::Output, actions: &mut Vec<Action>) {
        self.membership.tick(now, out);
        if now >= self.next_review {
            self.next_review = now + REVIEW_PERIOD;
            self.review(now, actions);
        }
        if self.membership.has_left() {
            self.next_digest = Micros::MAX;
            return;
        }
        if now >= self.next_digest {
            let jitter = self.membership.random_unit();
            self.next_digest = now + (DIGEST_PERIOD as f64 * (0.75 + jitter / 2.0)) as Micros;
            self.askers.forget(now);
            let receivers = self.membership.sample(DIGEST_FANOUT);
            self.send_digest(now, &receivers, false, actions);
        }
        if self.first_peer_at.is_some() && now >= self.next_full_exchange {
            let jitter = self.membership.random_unit();
            self.full_exchanges += 1;
            self.next_full_exchange = match FIRST_FULL_EXCHANGES.get(self.full_exchanges) {
                Some(after) => self.first_peer_at.unwrap_or(now) + after,
                None => now + (FULL_EXCHANGE_PERIOD as f64 * (0.5 + jitter)) as Micros,
            };
            for member in self.membership.sample(1) {
                let states = self.membership.export_states();
                self.request(member.address, FrameBody::Members(states), actions);
            }
        }
    }

    /// Sends what the membership wants sent, and takes in its changes.
    fn apply_membership(&mut self, now: Micros, out: membership::Output, actions: &mut Vec<Action>) {
        for (to, swim) in out.swim {
            self.send(to, codec::encode_packet(self.cluster_hash, PacketBody::Swim(swim)), actions);
        }
        for (to, packet) in out.datagrams {
            self.send(to, packet, actions);
        }
        self.figures.dropped[3] += out.refused;
        if !out.changes.is_empty() {
            self.next_election = now;
        }
        for change in out.changes {
            match &change {
                membership::Change::Up(m) => self.count.up(&m.name, now),
                membership::Change::Lost(m) => self.count.lost(&m.name, now),
                membership::Change::Left(m) => self.count.left(&m.name, now),
                membership::Change::Back(_) => {}
            }
            actions.push(Action::MemberChanged(change));
        }
        if self.first_peer_at.is_none() && !self.membership.live().is_empty() {
            (self.first_peer_at, self.next_full_exchange) = (Some(now), now);
            self.next_digest = now;
        }
        for (member, incarnation) in out.suspicions {
            self.notify_suspect(&member, incarnation, actions);
        }
    }

    /// Leaves the cluster: tells every live member, and sends nothing afterwards.
    pub fn leave(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut out = membership::Output::default();
        self.membership.leave(now, self.cluster_hash, &mut out);
        out.changes.clear();
        self.apply_membership(now, out, actions);
    }
}
