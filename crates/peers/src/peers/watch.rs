//! Whether this member watches the discovery service, and the fleet that the decisions are notified of.

use super::Peers;
use super::api::{Action, WatchMode};
use crate::watchers::{self, Candidate};
use crate::{Micros, SECOND};

/// How long a dispatcher that is alone waits for its peers before it goes on without them.
const JOIN_TIMEOUT: Micros = SECOND;
/// The members count as complete once they have not changed for so long.
const SETTLED_AFTER: Micros = SECOND;
/// The members count as complete at the latest so long after the start.
const SETTLED_AT_LATEST: Micros = 3 * SECOND;
/// The interval of elections of watchers, if no member changes.
const ELECTION_PERIOD: Micros = SECOND / 2;

impl Peers {
    /// Records for the digests that our own watch is open, if it is.
    pub(super) fn note_own_watch(&mut self, now: Micros) {
        if self.lists.watches() {
            let name = self.me().name.clone();
            self.watchers.record(&name, true, now);
        }
    }

    /// Reviews whether to watch the discovery service, and the size of the fleet.
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
            self.member_count
                .fleet(now, self.membership.all_seeds_alive() && !self.membership.live().is_empty())
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
            now - self.member_count.changed() >= SETTLED_AFTER || now - self.started_at >= SETTLED_AT_LATEST;
        if !settled || live.is_empty() {
            if self.lists.watches()
                || watchers::is_early_watcher(
                    &me.name,
                    self.settings.watchers,
                    self.settings.configured.size as usize,
                )
            {
                return WatchMode::Now;
            }
            let wait_for_peers = !live.is_empty() || now - self.started_at < JOIN_TIMEOUT;
            return if wait_for_peers { self.hold_while_fresh(now) } else { WatchMode::Paced };
        }
        let all = live.iter().chain([me]);
        let members: Vec<Candidate> =
            all.map(|member| Candidate { name: &member.name, zone: &member.zone }).collect();
        if self.watchers.elect(now, &members, self.settings.watchers).contains(me.name.as_str()) {
            return WatchMode::Now;
        }
        self.hold_while_fresh(now)
    }

    /// No watch as long as the list from the peers is fresh.
    fn hold_while_fresh(&self, now: Micros) -> WatchMode {
        let age = self.lists.age(now).unwrap_or(now - self.started_at);
        if age > self.settings.stale_after { WatchMode::Paced } else { WatchMode::Off }
    }
}
