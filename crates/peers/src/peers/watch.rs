//! Selection of the watch mode of this member, and updates of the fleet for the decision logic.

use super::Peers;
use super::api::{Action, WatchMode};
use crate::watchers::{self, Candidate};
use crate::{Micros, SECOND};

/// How long a member without live peers waits for them before it watches the discovery service on its own.
const JOIN_TIMEOUT: Micros = SECOND;
/// The membership is considered complete once it has not changed for this long.
const SETTLED_AFTER: Micros = SECOND;
/// The membership is considered complete at the latest this long after the start.
const MAX_SETTLE_TIME: Micros = 3 * SECOND;
/// The interval of watcher elections while the membership does not change.
const ELECTION_PERIOD: Micros = SECOND / 2;

impl Peers {
    /// Records that this member's own watch is open, if it is, for the next digests.
    pub(super) fn record_own_watch(&mut self, now: Micros) {
        if self.lists.is_watching() {
            let name = self.me().name.clone();
            self.watchers.record(&name, true, now);
        }
    }

    /// Updates the watch mode and the size of the fleet.
    pub(super) fn review(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now >= self.next_election {
            self.next_election = now + ELECTION_PERIOD;
            let mode = self.select_watch_mode(now);
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

    fn select_watch_mode(&self, now: Micros) -> WatchMode {
        let live = self.membership.live();
        if self.membership.has_left() {
            return WatchMode::Paced;
        }
        let me = self.me();
        let settled = now - self.member_count.last_changed_at() >= SETTLED_AFTER
            || now - self.started_at >= MAX_SETTLE_TIME;
        if !settled || live.is_empty() {
            if self.lists.is_watching()
                || watchers::is_early_watcher(
                    &me.name,
                    self.settings.watchers,
                    self.settings.configured.size as usize,
                )
            {
                return WatchMode::Now;
            }
            let wait_for_peers = !live.is_empty() || now - self.started_at < JOIN_TIMEOUT;
            return if wait_for_peers { self.watch_mode_by_list_age(now) } else { WatchMode::Paced };
        }
        let all = live.iter().chain([me]);
        let members: Vec<Candidate> =
            all.map(|member| Candidate { name: &member.name, zone: &member.zone }).collect();
        if self.watchers.elect(now, &members, self.settings.watchers).contains(me.name.as_str()) {
            return WatchMode::Now;
        }
        self.watch_mode_by_list_age(now)
    }

    /// Returns [`WatchMode::Off`] while the list from the peers is fresh, then [`WatchMode::Paced`].
    fn watch_mode_by_list_age(&self, now: Micros) -> WatchMode {
        let age = self.lists.age(now).unwrap_or(now - self.started_at);
        if age > self.settings.stale_after { WatchMode::Paced } else { WatchMode::Off }
    }
}
