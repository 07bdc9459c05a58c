//! Who keeps the watch at the list service: a few members, by rendezvous hash (D. Thaler, C. Ravishankar: *Using
//! Name-Based Mappings to Increase Hit Rates*, 1998), at least two a zone. Who keeps it already goes on, so that a member
//! that comes up moves nobody; who fails to keep it is left out for a while.

use crate::{Micros, SECOND};
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};

/// How long what was said of an asker counts.
const SAID: Micros = 4 * SECOND;
/// Least askers in a zone.
const A_ZONE: usize = 2;
/// Most askers that are remembered.
const KNOWN: usize = 64;
/// Of the askers wanted, so many are elected on average while nobody knows all.
const EARLY: f64 = 0.7;

/// What is known of who keeps the watch.
#[derive(Clone, Debug, Default)]
pub struct Askers {
    /// By name: whether its watch is open, and when it said so, on our own clock.
    said: BTreeMap<CompactString, (bool, Micros)>,
}

/// A member for the election.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
}

/// A member's rank: less goes first.
pub fn rank(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), 0x7269_676e)
}

/// Whether a member asks while nobody knows all: as many of `told` members as are wanted, on average, without a word.
pub fn early(name: &str, wanted: usize, told: usize) -> bool {
    (rank(name) as f64) < u64::MAX as f64 * EARLY * wanted as f64 / told.max(1) as f64
}

impl Askers {
    /// A member keeps the watch (or fails to), as of then.
    pub fn said(&mut self, name: &str, open: bool, at: Micros) {
        let later = self.said.get(name).is_none_or(|said| at > said.1);
        if later && (self.said.len() < KNOWN || self.said.contains_key(name)) {
            self.said.insert(name.into(), (open, at));
        }
    }
    /// What was said lately: name, whether its watch is open, when.
    pub fn known(&self, now: Micros) -> impl Iterator<Item = (&str, bool, Micros)> {
        self.said
            .iter()
            .map(|(name, (open, at))| (name.as_str(), *open, *at))
            .filter(move |s| now - s.2 < SAID)
    }
    /// Forgets what is old.
    pub fn forget(&mut self, now: Micros) {
        self.said.retain(|_, (_, at)| now - *at < SAID);
    }
    /// How many watches are open.
    pub fn open(&self, now: Micros) -> usize {
        self.known(now).filter(|s| s.1).count()
    }

    /// Who is to keep the watch, of these members.
    pub fn wanted<'a>(&self, now: Micros, members: &[Candidate<'a>], wanted: usize) -> BTreeSet<&'a str> {
        let said: BTreeMap<&str, bool> = self.known(now).map(|(name, open, _)| (name, open)).collect();
        // Those whose watch is open, then those of whom nothing is said, then those who fail.
        let key = |c: &Candidate<'a>| {
            let class = match said.get(c.name) {
                Some(true) => 0,
                None => 1,
                Some(false) => 2,
            };
            (class, rank(c.name), c.name)
        };
        let mut order: Vec<Candidate<'a>> = members.to_vec();
        order.sort_unstable_by_key(key);
        let mut chosen: BTreeSet<&'a str> = BTreeSet::new();
        let mut by_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for c in &order {
            let here = by_zone.entry(c.zone).or_insert(0);
            if *here < A_ZONE {
                *here += 1;
                chosen.insert(c.name);
            }
        }
        for c in &order {
            if chosen.len() >= wanted {
                break;
            }
            chosen.insert(c.name);
        }
        chosen
    }
}
