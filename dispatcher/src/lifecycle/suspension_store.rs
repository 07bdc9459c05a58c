//! Passes the suspended workers from one process to the next through a file in `$TMPDIR`, the only storage
//! that persists, and only across an upgrade. A background thread writes the file when they change, and reads
//! it when another process has written it, so that suspending or restoring a worker at one of two concurrent
//! processes applies to both.

use crate::core::Inbox;
use crate::core::suspensions::{SuspendedWorkers, Suspensions};
use roselock_admin::suspension_file::SuspensionFile;
use std::fs::File;
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval between checks of the file.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Synchronizes the suspended workers with the file.
pub struct SuspensionStore {
    /// The client listen address, which identifies the file as ours: both processes of an upgrade have the
    /// same.
    listen_address: String,
    /// Name of the dispatcher.
    name: String,
    path: PathBuf,
    suspensions: Arc<Suspensions>,
    /// The suspended workers as last read from or written to the file.
    synced: SuspendedWorkers,
    /// Identifies the file version that was last read or written.
    fingerprint: Option<FileFingerprint>,
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
        let synced = SuspendedWorkers::default();
        let mut store = SuspensionStore { listen_address, name, path, suspensions, synced, fingerprint };
        if let Some(saved) = store.read() {
            tracing::info!(name = %store.name, count = saved.ids.len(), "restored suspended workers");
            let sequence = saved.sequence;
            store.suspensions.adopt(saved);
            store.suspensions.mark_saved(sequence);
        }
        store.synced = store.suspensions.workers();
        store
    }

    /// Synchronizes the suspended workers with the file on a dedicated thread until the process exits.
    pub fn spawn_sync(mut self, inbox: Inbox) {
        std::thread::spawn(move || {
            loop {
                self.apply_file_changes(&inbox);
                self.write_local_changes();
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
        self.synced = saved.clone();
        self.suspensions.mark_saved(saved.sequence);
        let count = saved.ids.len();
        if self.suspensions.adopt(saved) {
            tracing::info!(name = %self.name, count, "applied suspended workers from another process");
            inbox.wake();
        }
    }

    /// Waits up to [`POLL_INTERVAL`] for a change, and writes it to the file.
    fn write_local_changes(&mut self) {
        let current = self.suspensions.wait_for_change(self.synced.sequence, POLL_INTERVAL);
        if current.sequence <= self.synced.sequence {
            return;
        }
        match self.write(&current) {
            Ok(()) => {
                self.suspensions.mark_saved(current.sequence);
                self.synced = current;
                self.fingerprint = FileFingerprint::of(&self.path);
            }
            Err(error) => {
                let path = self.path.display();
                tracing::warn!(name = %self.name, %path, reason = %error, "cannot write suspended workers");
                self.suspensions.record_save_failure(error.to_string());
                std::thread::sleep(POLL_INTERVAL);
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
    let sanitize = |character: char| if character.is_ascii_alphanumeric() { character } else { '_' };
    let name: String = name.chars().map(sanitize).collect();
    std::env::temp_dir().join(format!("roselock-{name}.suspended"))
}

/// The current Unix time in milliseconds.
fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
