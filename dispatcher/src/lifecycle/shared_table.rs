//! Files in `$TMPDIR` that the processes of an upgrade map into their memory.

use super::shared_words::SharedWords;
use std::fs::File;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use thiserror::Error;

/// Index of the word that holds the format.
const FORMAT_WORD: usize = 0;

/// Why a table cannot be used.
#[derive(Debug, Error)]
pub enum SharedTableError {
    /// The file cannot be created or mapped.
    #[error("{path}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is not a table of this format.
    #[error("{0}: not a table of this format")]
    Invalid(PathBuf),
}

/// The content of a new table.
pub struct NewTable<'a> {
    /// The first words; the first one names the format and its version.
    pub header: &'a [u64],
    /// Number of words in all. Those behind the header are 0.
    pub words: usize,
}

/// Opens a table, and creates it if there is none.
///
/// # Errors
///
/// If the file cannot be created or mapped, or is of another format.
pub fn open(path: &Path, new: &NewTable) -> Result<SharedWords, SharedTableError> {
    let opened =
        open_file(path, new).map_err(|source| SharedTableError::Io { path: path.to_owned(), source })?;
    opened.ok_or_else(|| SharedTableError::Invalid(path.to_owned()))
}

/// Opens the table; `None` if the file is not one.
fn open_file(path: &Path, new: &NewTable) -> io::Result<Option<SharedWords>> {
    if !path.try_exists()? {
        create(path, new)?;
    }
    let file = File::options().read(true).write(true).open(path)?;
    if file.metadata()?.len() != (new.words * size_of::<u64>()) as u64 {
        return Ok(None);
    }
    let words = SharedWords::map(&file, new.words)?;
    let has_format = words.as_slice()[FORMAT_WORD].load(Ordering::SeqCst) == new.header[FORMAT_WORD];
    Ok(has_format.then_some(words))
}

/// Creates a table, unless another process does so at the same time. All bytes are written, so that the file system has
/// room for them: a mapped page without room would end the process.
fn create(path: &Path, new: &NewTable) -> io::Result<()> {
    let mut bytes: Vec<u8> = new.header.iter().flat_map(|word| word.to_ne_bytes()).collect();
    bytes.resize(new.words * size_of::<u64>(), 0);
    let mut new_path = path.as_os_str().to_owned();
    new_path.push(format!("-new-{}", std::process::id()));
    let new_path = PathBuf::from(new_path);
    let created = std::fs::write(&new_path, &bytes).and_then(|()| std::fs::hard_link(&new_path, path));
    let _ = std::fs::remove_file(&new_path);
    match created {
        Err(error) if error.kind() == ErrorKind::AlreadyExists => Ok(()),
        created => created,
    }
}

#[cfg(test)]
#[path = "shared_table_tests.rs"]
mod tests;
