//! The state machine of one cluster member. It handles datagrams, requests, responses, discovery service updates and
//! timers, and returns what to send, which updates the decision logic needs, and whether to watch the discovery
//! service.

mod api;
mod host_list;
mod receive;
mod status;
mod suspicion;
mod watch;

pub use api::{
    Action, DatagramCount, Event, HostListStatus, Incarnation, MemberStatus, Settings, Statistics, WatchMode,
};

use crate::codec;
use crate::lists::Lists;
use crate::member_count::{Fleet, MemberCount};
use crate::membership::{self, Membership};
use crate::watchers::Watchers;
use crate::wire::{FrameBody, PacketBody};
use crate::{Micros, SECOND};
use std::net::SocketAddr;
use suspicion::RelayedSuspicion;

/// The mean interval between two rounds of digests.
const DIGEST_PERIOD: Micros = SECOND * 2 / 5;
/// The number of members that a digest is sent to in each round.
const DIGEST_FANOUT: usize = 2;
/// The mean interval between two full exchanges, each of all member states with one other member.
const FULL_EXCHANGE_PERIOD: Micros = 20 * SECOND;
/// The times of the first full exchanges, relative to when the first other member was seen.
const INITIAL_FULL_EXCHANGES: [Micros; 3] = [0, SECOND / 2, 3 * SECOND / 2];
/// The timeout of a request over TCP.
pub const REQUEST_TIMEOUT: Micros = 2 * SECOND;
/// The interval at which the watch mode and the fleet size are reviewed.
const REVIEW_PERIOD: Micros = SECOND / 10;

/// A pull of the endpoint list that awaits its response.
#[derive(Clone, Copy)]
struct PullInFlight {
    to: SocketAddr,
    sent_at: Micros,
}

/// The state of one member of a cluster of dispatchers.
pub struct Peers {
    settings: Settings,
    cluster_hash: u64,
    membership: Membership,
    watchers: Watchers,
    lists: Lists,
    member_count: MemberCount,
    started_at: Micros,
    /// When the first other member was seen.
    first_peer_at: Option<Micros>,
    full_exchange_count: usize,
    next_full_exchange: Micros,
    next_digest: Micros,
    next_review: Micros,
    /// When watchers are next elected: after each membership change, and periodically.
    next_election: Micros,
    watch_mode: WatchMode,
    fleet: Fleet,
    /// The latest pull of the endpoint list, until its response arrives.
    pull_in_flight: Option<PullInFlight>,
    relayed_suspicions: Vec<RelayedSuspicion>,
    statistics: Statistics,
}

impl Peers {
    /// Creates a member that has not seen any peers yet.
    pub fn new(settings: Settings, random_seed: u64, now: Micros) -> Peers {
        let me = settings.me.clone();
        let seeds = settings.seeds.clone();
        Peers {
            cluster_hash: codec::cluster_hash(&settings.cluster),
            membership: Membership::new(me, seeds, settings.max_members, random_seed, now),
            watchers: Watchers::default(),
            lists: Lists::default(),
            member_count: MemberCount::new(
                &settings.me.name,
                settings.configured,
                settings.longest_partition,
                now,
            ),
            started_at: now,
            first_peer_at: None,
            full_exchange_count: 0,
            next_full_exchange: now,
            next_digest: now + DIGEST_PERIOD,
            next_review: now,
            next_election: now,
            watch_mode: WatchMode::Off,
            fleet: settings.configured,
            pull_in_flight: None,
            relayed_suspicions: Vec::new(),
            statistics: Statistics::default(),
            settings,
        }
    }

    /// Applies new settings; the identity of the member and the cluster name do not change.
    pub fn reconfigure(&mut self, new: Settings) {
        self.membership.set_seeds(new.seeds.clone());
        self.member_count.configure(new.configured, new.longest_partition);
        let me = self.settings.me.clone();
        let cluster = self.settings.cluster.clone();
        self.settings = Settings { me, cluster, ..new };
    }

    /// Returns the latest time for the next [`Event::Tick`].
    pub fn next_deadline(&self) -> Micros {
        self.membership.next_deadline().min(self.next_review).min(self.next_digest)
    }

    /// Handles an event, and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let mut out = membership::Output::default();
        match event {
            Event::Datagram(bytes) => self.receive_datagram(now, bytes, &mut out, actions),
            Event::Response(from, response) => self.receive_response(now, from, response, &mut out, actions),
            Event::ListUpdate(update) => {
                let list_actions = self.lists.service_update(now, update);
                self.perform_list_actions(now, list_actions, None, actions);
                self.record_own_watch(now);
            }
            Event::WatchOpened => {
                self.lists.watch_opened(now);
                self.record_own_watch(now);
            }
            Event::WatchKeepAlive => {
                self.lists.receive_keep_alive(now);
                self.record_own_watch(now);
            }
            Event::WatchClosed => {
                self.lists.watch_closed();
                let name = self.me().name.clone();
                self.watchers.record(&name, false, now);
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
            self.watchers.expire(now);
            let receivers = self.membership.sample(DIGEST_FANOUT);
            self.send_digest(now, &receivers, false, actions);
        }
        if self.first_peer_at.is_some() && now >= self.next_full_exchange {
            let jitter = self.membership.random_unit();
            self.full_exchange_count += 1;
            self.next_full_exchange = match INITIAL_FULL_EXCHANGES.get(self.full_exchange_count) {
                Some(after) => self.first_peer_at.unwrap_or(now) + after,
                None => now + (FULL_EXCHANGE_PERIOD as f64 * (0.5 + jitter)) as Micros,
            };
            for member in self.membership.sample(1) {
                let states = self.membership.export_states();
                self.request(member.address, FrameBody::Members(states), actions);
            }
        }
    }

    /// Sends the messages of the membership protocol, and applies its changes.
    fn apply_membership(&mut self, now: Micros, out: membership::Output, actions: &mut Vec<Action>) {
        for (to, swim) in out.swim {
            self.send(to, codec::encode_packet(self.cluster_hash, PacketBody::Swim(swim)), actions);
        }
        for (to, packet) in out.datagrams {
            self.send(to, packet, actions);
        }
        self.statistics.dropped[3] += out.rejected;
        if !out.changes.is_empty() {
            self.next_election = now;
        }
        for change in out.changes {
            match &change {
                membership::Change::Up(member) => self.member_count.member_up(&member.name, now),
                membership::Change::Lost(member) => self.member_count.member_lost(&member.name, now),
                membership::Change::Left(member) => self.member_count.member_left(&member.name, now),
                membership::Change::Rejoined(_) => {}
            }
            actions.push(Action::MemberChanged(change));
        }
        if self.first_peer_at.is_none() && !self.membership.live().is_empty() {
            self.first_peer_at = Some(now);
            self.next_full_exchange = now;
            self.next_digest = now;
        }
        for (member, incarnation) in out.suspicions {
            self.notify_suspect(&member, incarnation, actions);
        }
    }

    /// Leaves the cluster: notifies every live member, and sends nothing afterwards.
    pub fn leave(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut out = membership::Output::default();
        self.membership.leave(now, self.cluster_hash, &mut out);
        out.changes.clear();
        self.apply_membership(now, out, actions);
    }
}
