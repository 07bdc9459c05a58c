//! The state of one dispatcher among its peers, for operators and for the caller.

use super::{Figures, HostListStatus, Incarnation, Peers, Standing, WatchMode};
use crate::Micros;
use crate::member::Member;
use crate::member_count::Fleet;
use crate::membership::Counts;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Peers {
    /// This member.
    pub fn me(&self) -> &Member {
        self.membership.me()
    }

    /// The other members by state.
    pub fn counts(&self) -> Counts {
        self.membership.counts()
    }

    /// The figures.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// The host list, if there is one.
    pub fn list(&self, now: Micros) -> Option<HostListStatus> {
        Some(HostListStatus {
            version: self.lists.version()?,
            hosts: self.lists.hosts(),
            age: self.lists.age(now)?,
        })
    }

    /// The fleet that the decisions were last notified of.
    pub fn fleet(&self) -> Fleet {
        self.fleet
    }

    /// Whether our watch is open, and the wanted watch mode.
    pub fn watch(&self) -> (bool, WatchMode) {
        (self.lists.watches(), self.watch_mode)
    }

    fn open_watches(&self, now: Micros) -> impl Iterator<Item = &str> {
        self.watchers.recent_reports(now).filter(|report| report.open).map(|report| report.name)
    }

    /// The names of the members whose watch is open, as far as known.
    pub fn watchers(&self, now: Micros) -> Vec<String> {
        self.open_watches(now).map(str::to_owned).collect()
    }

    /// Whether a live member is at an address.
    pub fn is_live(&self, at: SocketAddr) -> bool {
        self.membership.live().iter().any(|m| m.address == at)
    }

    /// The other live members.
    pub fn live(&self) -> &[Member] {
        self.membership.live()
    }

    /// How long a suspected member currently has to refute the suspicion.
    pub fn suspicion_timeout(&self) -> Micros {
        self.membership.suspicion_timeout()
    }

    /// All members with their states, sorted by name.
    pub fn standings(&self, now: Micros) -> Vec<Standing> {
        let watching: BTreeSet<&str> = self.open_watches(now).collect();
        let of = |m: &Member, state| Standing {
            member: m.clone(),
            state,
            watches: watching.contains(m.name.as_str()),
        };
        let others = self.membership.states().map(|m| {
            let state = match m.state() {
                foca::State::Alive => "alive",
                foca::State::Suspect => "suspect",
                foca::State::Down => "down",
            };
            of(m.id(), state)
        });
        let mut all: Vec<Standing> = others.chain([of(self.me(), "alive")]).collect();
        all.sort_by(|a, b| a.member.name.cmp(&b.member.name));
        all
    }

    /// The incarnation under which each other member that is not down is known, by its address.
    pub fn incarnations(&self) -> impl Iterator<Item = (SocketAddr, Incarnation)> {
        let up = self.membership.states().filter(|state| state.state() != foca::State::Down);
        up.map(|state| {
            let member = state.id();
            let incarnation = Incarnation {
                generation: member.generation,
                renewal: member.renewal,
                incarnation: state.incarnation(),
            };
            (member.address, incarnation)
        })
    }
}
