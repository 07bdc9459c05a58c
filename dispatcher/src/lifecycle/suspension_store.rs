//! What passes from one process to the next through `$TMPDIR`, the only disk that lasts, and only across an
//! upgrade: the suspended workers. A thread of its own writes the file when they change, and reads it when
//! another process has written it, so that a call at either of two processes that serve side by side holds at both.

use crate::core::Inbox;
use crate::core::suspensions::{SuspendedWorkers, Suspensions};
use roselock_admin::suspension_file::SuspensionFile;
use std::fs::File;
use std::io::Write;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often the file is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// Who the file belongs to.
pub struct StoreIdentity {
    /// The clients' address: the same for both processes of an upgrade.
    pub site: String,
    /// The dispatcher's name.
    pub name: String,
}

/// The file's place.
fn path(name: &str) -> PathBuf {
    let name: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect();
    std::env::temp_dir().join(format!("roselock-{name}.suspended"))
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Reads the file; what cannot be trusted is logged and left.
fn read(path: &Path, owner: &StoreIdentity) -> Option<SuspendedWorkers> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return None,
        Err(e) => {
            tracing::warn!("{}: {} cannot be read, and is left: {e}", owner.name, path.display());
            return None;
        }
    };
    match SuspensionFile::decode(&bytes, &owner.site, &owner.name, now_ms()) {
        Ok(saved) => Some(SuspendedWorkers { ids: saved.workers.into_iter().collect(), sequence: saved.seq }),
        Err(why) => {
            tracing::warn!("{}: {} is left: {why}", owner.name, path.display());
            None
        }
    }
}

/// Writes it whole under another name, then puts it in the place of the old one, and makes sure that both outlast a crash.
fn write(path: &Path, owner: &StoreIdentity, wanted: &SuspendedWorkers) -> std::io::Result<()> {
    let saved = SuspensionFile {
        site: owner.site.clone(),
        name: owner.name.clone(),
        seq: wanted.sequence,
        written_ms: now_ms(),
        workers: wanted.ids.iter().cloned().collect(),
    };
    let new = path.with_extension(format!("new-{}", std::process::id()));
    let mut file = File::create(&new)?;
    file.write_all(&saved.encode())?;
    file.sync_all()?;
    std::fs::rename(&new, path)?;
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

/// The file as it was before anybody could change what is wanted: what comes later is written, or read again.
pub struct Kept {
    owner: StoreIdentity,
    path: PathBuf,
    written: SuspendedWorkers,
    seen: Option<Stamp>,
}

/// Takes over what the process before left. To be called before the admin address opens.
pub fn begin(owner: StoreIdentity, suspensions: &Suspensions) -> Kept {
    let path = path(&owner.name);
    // Before it is read: what is written in between is seen as a change.
    let seen = stamp(&path);
    if let Some(wanted) = read(&path, &owner) {
        let many = wanted.ids.len();
        tracing::info!("{}: {many} workers out by hand, as the process before left them", owner.name);
        let sequence = wanted.sequence;
        suspensions.adopt(wanted);
        suspensions.mark_saved(sequence);
    }
    Kept { owner, path, written: suspensions.workers(), seen }
}

/// Keeps the file and what is wanted alike for as long as the process lives.
pub fn keep(kept: Kept, suspensions: Arc<Suspensions>, inbox: Inbox) {
    let Kept { owner, path, mut written, mut seen } = kept;
    std::thread::spawn(move || {
        loop {
            let now = stamp(&path);
            if now != seen {
                seen = now;
                if let Some(other) = read(&path, &owner) {
                    written = other.clone();
                    suspensions.mark_saved(other.sequence);
                    if suspensions.adopt(other) {
                        tracing::info!("{}: workers out by hand as another process left them", owner.name);
                        inbox.wake();
                    }
                }
            }
            let wanted = suspensions.wait_for_change(written.sequence, LOOK);
            if wanted.sequence <= written.sequence {
                continue;
            }
            match write(&path, &owner, &wanted) {
                Ok(()) => {
                    suspensions.mark_saved(wanted.sequence);
                    (written, seen) = (wanted, stamp(&path));
                }
                Err(why) => {
                    tracing::warn!("{}: {} cannot be written: {why}", owner.name, path.display());
                    suspensions.note_unsaved(why.to_string());
                    std::thread::sleep(LOOK);
                }
            }
        }
    });
}

/// What tells that the file changed: each write makes another file, whatever the wall clock says of it.
type Stamp = (u64, SystemTime, u64);

fn stamp(path: &Path) -> Option<Stamp> {
    let meta = std::fs::metadata(path).ok()?;
    Some((meta.ino(), meta.modified().ok()?, meta.len()))
}
