//! Workers out by hand: what the admin address asks for, and what the owner of the decisions tells them. The admin
//! side never waits for the owner: it writes here and counts a generation up, which the owner compares at each
//! turn of its loop. Kept under locks that nobody holds for long, off the path of streams.

use roselock::WorkerId;
use roselock::settings::fnv;
use std::collections::{BTreeSet, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Most ids that are remembered as listed, and most workers out by hand.
pub const MOST: usize = roselock_operation::saved::MOST;

/// What is wanted, and what the owner has done of it.
#[derive(Default)]
pub struct ByHand {
    wanted: Mutex<Wanted>,
    /// Counts the changes of what is wanted, and the last one that the owner has told the decisions.
    generation: AtomicU64,
    applied: AtomicU64,
    /// Ids that the list has named in this process's life, or the one before it.
    listed: Mutex<HashSet<String>>,
}

/// The workers out, and the number of the change that made them so: the greater number holds between processes.
#[derive(Clone, Default, Debug, PartialEq, Eq)]
pub struct Wanted {
    pub out: BTreeSet<String>,
    pub seq: u64,
}

/// What a call did.
#[derive(Debug, PartialEq, Eq)]
pub enum Done {
    /// It changed what is wanted: the owner has it once [`ByHand::applied`] reaches this.
    Changed(u64),
    /// It was so already.
    Already,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ByHand {
    /// Takes a worker out, or gives it back; an id that was never listed is refused.
    pub fn set(&self, id: &str, out: bool) -> Result<Done, &'static str> {
        if !lock(&self.listed).contains(id) {
            return Err("never listed");
        }
        let mut wanted = lock(&self.wanted);
        if out && !wanted.out.contains(id) && wanted.out.len() >= MOST {
            return Err("too many workers out by hand");
        }
        let changed = if out { wanted.out.insert(id.to_owned()) } else { wanted.out.remove(id) };
        if !changed {
            return Ok(Done::Already);
        }
        wanted.seq += 1;
        Ok(Done::Changed(self.generation.fetch_add(1, Ordering::SeqCst) + 1))
    }
    /// Takes what another process wrote, where it is newer; true if it changed anything.
    pub fn adopt(&self, other: Wanted) -> bool {
        let mut wanted = lock(&self.wanted);
        if other.seq <= wanted.seq {
            return false;
        }
        self.listed(other.out.iter().map(String::as_str));
        let changed = other.out != wanted.out;
        *wanted = other;
        if changed {
            self.generation.fetch_add(1, Ordering::SeqCst);
        }
        changed
    }
    /// What is wanted now.
    pub fn wanted(&self) -> Wanted {
        lock(&self.wanted).clone()
    }
    /// Notes ids that the list names, up to [`MOST`].
    pub fn listed<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        let mut listed = lock(&self.listed);
        for id in ids {
            if listed.len() >= MOST {
                return;
            }
            if !listed.contains(id) {
                listed.insert(id.to_owned());
            }
        }
    }
    /// The number of the latest change.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::SeqCst)
    }
    /// The number of the latest change that the owner has told the decisions.
    pub fn applied(&self) -> u64 {
        self.applied.load(Ordering::SeqCst)
    }
    /// The owner: what is wanted now, as workers, if it changed since `seen`; and notes that it is told.
    pub fn take(&self, seen: u64) -> Option<(u64, BTreeSet<WorkerId>)> {
        let generation = self.generation();
        if generation == seen {
            return None;
        }
        let out = lock(&self.wanted).out.iter().map(|id| WorkerId(fnv(id.as_bytes()))).collect();
        Some((generation, out))
    }
    /// The owner has told the decisions of this change.
    pub fn told(&self, generation: u64) {
        self.applied.fetch_max(generation, Ordering::SeqCst);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_idempotent_and_only_for_listed_ids() {
        let hand = ByHand::default();
        assert_eq!(hand.set("s-1", true), Err("never listed"));
        hand.listed(["s-1", "s-2"].into_iter());
        assert_eq!(hand.set("s-1", true), Ok(Done::Changed(1)));
        assert_eq!(hand.set("s-1", true), Ok(Done::Already));
        let (generation, out) = hand.take(0).unwrap();
        assert_eq!((generation, out.len()), (1, 1));
        assert_eq!(hand.take(generation), None);
        assert_eq!(hand.set("s-1", false), Ok(Done::Changed(2)));
        assert_eq!(hand.set("s-2", false), Ok(Done::Already));
    }

    #[test]
    fn the_newer_change_holds_between_processes() {
        let hand = ByHand::default();
        hand.listed(["s-1"].into_iter());
        hand.set("s-1", true).unwrap();
        let old = Wanted { out: BTreeSet::new(), seq: 1 };
        assert!(!hand.adopt(old), "as old as what is here");
        let newer = Wanted { out: ["s-9".to_owned()].into(), seq: 5 };
        assert!(hand.adopt(newer.clone()));
        assert_eq!(hand.wanted(), newer);
        // What another process took out may be given back here.
        assert_eq!(hand.set("s-9", false), Ok(Done::Changed(3)));
    }
}
