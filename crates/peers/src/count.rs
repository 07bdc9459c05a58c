//! How many dispatchers there are, for the decisions: never fewer while a cut may be healing.
//!
//! A cold worker's budget is shared by that number. Two sides of a split that each counted only themselves would together
//! send it twice what it bears. So who was lost without a word is counted on for `heal`, the longest cut that an
//! installation reckons with: for as long, each side counts all, and both together send what one fleet would.

use crate::{Micros, SECOND};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// How long the view must have rested before those who were told and never seen are not counted.
pub const RESTED: Micros = 2 * SECOND;

/// What the decisions are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// How many there are, this one included; at least 1.
    pub size: u32,
    /// This one's number among them, from 0.
    pub me: u32,
}

/// Who counts.
#[derive(Clone, Debug)]
pub struct Count {
    told: Fleet,
    heal: Micros,
    name: CompactString,
    /// By name: when it was lost, if it is not alive.
    known: BTreeMap<CompactString, Option<Micros>>,
    changed: Micros,
    /// Those told and never seen are not counted any more.
    settled: bool,
}

impl Count {
    /// Begins with what was told.
    pub fn new(name: &str, told: Fleet, heal: Micros, now: Micros) -> Count {
        let name = CompactString::from(name);
        Count { told, heal, known: [(name.clone(), None)].into(), name, changed: now, settled: false }
    }
    /// Other figures are told.
    pub fn tell(&mut self, told: Fleet, heal: Micros) {
        (self.told, self.heal) = (told, heal);
    }
    /// A member came up.
    pub fn up(&mut self, name: &str, now: Micros) {
        if self.known.insert(name.into(), None) != Some(None) {
            self.changed = now;
        }
    }
    /// A member was lost without a word.
    pub fn lost(&mut self, name: &str, now: Micros) {
        if let Some(since @ None) = self.known.get_mut(name).filter(|_| name != self.name) {
            (*since, self.changed) = (Some(now), now);
        }
    }
    /// A member left by its word.
    pub fn left(&mut self, name: &str, now: Micros) {
        if name != self.name && self.known.remove(name).is_some() {
            self.changed = now;
        }
    }
    /// When the view last changed.
    pub fn changed(&self) -> Micros {
        self.changed
    }
    /// Members known, alive or counted on.
    pub fn known(&self) -> usize {
        self.known.len()
    }

    /// What the decisions are to go by.
    pub fn fleet(&mut self, now: Micros, all_seeds: bool) -> Fleet {
        self.known.retain(|_, since| since.is_none_or(|at| now - at < self.heal));
        self.settled |= all_seeds && now - self.changed >= RESTED;
        let size = self.known.len() as u32;
        if !self.settled && size <= self.told.size {
            return self.told;
        }
        // Of a split at the start, either side might hide those that were told.
        let me = self.known.keys().position(|n| *n == self.name).unwrap_or(0) as u32;
        Fleet { size, me }
    }
}
