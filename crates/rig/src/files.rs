//! Access to files that are given on the command line.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A file that cannot be read or written.
#[derive(Debug, Error)]
#[error("cannot access {}", path.display())]
pub struct FileError {
    path: PathBuf,
    source: io::Error,
}

/// Reads a text file.
///
/// # Errors
///
/// It cannot be read, or is not valid UTF-8.
pub fn read(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|source| FileError { path: path.to_owned(), source })
}

/// Writes a text file.
///
/// # Errors
///
/// It cannot be written.
pub fn write(path: &Path, text: &str) -> Result<(), FileError> {
    std::fs::write(path, text).map_err(|source| FileError { path: path.to_owned(), source })
}

/// Checks that a file can be written, and creates it if it does not exist.
///
/// # Errors
///
/// It cannot be written.
pub fn check_writable(path: &Path) -> Result<(), FileError> {
    let opened = std::fs::OpenOptions::new().create(true).append(true).open(path);
    opened.map(drop).map_err(|source| FileError { path: path.to_owned(), source })
}

/// Creates a directory with its parents, if it does not exist.
///
/// # Errors
///
/// It cannot be created.
pub fn create_directory(path: &Path) -> Result<(), FileError> {
    std::fs::create_dir_all(path).map_err(|source| FileError { path: path.to_owned(), source })
}
