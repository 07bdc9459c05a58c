//! Passes the suspended workers from one process to the next through a file in `$TMPDIR`, the only storage
//! that persists, and only across an upgrade. A background thread writes the file when they change, and reads
//! it when another process has written it, so that suspending or restoring a worker at one of two concurrent
//! processes applies to both. A write adds the changes of this process to what the file holds, under a lock.

use super::file_names::sanitize;
use crate::core::Inbox;
use crate::core::suspensions::{MAX_SUSPENDED, SuspendedWorkers, Suspensions, UnsavedChanges};
use roselock_admin::suspension_file::SuspensionFile;
use rustix::fs::{FlockOperation, flock};
use std::fs::File;
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval between checks of the file.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between writes of a file without changes. A file that has not been written for long is ignored, and a
/// suspension lasts until the worker is restored.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3600);
/// How long a write waits for the lock, which the other process of an upgrade holds while it writes.
const LOCK_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval between attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// Synchronizes the suspended workers with the file.
pub struct SuspensionStore {
    /// The client listen address, which identifies the file as ours: both processes of an upgrade have the
    /// same.
    listen_address: String,
    /// Name of the dispatcher.
    name: String,
    path: PathBuf,
    suspensions: Arc<Suspensions>,
    /// Identifies the file version that was last read or written.
    fingerprint: Option<FileFingerprint>,
    /// When the file was last written by this process, or else when this process started.
    written_at: Instant,
}

/// Detects changes of the file. Each write creates a new file, so a change shows even if the wall clock is
/// wrong.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileFingerprint {
    inode: u64,
    modified: SystemTime,
    bytes: u64,
}

impl SuspensionStore {
    /// Restores the suspended workers that the previous process saved. Must be called before the admin
    /// interface starts.
    pub fn load(listen_address: String, name: String, suspensions: Arc<Suspensions>) -> SuspensionStore {
        let path = file_path(&name);
        // Taken before the file is read, so that a write in between is detected as a change.
        let fingerprint = FileFingerprint::of(&path);
        let store = SuspensionStore {
            listen_address,
            name,
            path,
            suspensions,
            fingerprint,
            written_at: Instant::now(),
        };
        if let Some(saved) = store.read() {
            tracing::info!(name = %store.name, count = saved.ids.len(), "restored suspended workers");
            store.suspensions.adopt(saved);
        }
        store
    }

    /// Synchronizes the suspended workers with the file on a dedicated thread until the process exits.
    pub fn spawn_sync(mut self, inbox: Inbox) {
        std::thread::spawn(move || {
            loop {
                self.apply_file_changes(&inbox);
                self.save_changes(&inbox);
                self.refresh_if_due(Instant::now());
            }
        });
    }

    /// Applies the suspended workers that another process has written to the file.
    fn apply_file_changes(&mut self, inbox: &Inbox) {
        let fingerprint = FileFingerprint::of(&self.path);
        if fingerprint == self.fingerprint {
            return;
        }
        self.fingerprint = fingerprint;
        let Some(saved) = self.read() else { return };
        let count = saved.ids.len();
        if self.suspensions.adopt(saved) {
            tracing::info!(name = %self.name, count, "applied suspended workers from another process");
            inbox.wake();
        }
    }

    /// Waits up to [`POLL_INTERVAL`] for changes, and adds them to the file.
    fn save_changes(&mut self, inbox: &Inbox) {
        let changes = self.suspensions.wait_for_unsaved(POLL_INTERVAL);
        if changes.is_empty() {
            return;
        }
        match self.add_to_file(&changes) {
            Ok(written) => {
                if self.suspensions.mark_saved(&changes, written) {
                    inbox.wake();
                }
            }
            Err(error) => {
                let path = self.path.display();
                tracing::warn!(name = %self.name, %path, reason = %error, "cannot write suspended workers");
                self.suspensions.record_save_failure(error.to_string());
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Writes the file again if it holds suspended workers and has not been written for long.
    fn refresh_if_due(&mut self, now: Instant) {
        if now.duration_since(self.written_at) < REFRESH_INTERVAL {
            return;
        }
        self.written_at = now;
        if self.suspensions.workers().ids.is_empty() {
            return;
        }
        match self.add_to_file(&UnsavedChanges::new()) {
            Ok(written) => _ = self.suspensions.adopt(written),
            Err(error) => {
                let path = self.path.display();
                tracing::warn!(name = %self.name, %path, reason = %error, "cannot write suspended workers");
            }
        }
    }

    /// Adds changes to the set in the file, which another process may have written meanwhile. Returns the new set.
    fn add_to_file(&mut self, changes: &UnsavedChanges) -> io::Result<SuspendedWorkers> {
        let _lock = self.lock()?;
        let known = self.suspensions.workers();
        let base = self.read().filter(|saved| saved.sequence >= known.sequence).unwrap_or(known);
        let new = base.with_changes(changes);
        if new.ids.len() > MAX_SUSPENDED {
            return Err(io::Error::other("too many workers out by hand"));
        }
        self.write(&new)?;
        self.fingerprint = FileFingerprint::of(&self.path);
        self.written_at = Instant::now();
        Ok(new)
    }

    /// Takes the lock on writing, which is released when the returned file is closed.
    fn lock(&self) -> io::Result<File> {
        let file =
            File::options().create(true).append(true).open(self.path.with_extension("suspended-lock"))?;
        let since = Instant::now();
        loop {
            match flock(&file, FlockOperation::NonBlockingLockExclusive) {
                Ok(()) => return Ok(file),
                Err(error) if since.elapsed() >= LOCK_TIMEOUT => return Err(error.into()),
                Err(_) => std::thread::sleep(LOCK_RETRY_INTERVAL),
            }
        }
    }

    /// Reads the file. An unreadable or invalid file is logged and ignored.
    fn read(&self) -> Option<SuspendedWorkers> {
        let name = &self.name;
        let path = self.path.display();
        let bytes = match std::fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(error) => {
                tracing::warn!(%name, %path, reason = %error, "cannot read suspended workers, ignoring the file");
                return None;
            }
        };
        match SuspensionFile::decode(&bytes, &self.listen_address, name, unix_time_ms()) {
            Ok(file) => {
                let ids = file.workers.into_iter().collect();
                Some(SuspendedWorkers { ids, sequence: file.seq })
            }
            Err(error) => {
                tracing::warn!(%name, %path, reason = %error, "ignoring invalid suspension file");
                None
            }
        }
    }

    /// Replaces the file atomically, and syncs the new file and its directory so that both survive a crash.
    fn write(&self, workers: &SuspendedWorkers) -> io::Result<()> {
        let content = SuspensionFile {
            site: self.listen_address.clone(),
            name: self.name.clone(),
            seq: workers.sequence,
            written_ms: unix_time_ms(),
            workers: workers.ids.iter().cloned().collect(),
        };
        let new_path = self.path.with_extension(format!("new-{}", std::process::id()));
        let mut file = File::create(&new_path)?;
        file.write_all(&content.encode())?;
        file.sync_all()?;
        std::fs::rename(&new_path, &self.path)?;
        match self.path.parent() {
            Some(directory) => File::open(directory)?.sync_all(),
            None => Ok(()),
        }
    }
}

impl FileFingerprint {
    fn of(path: &Path) -> Option<FileFingerprint> {
        let metadata = std::fs::metadata(path).ok()?;
        let modified = metadata.modified().ok()?;
        Some(FileFingerprint { inode: metadata.ino(), modified, bytes: metadata.len() })
    }
}

fn file_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("roselock-{}.suspended", sanitize(name)))
}

/// The current Unix time in milliseconds.
fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

#[cfg(test)]
#[path = "suspension_store_tests.rs"]
mod tests;
