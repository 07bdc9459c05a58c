//! The state of a member and its cluster, for operators and for the caller.

use super::{HostListStatus, Incarnation, MemberStatus, Peers, Statistics, WatchMode};
use crate::Micros;
use crate::member::Member;
use crate::member_count::Fleet;
use crate::membership::Counts;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Peers {
    /// Returns the identity of this member.
    pub fn me(&self) -> &Member {
        self.membership.me()
    }

    /// Counts the other members by state.
    pub fn counts(&self) -> Counts {
        self.membership.counts()
    }

    /// Returns the statistics.
    pub fn statistics(&self) -> &Statistics {
        &self.statistics
    }

    /// Returns the status of the endpoint list, if there is one.
    pub fn list(&self, now: Micros) -> Option<HostListStatus> {
        Some(HostListStatus {
            version: self.lists.version()?,
            hosts: self.lists.host_count(),
            age: self.lists.age(now)?,
        })
    }

    /// Returns the fleet that was last reported to the decision logic.
    pub fn fleet(&self) -> Fleet {
        self.fleet
    }

    /// Returns whether this member's watch is open, and the selected watch mode.
    pub fn watch(&self) -> (bool, WatchMode) {
        (self.lists.is_watching(), self.watch_mode)
    }

    fn open_watches(&self, now: Micros) -> impl Iterator<Item = &str> {
        self.watchers.recent_reports(now).filter(|report| report.open).map(|report| report.name)
    }

    /// Returns the names of the members with an open watch, by the latest reports.
    pub fn watchers(&self, now: Micros) -> Vec<String> {
        self.open_watches(now).map(str::to_owned).collect()
    }

    /// Returns whether the member at an address is alive or suspect.
    pub fn is_live(&self, at: SocketAddr) -> bool {
        self.membership.live().iter().any(|m| m.address == at)
    }

    /// Returns the other members that are alive or suspect.
    pub fn live(&self) -> &[Member] {
        self.membership.live()
    }

    /// Returns how long a suspected member currently has to refute the suspicion.
    pub fn suspicion_timeout(&self) -> Micros {
        self.membership.suspicion_timeout()
    }

    /// Returns all members with their states, sorted by name.
    pub fn member_statuses(&self, now: Micros) -> Vec<MemberStatus> {
        let watching: BTreeSet<&str> = self.open_watches(now).collect();
        let status_of = |m: &Member, state| MemberStatus {
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
            status_of(m.id(), state)
        });
        let mut all: Vec<MemberStatus> = others.chain([status_of(self.me(), "alive")]).collect();
        all.sort_by(|a, b| a.member.name.cmp(&b.member.name));
        all
    }

    /// Returns the latest incarnation of each other member that is not down, with its address.
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
