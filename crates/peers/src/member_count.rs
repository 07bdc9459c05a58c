//! The number of dispatchers, for the decisions. It does not decrease while a network partition may heal.
//!
//! The slow-start budget of a worker is divided by that number. If the two sides of a partition each counted only
//! themselves, they would together send the worker twice its budget. So a member that has failed without leaving still
//! counts for `longest_partition`, the longest partition that an installation expects: for that time each side counts all
//! members, and both together send what one fleet would.

use crate::{Micros, SECOND};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// How long the members must not have changed until configured members that were never seen no longer count.
pub const SETTLE_TIME: Micros = 2 * SECOND;

/// The fleet as the decisions see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// The number of dispatchers, this one included; at least 1.
    pub size: u32,
    /// The index of this one among them, from 0.
    pub me: u32,
}

/// The members that count.
#[derive(Clone, Debug)]
pub struct MemberCount {
    configured: Fleet,
    longest_partition: Micros,
    name: CompactString,
    /// By name: since when a member has failed; none while it is alive.
    counted: BTreeMap<CompactString, Option<Micros>>,
    last_change: Micros,
    /// Whether configured members that were never seen no longer count.
    settled: bool,
}

impl MemberCount {
    /// Starts with the configured fleet.
    pub fn new(name: &str, configured: Fleet, longest_partition: Micros, now: Micros) -> MemberCount {
        let name = CompactString::from(name);
        MemberCount {
            configured,
            longest_partition,
            counted: [(name.clone(), None)].into(),
            name,
            last_change: now,
            settled: false,
        }
    }
    /// Applies a new configuration.
    pub fn configure(&mut self, configured: Fleet, longest_partition: Micros) {
        self.configured = configured;
        self.longest_partition = longest_partition;
    }
    /// A member is alive.
    pub fn member_up(&mut self, name: &str, now: Micros) {
        if self.counted.insert(name.into(), None) != Some(None) {
            self.last_change = now;
        }
    }
    /// A member has failed without leaving.
    pub fn member_lost(&mut self, name: &str, now: Micros) {
        if let Some(failed_since @ None) = self.counted.get_mut(name).filter(|_| name != self.name) {
            *failed_since = Some(now);
            self.last_change = now;
        }
    }
    /// A member has left.
    pub fn member_left(&mut self, name: &str, now: Micros) {
        if name != self.name && self.counted.remove(name).is_some() {
            self.last_change = now;
        }
    }
    /// When the members last changed.
    pub fn changed(&self) -> Micros {
        self.last_change
    }
    /// The number of members that count, alive or failed.
    pub fn known(&self) -> usize {
        self.counted.len()
    }

    /// The fleet for the decisions. `all_seeds` tells whether all seed members are alive.
    pub fn fleet(&mut self, now: Micros, all_seeds: bool) -> Fleet {
        self.counted
            .retain(|_, failed_since| failed_since.is_none_or(|at| now - at < self.longest_partition));
        self.settled |= all_seeds && now - self.last_change >= SETTLE_TIME;
        let size = self.counted.len() as u32;
        if !self.settled && size <= self.configured.size {
            return self.configured;
        }
        // Up to here a partition since the start might hide configured members.
        let me = self.counted.keys().position(|name| *name == self.name).unwrap_or(0) as u32;
        Fleet { size, me }
    }
}
