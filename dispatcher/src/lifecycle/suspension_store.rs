//! What passes from one process to the next through `$TMPDIR`, the only disk that lasts, and only across an
//! upgrade: the suspended workers. A thread of its own writes the file when they change, and reads it when
//! another process has written it, so that a call at either of two processes that serve side by side holds at both.

use crate::core::Inbox;
use crate::core::suspensions::{SuspendedWorkers, Suspensions};
use roselock_admin::suspension_file::SuspensionFile;
use std::fs::File;
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often the file is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the file and the suspended workers in step.
pub struct SuspensionStore {
    /// The clients' address, which marks the file as ours: the same for both processes of an upgrade.
    site: String,
    /// The dispatcher's name.
    name: String,
    path: PathBuf,
    suspensions: Arc<Suspensions>,
    /// What the file holds.
    written: SuspendedWorkers,
    /// The file as it was last read or written.
    stamp: Option<FileStamp>,
}

/// Tells that the file changed: each write makes another file, whatever the wall clock says.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    modified: SystemTime,
    bytes: u64,
}

impl SuspensionStore {
    /// Restores the suspended workers of the previous process. To be called before the admin address opens.
    pub fn load(site: String, name: String, suspensions: Arc<Suspensions>) -> SuspensionStore {
        let path = file_path(&name);
        // Before the file is read: what is written in between is seen as a change.
        let stamp = FileStamp::of(&path);
        let written = SuspendedWorkers::default();
        let mut store = SuspensionStore { site, name, path, suspensions, written, stamp };
        if let Some(saved) = store.read() {
            tracing::info!(name = %store.name, count = saved.ids.len(), "restored suspended workers");
            let sequence = saved.sequence;
            store.suspensions.adopt(saved);
            store.suspensions.mark_saved(sequence);
        }
        store.written = store.suspensions.workers();
        store
    }

    /// Keeps the file and the suspended workers in step, on a thread of its own, until the process ends.
    pub fn spawn_sync(mut self, inbox: Inbox) {
        std::thread::spawn(move || {
            loop {
                self.adopt_changes(&inbox);
                self.write_changes();
            }
        });
    }

    /// Adopts what another process has written.
    fn adopt_changes(&mut self, inbox: &Inbox) {
        let stamp = FileStamp::of(&self.path);
        if stamp == self.stamp {
            return;
        }
        self.stamp = stamp;
        let Some(saved) = self.read() else { return };
        self.written = saved.clone();
        self.suspensions.mark_saved(saved.sequence);
        let count = saved.ids.len();
        if self.suspensions.adopt(saved) {
            tracing::info!(name = %self.name, count, "adopted suspended workers from another process");
            inbox.wake();
        }
    }

    /// Waits a little for a change, and writes it.
    fn write_changes(&mut self) {
        let current = self.suspensions.wait_for_change(self.written.sequence, POLL_INTERVAL);
        if current.sequence <= self.written.sequence {
            return;
        }
        match self.write(&current) {
            Ok(()) => {
                self.suspensions.mark_saved(current.sequence);
                self.written = current;
                self.stamp = FileStamp::of(&self.path);
            }
            Err(error) => {
                let path = self.path.display();
                tracing::warn!(name = %self.name, %path, reason = %error, "cannot write suspended workers");
                self.suspensions.note_unsaved(error.to_string());
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Reads the file; one that cannot be read or trusted is logged and ignored.
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
        match SuspensionFile::decode(&bytes, &self.site, name, now_ms()) {
            Ok(file) => {
                let ids = file.workers.into_iter().collect();
                Some(SuspendedWorkers { ids, sequence: file.seq })
            }
            Err(error) => {
                tracing::warn!(%name, %path, reason = %error, "invalid file of suspended workers ignored");
                None
            }
        }
    }

    /// Writes a new file, puts it in the place of the old one, and makes sure that both outlast a crash.
    fn write(&self, workers: &SuspendedWorkers) -> io::Result<()> {
        let content = SuspensionFile {
            site: self.site.clone(),
            name: self.name.clone(),
            seq: workers.sequence,
            written_ms: now_ms(),
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

impl FileStamp {
    fn of(path: &Path) -> Option<FileStamp> {
        let metadata = std::fs::metadata(path).ok()?;
        let modified = metadata.modified().ok()?;
        Some(FileStamp { inode: metadata.ino(), modified, bytes: metadata.len() })
    }
}

fn file_path(name: &str) -> PathBuf {
    let replace = |character: char| if character.is_ascii_alphanumeric() { character } else { '_' };
    let name: String = name.chars().map(replace).collect();
    std::env::temp_dir().join(format!("roselock-{name}.suspended"))
}

/// Milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
