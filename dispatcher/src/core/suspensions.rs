//! Workers that staff has suspended: what the admin address asks for, and what the owner of the decisions tells them.
//!
//! The admin side never waits for the owner: it writes here and increments a generation, which the owner compares at
//! each turn of its loop. Kept under locks that nobody holds for long, off the path of streams.

use parking_lot::{Condvar, Mutex};
use roselock::WorkerId;
use roselock::settings::fnv;
use std::collections::{BTreeSet, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Most ids that are remembered as listed, and most suspended workers.
pub const MAX_SUSPENDED: usize = roselock_admin::suspension_file::MAX_WORKERS;

/// The suspended workers, and how far the owner has applied the changes.
#[derive(Default)]
pub struct Suspensions {
    workers: Mutex<SuspendedWorkers>,
    /// The number of the latest change, and of the latest that the owner has applied.
    generation: AtomicU64,
    applied: AtomicU64,
    /// The number, between processes, of the latest change that the file holds, and why a later one could not be written.
    saved: AtomicU64,
    unsaved: Mutex<Option<String>>,
    /// Wakes the thread that writes the file.
    changed: Condvar,
    /// Ids that the list has named in this process, or the one before it.
    listed: Mutex<HashSet<String>>,
}

/// The suspended workers, and the number of the latest change: between processes the greater number wins.
#[derive(Clone, Default, Debug, PartialEq, Eq)]
pub struct SuspendedWorkers {
    pub ids: BTreeSet<String>,
    pub sequence: u64,
}

/// The result of [`Suspensions::set`].
#[derive(Debug, PartialEq, Eq)]
pub enum SetResult {
    /// It is another set now: the owner has applied it once [`Suspensions::applied`] reaches this number.
    Changed(u64),
    /// It was so before.
    Unchanged,
}

impl Suspensions {
    /// Suspends a worker, or restores it; an id that was never listed is refused.
    pub fn set(&self, id: &str, suspended: bool) -> Result<SetResult, &'static str> {
        if !self.listed.lock().contains(id) {
            return Err("never listed");
        }
        let mut workers = self.workers.lock();
        if suspended && !workers.ids.contains(id) && workers.ids.len() >= MAX_SUSPENDED {
            return Err("too many workers out by hand");
        }
        let changed = if suspended { workers.ids.insert(id.to_owned()) } else { workers.ids.remove(id) };
        if !changed {
            return Ok(SetResult::Unchanged);
        }
        workers.sequence += 1;
        self.changed.notify_all();
        Ok(SetResult::Changed(self.generation.fetch_add(1, Ordering::SeqCst) + 1))
    }
    /// Takes over what another process wrote, if it is newer; true if that changed the set.
    pub fn adopt(&self, other: SuspendedWorkers) -> bool {
        let mut workers = self.workers.lock();
        if other.sequence <= workers.sequence {
            return false;
        }
        self.note_listed(other.ids.iter().map(String::as_str));
        let changed = other.ids != workers.ids;
        *workers = other;
        if changed {
            self.generation.fetch_add(1, Ordering::SeqCst);
        }
        changed
    }
    /// The suspended workers.
    pub fn workers(&self) -> SuspendedWorkers {
        self.workers.lock().clone()
    }
    /// Notes ids that the list names, up to [`MAX_SUSPENDED`].
    pub fn note_listed<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        let mut listed = self.listed.lock();
        for id in ids {
            if listed.len() >= MAX_SUSPENDED {
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
    /// The number of the latest change that the owner has applied.
    pub fn applied(&self) -> u64 {
        self.applied.load(Ordering::SeqCst)
    }
    /// Waits, on a thread, until there is a change after number `written`, at most so long.
    pub fn wait_for_change(&self, written: u64, most: Duration) -> SuspendedWorkers {
        let mut workers = self.workers.lock();
        self.changed.wait_while_for(&mut workers, |workers| workers.sequence <= written, most);
        workers.clone()
    }
    /// Notes that the file holds the changes up to this number, which counts between processes.
    pub fn mark_saved(&self, sequence: u64) {
        *self.unsaved.lock() = None;
        self.saved.fetch_max(sequence, Ordering::SeqCst);
    }
    /// Notes why the file could not be written.
    pub fn note_unsaved(&self, why: String) {
        *self.unsaved.lock() = Some(why);
    }
    /// Whether the file holds all changes, or why it does not yet.
    pub fn saved(&self) -> Result<(), String> {
        let wanted = self.workers.lock().sequence;
        if self.saved.load(Ordering::SeqCst) >= wanted {
            return Ok(());
        }
        Err(self.unsaved.lock().clone().unwrap_or_else(|| "the file is not written yet".to_owned()))
    }
    /// For the owner: the suspended workers, if there was a change after number `seen`.
    pub fn changed_since(&self, seen: u64) -> Option<(u64, BTreeSet<WorkerId>)> {
        let generation = self.generation();
        if generation == seen {
            return None;
        }
        let out = self.workers.lock().ids.iter().map(|id| WorkerId(fnv(id.as_bytes()))).collect();
        Some((generation, out))
    }
    /// Notes that the owner has told the decisions of this change.
    pub fn mark_applied(&self, generation: u64) {
        self.applied.fetch_max(generation, Ordering::SeqCst);
    }
}

#[cfg(test)]
#[path = "suspensions_tests.rs"]
mod tests;
