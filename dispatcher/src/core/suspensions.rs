//! Workers that staff has suspended: the admin address changes the set, and the owner thread passes the changes on to the
//! decisions.
//!
//! The admin side never waits for the owner: it changes the set here and increments a generation, which the owner compares
//! in each iteration of its loop. The locks are held only briefly, and no stream needs one.

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
    /// The number of the latest change in this process.
    generation: AtomicU64,
    /// The number of the latest change that the owner has applied.
    applied: AtomicU64,
    /// The sequence number, common to both processes of an upgrade, of the latest change that the file holds.
    saved: AtomicU64,
    /// Why the file could not be written, if the latest write failed.
    save_failure: Mutex<Option<String>>,
    /// Wakes the thread that writes the file.
    changed: Condvar,
    /// Ids that the endpoint list has named in this process, or in its predecessor in an upgrade.
    listed: Mutex<HashSet<String>>,
}

/// The suspended workers, with the sequence number of the latest change: between processes the greater number wins.
#[derive(Clone, Default, Debug, PartialEq, Eq)]
pub struct SuspendedWorkers {
    /// Their ids.
    pub ids: BTreeSet<String>,
    /// The sequence number of the latest change.
    pub sequence: u64,
}

/// The result of [`Suspensions::set`].
#[derive(Debug, PartialEq, Eq)]
pub enum SetResult {
    /// The set has changed: the owner has applied the change once [`Suspensions::applied`] reaches this number.
    Changed(u64),
    /// The worker was in that state before.
    Unchanged,
}

/// A change of the set, for the owner.
#[derive(Debug, PartialEq, Eq)]
pub struct SuspensionChange {
    /// The number of the latest change.
    pub generation: u64,
    /// All suspended workers.
    pub suspended: BTreeSet<WorkerId>,
}

/// Why a worker cannot be suspended or restored. The admin address answers with these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SuspensionError {
    /// The endpoint list has never named it.
    #[error("never listed")]
    NeverListed,
    /// [`MAX_SUSPENDED`] workers are suspended.
    #[error("too many workers out by hand")]
    TooMany,
}

/// Why the file does not hold all changes. The admin address answers with these texts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsavedError {
    /// The file has not been written since the latest change.
    #[error("the file is not written yet")]
    NotWritten,
    /// The latest write failed, for this reason.
    #[error("{0}")]
    WriteFailed(String),
}

impl Suspensions {
    /// Suspends a worker, or restores it.
    ///
    /// # Errors
    ///
    /// If the endpoint list has never named the worker, or too many workers are suspended.
    pub fn set(&self, id: &str, suspended: bool) -> Result<SetResult, SuspensionError> {
        if !self.listed.lock().contains(id) {
            return Err(SuspensionError::NeverListed);
        }
        let mut workers = self.workers.lock();
        if suspended && !workers.ids.contains(id) && workers.ids.len() >= MAX_SUSPENDED {
            return Err(SuspensionError::TooMany);
        }
        let changed = if suspended { workers.ids.insert(id.to_owned()) } else { workers.ids.remove(id) };
        if !changed {
            return Ok(SetResult::Unchanged);
        }
        workers.sequence += 1;
        self.changed.notify_all();
        let previous_generation = self.generation.fetch_add(1, Ordering::SeqCst);
        Ok(SetResult::Changed(previous_generation + 1))
    }
    /// Adopts what another process wrote, if it is newer. Returns whether that changed the set.
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
    /// Blocks the thread until there is a change after sequence number `written`, at most so long; returns the set.
    pub fn wait_for_change(&self, written: u64, timeout: Duration) -> SuspendedWorkers {
        let mut workers = self.workers.lock();
        self.changed.wait_while_for(&mut workers, |workers| workers.sequence <= written, timeout);
        workers.clone()
    }
    /// Notes that the file holds the changes up to this sequence number.
    pub fn mark_saved(&self, sequence: u64) {
        *self.save_failure.lock() = None;
        self.saved.fetch_max(sequence, Ordering::SeqCst);
    }
    /// Notes why the file could not be written.
    pub fn note_unsaved(&self, reason: String) {
        *self.save_failure.lock() = Some(reason);
    }
    /// Whether the file holds all changes.
    ///
    /// # Errors
    ///
    /// If it does not, with the reason.
    pub fn saved(&self) -> Result<(), UnsavedError> {
        let latest = self.workers.lock().sequence;
        if self.saved.load(Ordering::SeqCst) >= latest {
            return Ok(());
        }
        match &*self.save_failure.lock() {
            Some(reason) => Err(UnsavedError::WriteFailed(reason.clone())),
            None => Err(UnsavedError::NotWritten),
        }
    }
    /// For the owner: the suspended workers, if there was a change after generation `seen`.
    pub fn changed_since(&self, seen: u64) -> Option<SuspensionChange> {
        let generation = self.generation();
        if generation == seen {
            return None;
        }
        let suspended = self.workers.lock().ids.iter().map(|id| WorkerId(fnv(id.as_bytes()))).collect();
        Some(SuspensionChange { generation, suspended })
    }
    /// Notes that the owner has passed this change on to the decisions.
    pub fn mark_applied(&self, generation: u64) {
        self.applied.fetch_max(generation, Ordering::SeqCst);
    }
}

#[cfg(test)]
#[path = "suspensions_tests.rs"]
mod tests;
