//! The table of claimed ids in a file in `$TMPDIR`, which both processes of an upgrade map into their memory.
//!
//! A process that uses the table has a number, and holds a lock on the file of that number as long as it runs. The
//! operating system releases the lock when the process ends, however it ends.

use super::file_names::sanitize;
use super::shared_words::SharedWords;
use crate::core::id_claims::{ClaimStore, HEADER_WORDS, IdClaims, MAX_OWNERS, Owner, TABLE_WORDS};
use roselock::settings::fnv1a;
use rustix::fs::{FlockOperation, flock};
use rustix::time::{ClockId, clock_gettime};
use std::fs::File;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;

/// The first word of a table: the format and its version.
const FORMAT: u64 = u64::from_le_bytes(*b"rlids\0\0\x01");
/// Index of the word that holds the format.
const FORMAT_WORD: usize = 0;
/// Index of the word that holds the seed of the hashes.
const SEED_WORD: usize = 1;

/// Why the table cannot be used.
#[derive(Debug, Error)]
pub enum ClaimStoreError {
    /// A file cannot be created, locked or mapped.
    #[error("{path}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is not a table of this format.
    #[error("{0}: not a table of claimed ids")]
    InvalidTable(PathBuf),
    /// All numbers are taken by running processes.
    #[error("{MAX_OWNERS} processes use the table already")]
    TooManyOwners,
}

/// The files of the table, and the lock that this process holds.
struct FileClaimStore {
    words: SharedWords,
    /// The common prefix of the paths of the lock files.
    lock_prefix: PathBuf,
    /// Holds the lock of this process.
    _lock: File,
}

impl ClaimStore for FileClaimStore {
    fn words(&self) -> &[AtomicU64] {
        self.words.as_slice()
    }

    fn is_alive(&self, owner: Owner) -> bool {
        // A file that is missing was never locked, or was deleted under a process that may be running.
        match File::open(lock_path(&self.lock_prefix, owner)) {
            Ok(file) => flock(&file, FlockOperation::NonBlockingLockShared).is_err(),
            Err(_) => true,
        }
    }

    fn uptime_s(&self) -> u32 {
        clock_gettime(ClockId::Boottime).tv_sec as u32
    }
}

/// Opens the table of the dispatcher with this name and listen address, and creates it if there is none.
///
/// # Errors
///
/// If a file cannot be created or is invalid, or if too many processes use the table.
pub fn open(name: &str, listen: SocketAddr, seed: u64) -> Result<IdClaims, ClaimStoreError> {
    let prefix = file_prefix(name, listen);
    let table_path = prefix.with_extension("ids");
    let words = open_table(&table_path, seed).map_err(|source| io_error(&table_path, source))?;
    let words = words.ok_or(ClaimStoreError::InvalidTable(table_path))?;
    let (owner, lock) = lock_free_number(&prefix)?;
    let hash_seed = words.as_slice()[SEED_WORD].load(Ordering::SeqCst);
    let store = FileClaimStore { words, lock_prefix: prefix, _lock: lock };
    Ok(IdClaims::new(Box::new(store), owner, hash_seed))
}

/// Opens the table; `None` if the file is not one.
fn open_table(path: &Path, seed: u64) -> io::Result<Option<SharedWords>> {
    if !path.try_exists()? {
        create_table(path, seed)?;
    }
    let file = File::options().read(true).write(true).open(path)?;
    if file.metadata()?.len() != (TABLE_WORDS * size_of::<u64>()) as u64 {
        return Ok(None);
    }
    let words = SharedWords::map(&file, TABLE_WORDS)?;
    let has_format = words.as_slice()[FORMAT_WORD].load(Ordering::SeqCst) == FORMAT;
    Ok(has_format.then_some(words))
}

/// Creates an empty table, unless another process does so at the same time. All bytes are written, so that the file
/// system has room for them: a mapped page without room would end the process.
fn create_table(path: &Path, seed: u64) -> io::Result<()> {
    let mut header = [0; HEADER_WORDS];
    header[FORMAT_WORD] = FORMAT;
    header[SEED_WORD] = seed;
    let mut bytes: Vec<u8> = header.iter().flat_map(|word| word.to_ne_bytes()).collect();
    bytes.resize(TABLE_WORDS * size_of::<u64>(), 0);
    let new_path = path.with_extension(format!("ids-new-{}", std::process::id()));
    let created = std::fs::write(&new_path, &bytes).and_then(|()| std::fs::hard_link(&new_path, path));
    let _ = std::fs::remove_file(&new_path);
    match created {
        Err(error) if error.kind() == ErrorKind::AlreadyExists => Ok(()),
        created => created,
    }
}

/// Takes a number that no running process has, with the lock on its file.
fn lock_free_number(prefix: &Path) -> Result<(Owner, File), ClaimStoreError> {
    for owner in (0..MAX_OWNERS).map(Owner) {
        let path = lock_path(prefix, owner);
        let file = File::options().create(true).append(true).open(&path);
        let file = file.map_err(|source| io_error(&path, source))?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => return Ok((owner, file)),
            Err(rustix::io::Errno::WOULDBLOCK) => {}
            Err(error) => return Err(io_error(&path, error.into())),
        }
    }
    Err(ClaimStoreError::TooManyOwners)
}

fn io_error(path: &Path, source: io::Error) -> ClaimStoreError {
    ClaimStoreError::Io { path: path.to_owned(), source }
}

fn lock_path(prefix: &Path, owner: Owner) -> PathBuf {
    prefix.with_extension(format!("ids-lock-{}", owner.0))
}

/// The common prefix of the paths. Both processes of an upgrade have the same name and the same listen address.
fn file_prefix(name: &str, listen: SocketAddr) -> PathBuf {
    let hash = fnv1a(format!("{name:?} {listen}").as_bytes());
    std::env::temp_dir().join(format!("roselock-{}-{hash:016x}", sanitize(name)))
}

#[cfg(test)]
#[path = "id_claim_store_tests.rs"]
mod tests;
