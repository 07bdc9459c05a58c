//! The number of dispatchers used by the decision logic. It does not decrease while a network partition may heal.
//!
//! The slow-start budget of a worker is divided by this number. If the two sides of a partition each counted only
//! themselves, they would together send the worker twice its budget. A member that has failed without leaving is
//! therefore counted for another `longest_partition`, the longest partition that an installation expects. During that
//! time each side counts all members, and both sides together send no more than the whole fleet would.

use crate::{Micros, SECOND};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// How long the membership must be unchanged before configured members that were never seen are no longer counted.
pub const SETTLE_TIME: Micros = 2 * SECOND;

/// The size of the fleet and this dispatcher's index in it, as used by the decision logic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// The number of dispatchers including this one; at least 1.
    pub size: u32,
    /// The index of this one among them, from 0.
    pub index: u32,
}

/// The members that are counted as part of the fleet.
#[derive(Clone, Debug)]
pub struct MemberCount {
    configured: Fleet,
    longest_partition: Micros,
    name: CompactString,
    /// The counted members by name, each with the time of its failure; `None` while it is alive.
    counted: BTreeMap<CompactString, Option<Micros>>,
    last_changed_at: Micros,
    /// Whether configured members that were never seen are no longer counted; never reset.
    settled: bool,
}

impl MemberCount {
    /// Creates a count that starts with the configured fleet.
    pub fn new(name: &str, configured: Fleet, longest_partition: Micros, now: Micros) -> MemberCount {
        let name = CompactString::from(name);
        MemberCount {
            configured,
            longest_partition,
            counted: [(name.clone(), None)].into(),
            name,
            last_changed_at: now,
            settled: false,
        }
    }
    /// Applies a new configuration.
    pub fn configure(&mut self, configured: Fleet, longest_partition: Micros) {
        self.configured = configured;
        self.longest_partition = longest_partition;
    }
    /// Records that a member is alive.
    pub fn member_up(&mut self, name: &str, now: Micros) {
        if self.counted.insert(name.into(), None) != Some(None) {
            self.last_changed_at = now;
        }
    }
    /// Records that a member has failed without leaving.
    pub fn member_lost(&mut self, name: &str, now: Micros) {
        if let Some(failed_since @ None) = self.counted.get_mut(name).filter(|_| name != self.name) {
            *failed_since = Some(now);
            self.last_changed_at = now;
        }
    }
    /// Records that a member has left.
    pub fn member_left(&mut self, name: &str, now: Micros) {
        if name != self.name && self.counted.remove(name).is_some() {
            self.last_changed_at = now;
        }
    }
    /// Returns when a member last joined, failed or left.
    pub fn last_changed_at(&self) -> Micros {
        self.last_changed_at
    }
    /// Returns the number of counted members, both alive and failed.
    pub fn counted_members(&self) -> usize {
        self.counted.len()
    }

    /// Returns the fleet for the decision logic. `all_seeds_alive` is whether all seed members are alive.
    pub fn fleet(&mut self, now: Micros, all_seeds_alive: bool) -> Fleet {
        self.counted.retain(|_, failed_since| {
            failed_since.is_none_or(|failed_at| now - failed_at < self.longest_partition)
        });
        self.settled |= all_seeds_alive && now - self.last_changed_at >= SETTLE_TIME;
        let size = self.counted.len() as u32;
        if !self.settled && size <= self.configured.size {
            return self.configured;
        }
        // Before the count has settled, a partition that exists since the start might hide configured members.
        let index = self.counted.keys().position(|name| *name == self.name).unwrap_or(0) as u32;
        Fleet { size, index }
    }
}
