//! Workers that operators have suspended. Requests to the admin address change the set, and the event loop passes the
//! changes on to the decision logic.
//!
//! The admin code never waits for the event loop: it changes the set and increments a generation number, which the
//! event loop checks in each iteration. The locks are held only briefly, and no stream needs one.

use parking_lot::{Condvar, Mutex};
use roselock::WorkerId;
use roselock::settings::fnv1a;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Maximum number of ids that are remembered as listed, and of suspended workers.
pub const MAX_SUSPENDED: usize = roselock_admin::suspension_file::MAX_WORKERS;

/// The suspended workers, and which of the changes have been applied by the event loop and saved to the file.
#[derive(Default)]
pub struct Suspensions {
    state: Mutex<State>,
    /// The generation of the latest change in this process.
    generation: AtomicU64,
    /// The generation of the latest change that the event loop has applied.
    applied: AtomicU64,
    /// Why the file could not be written, if the latest write failed.
    save_failure: Mutex<Option<String>>,
    /// Wakes the thread that writes the file.
    changed: Condvar,
    /// Ids that have been in the endpoint list of this process, or of its predecessor in an upgrade.
    listed: Mutex<HashSet<String>>,
}

/// The suspended workers, and the changes among them that the file does not hold.
#[derive(Default)]
struct State {
    /// The set in the file, with the unsaved changes applied.
    workers: SuspendedWorkers,
    unsaved: UnsavedChanges,
}

/// Changes that this process has made and the file does not hold: for each worker whether it is suspended now.
pub type UnsavedChanges = BTreeMap<String, bool>;

/// The suspended workers, with the sequence number of the file that holds them. Each write of the file, by either
/// process of an upgrade, has a greater number than the one before.
#[derive(Clone, Default, Debug, PartialEq, Eq)]
pub struct SuspendedWorkers {
    /// Their ids.
    pub ids: BTreeSet<String>,
    /// The sequence number of the file.
    pub sequence: u64,
}

impl SuspendedWorkers {
    /// The next set to write: this one with these changes.
    #[must_use]
    pub fn with_changes(mut self, changes: &UnsavedChanges) -> SuspendedWorkers {
        self.sequence += 1;
        self.apply(changes);
        self
    }

    fn apply(&mut self, changes: &UnsavedChanges) {
        for (id, suspended) in changes {
            if *suspended {
                self.ids.insert(id.clone());
            } else {
                self.ids.remove(id);
            }
        }
    }
}

/// The result of [`Suspensions::set`].
#[derive(Debug, PartialEq, Eq)]
pub enum SetResult {
    /// The set has changed. The event loop has applied the change once [`Suspensions::applied`] reaches this
    /// generation.
    Changed(u64),
    /// The worker was already in the requested state.
    Unchanged,
}

/// A change of the set, for the event loop.
#[derive(Debug, PartialEq, Eq)]
pub struct SuspensionChange {
    /// The generation of the latest change.
    pub generation: u64,
    /// All suspended workers.
    pub suspended: BTreeSet<WorkerId>,
}

/// Why a worker cannot be suspended or restored. The texts are sent in replies of the admin address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SuspensionError {
    /// The worker has never been in the endpoint list.
    #[error("never listed")]
    NeverListed,
    /// [`MAX_SUSPENDED`] workers are already suspended.
    #[error("too many workers out by hand")]
    TooMany,
}

/// Why the file does not hold all changes. The texts are sent in replies of the admin address.
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
    /// If the worker has never been in the endpoint list, or if too many workers are suspended.
    pub fn set(&self, id: &str, suspended: bool) -> Result<SetResult, SuspensionError> {
        if !self.listed.lock().contains(id) {
            return Err(SuspensionError::NeverListed);
        }
        let mut state = self.state.lock();
        let State { workers, unsaved } = &mut *state;
        if suspended && !workers.ids.contains(id) && workers.ids.len() >= MAX_SUSPENDED {
            return Err(SuspensionError::TooMany);
        }
        let changed = if suspended { workers.ids.insert(id.to_owned()) } else { workers.ids.remove(id) };
        if !changed {
            return Ok(SetResult::Unchanged);
        }
        unsaved.insert(id.to_owned(), suspended);
        self.changed.notify_all();
        let previous_generation = self.generation.fetch_add(1, Ordering::SeqCst);
        Ok(SetResult::Changed(previous_generation + 1))
    }
    /// Adopts the set in the file, if it is newer than the one that was adopted last. Changes of this process that the
    /// file does not hold stay in force. Returns whether that changed the set.
    pub fn adopt(&self, file: SuspendedWorkers) -> bool {
        self.adopt_into(&mut self.state.lock(), file)
    }
    fn adopt_into(&self, state: &mut State, mut file: SuspendedWorkers) -> bool {
        if file.sequence <= state.workers.sequence {
            return false;
        }
        self.record_listed(file.ids.iter().map(String::as_str));
        file.apply(&state.unsaved);
        let changed = file.ids != state.workers.ids;
        state.workers = file;
        if changed {
            self.generation.fetch_add(1, Ordering::SeqCst);
        }
        changed
    }
    /// The suspended workers.
    pub fn workers(&self) -> SuspendedWorkers {
        self.state.lock().workers.clone()
    }
    /// Records ids from the endpoint list, up to [`MAX_SUSPENDED`].
    pub fn record_listed<'a>(&self, ids: impl Iterator<Item = &'a str>) {
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
    /// The generation of the latest change.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::SeqCst)
    }
    /// The generation of the latest change that the event loop has applied.
    pub fn applied(&self) -> u64 {
        self.applied.load(Ordering::SeqCst)
    }
    /// Blocks the thread until there are unsaved changes, at most for `timeout`. Returns them.
    pub fn wait_for_unsaved(&self, timeout: Duration) -> UnsavedChanges {
        let mut state = self.state.lock();
        self.changed.wait_while_for(&mut state, |state| state.unsaved.is_empty(), timeout);
        state.unsaved.clone()
    }
    /// Records that the file has been written with these changes, and adopts what it holds now. Returns whether that
    /// changed the set.
    pub fn mark_saved(&self, changes: &UnsavedChanges, written: SuspendedWorkers) -> bool {
        *self.save_failure.lock() = None;
        let mut state = self.state.lock();
        // A worker that has been changed back meanwhile is still unsaved.
        state.unsaved.retain(|id, suspended| changes.get(id) != Some(suspended));
        self.adopt_into(&mut state, written)
    }
    /// Records why the file could not be written.
    pub fn record_save_failure(&self, reason: String) {
        *self.save_failure.lock() = Some(reason);
    }
    /// Checks that the file holds all changes.
    ///
    /// # Errors
    ///
    /// If it does not, with the reason.
    pub fn saved(&self) -> Result<(), UnsavedError> {
        if self.state.lock().unsaved.is_empty() {
            return Ok(());
        }
        match &*self.save_failure.lock() {
            Some(reason) => Err(UnsavedError::WriteFailed(reason.clone())),
            None => Err(UnsavedError::NotWritten),
        }
    }
    /// For the event loop: the suspended workers, if there was a change after generation `seen`.
    pub fn changed_since(&self, seen: u64) -> Option<SuspensionChange> {
        let generation = self.generation();
        if generation == seen {
            return None;
        }
        let ids = self.state.lock().workers.ids.clone();
        let suspended = ids.iter().map(|id| WorkerId(fnv1a(id.as_bytes()))).collect();
        Some(SuspensionChange { generation, suspended })
    }
    /// Records that the event loop has passed the changes up to this generation on to the decision logic.
    pub fn mark_applied(&self, generation: u64) {
        self.applied.fetch_max(generation, Ordering::SeqCst);
    }
}

#[cfg(test)]
#[path = "suspensions_tests.rs"]
mod tests;
