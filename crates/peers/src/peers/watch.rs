//! Whether this member keeps the watch at the list service, and how many dispatchers the decisions are told of.

use super::Peers;
use super::api::{Action, WatchMode};
use crate::askers::{self, Candidate};
use crate::{Micros, SECOND};

/// How long a dispatcher that is alone waits for its peers before it goes on without them.
const JOIN_TIMEOUT: Micros = SECOND;
/// The view of the members is taken for complete once it has not changed for so long, or this long after the start.
const SETTLED_AFTER: Micros = SECOND;
const SETTLED_AT_LATEST: Micros = 3 * SECOND;
/// How often it is decided anew who keeps a watch, if no member changes.
const ELECTION_PERIOD: Micros = SECOND / 2;

impl Peers {
    /// Notes for the digests that our own watch is open, if it is.
    pub(super) fn note_own_watch(&mut self, now: Micros) {
        if self.lists.watches() {
            let name = self.me().name.clone();
            self.askers.said(&name, true, now);
        }
    }

    /// Reviews whether to keep a watch, and how many dispatchers there are.
    pub(super) fn review(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now >= self.next_election {
            self.next_election = now + ELECTION_PERIOD;
            let mode = self.wanted_watch_mode(now);
            if mode != self.watch_mode {
                self.watch_mode = mode;
                actions.push(Action::Watch(mode));
            }
        }
        let fleet = if self.membership.has_left() {
            self.settings.configured
        } else {
            self.count.fleet(now, self.membership.all_seeds_alive() && !self.membership.live().is_empty())
        };
        if fleet != self.fleet {
            self.fleet = fleet;
            actions.push(Action::Fleet(fleet));
        }
    }

    fn wanted_watch_mode(&self, now: Micros) -> WatchMode {
        let live = self.membership.live();
        if self.membership.has_left() {
            return WatchMode::Paced;
        }
        let me = self.me();
        let settled =
            now - self.count.changed() >= SETTLED_AFTER || now - self.started_at >= SETTLED_AT_LATEST;
        if !settled || live.is_empty() {
            if self.lists.watches()
                || askers::early(&me.name, self.settings.askers, self.settings.configured.size as usize)
            {
                return WatchMode::Now;
            }
            let wait_for_peers = !live.is_empty() || now - self.started_at < JOIN_TIMEOUT;
            return if wait_for_peers { self.hold_while_fresh(now) } else { WatchMode::Paced };
        }
        let all = live.iter().chain([me]);
        let members: Vec<Candidate> = all.map(|m| Candidate { name: &m.name, zone: &m.zone }).collect();
        if self.askers.wanted(now, &members, self.settings.askers).contains(me.name.as_str()) {
            return WatchMode::Now;
        }
        self.hold_while_fresh(now)
    }

    /// No watch, as long as the list that the peers pass on is fresh.
    fn hold_while_fresh(&self, now: Micros) -> WatchMode {
        let age = self.lists.age(now).unwrap_or(now - self.started_at);
        if age > self.settings.stale_after { WatchMode::Paced } else { WatchMode::Off }
    }
}
