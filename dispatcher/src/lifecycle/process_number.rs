//! The numbers of the running processes of a dispatcher, of which there are two in an upgrade.
//!
//! A process holds a lock on the file of its number as long as it runs. The operating system releases the lock when the
//! process ends, however it ends.

use super::file_names::sanitize;
use crate::core::id_claims::{MAX_OWNERS, Owner};
use roselock::settings::fnv1a;
use rustix::fs::{FlockOperation, flock};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a process gets no number.
#[derive(Debug, Error)]
pub enum ProcessNumberError {
    /// A file cannot be created or locked.
    #[error("{path}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// All numbers are taken by running processes.
    #[error("{MAX_OWNERS} processes are running already")]
    TooManyProcesses,
}

/// The number of this process, which no other process of the dispatcher has while this one runs.
pub struct ProcessNumber {
    /// The number.
    pub owner: Owner,
    /// The common prefix of the paths of the dispatcher's shared files.
    pub prefix: PathBuf,
    /// Holds the lock of this process.
    _lock: File,
}

/// The number of a process that has ended, which no new process takes as long as this lives.
pub struct HeldNumber {
    _lock: File,
}

impl ProcessNumber {
    /// Takes a number of the dispatcher with this name and listen address.
    ///
    /// # Errors
    ///
    /// If a file cannot be created or locked, or if too many processes are running.
    pub fn take(name: &str, listen: SocketAddr) -> Result<ProcessNumber, ProcessNumberError> {
        ProcessNumber::take_below(file_prefix(name, listen))
    }

    fn take_below(prefix: PathBuf) -> Result<ProcessNumber, ProcessNumberError> {
        for owner in (0..MAX_OWNERS).map(Owner) {
            let path = lock_path(&prefix, owner);
            let file = File::options().create(true).append(true).open(&path);
            let file = file.map_err(|source| ProcessNumberError::Io { path: path.clone(), source })?;
            match flock(&file, FlockOperation::NonBlockingLockExclusive) {
                Ok(()) => return Ok(ProcessNumber { owner, prefix, _lock: file }),
                Err(rustix::io::Errno::WOULDBLOCK) => {}
                Err(error) => return Err(ProcessNumberError::Io { path, source: error.into() }),
            }
        }
        Err(ProcessNumberError::TooManyProcesses)
    }

    /// Holds the number of a process that has ended, so that no new process takes it meanwhile. Returns `None` if a process
    /// with the number is running.
    pub fn hold_ended(&self, owner: Owner) -> Option<HeldNumber> {
        let file = File::open(lock_path(&self.prefix, owner)).ok()?;
        flock(&file, FlockOperation::NonBlockingLockExclusive).ok()?;
        Some(HeldNumber { _lock: file })
    }

    /// Whether the process with this number is running.
    pub fn is_running(&self, owner: Owner) -> bool {
        // A file that is missing was never locked, or was deleted under a process that may be running.
        match File::open(lock_path(&self.prefix, owner)) {
            Ok(file) => flock(&file, FlockOperation::NonBlockingLockShared).is_err(),
            Err(_) => true,
        }
    }
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
#[path = "process_number_tests.rs"]
mod tests;
