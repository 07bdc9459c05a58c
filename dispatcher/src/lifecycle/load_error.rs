//! Errors of loading the configuration.

use super::settings_error::LocatedConfigError;
use roselock::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error of loading the configuration.
#[derive(Debug, Error)]
pub enum LoadError {
    /// No node configuration file is specified.
    #[error("no configuration file: set --config or NODE_CONFIG")]
    NoFile,
    /// A file is unreadable or invalid.
    #[error(transparent)]
    File(#[from] FileError),
    /// A component is configured both by its own file and by a section of the operator file.
    #[error("--{section} conflicts with section [{section}] of the operator file; remove one of them")]
    DuplicateSection {
        /// Name of both the option and the section.
        section: &'static str,
    },
}

/// An error in a file, displayed with the file's path.
#[derive(Debug, Error)]
#[error("{}", path.display())]
pub struct FileError {
    path: PathBuf,
    // Boxed, because it would make every `Result` on the call path large.
    #[source]
    problem: Box<FileProblem>,
}

impl FileError {
    /// Creates the error of the file at `path`.
    pub fn new(path: &Path, problem: impl Into<FileProblem>) -> FileError {
        FileError { path: path.to_owned(), problem: Box::new(problem.into()) }
    }
}

/// Why a file is unreadable or invalid.
#[derive(Debug, Error)]
pub enum FileProblem {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file is malformed JSON, or does not have the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file is malformed TOML, or does not have the expected structure.
    #[error("{position}{message}")]
    Toml {
        /// The line number and the key, if known, each followed by `: `.
        position: String,
        /// The parser's message, which names unknown keys and the expected ones.
        message: String,
    },
    /// A setting has an invalid value.
    #[error(transparent)]
    Setting(#[from] LocatedConfigError),
    /// A required key is set neither in the file nor in the environment.
    #[error("{key} is missing")]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// A value is not a socket address.
    #[error("{key} {value:?}")]
    Address {
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("seed {value:?}")]
    Seed {
        /// The value.
        value: String,
        /// The parse error.
        source: ParseIntError,
    },
    /// The scheduling settings are malformed JSON, or do not have the expected structure.
    #[error("settings")]
    SettingsJson(#[source] serde_json::Error),
    /// The scheduling settings contradict each other.
    #[error("settings: {reason}")]
    SettingsConflict {
        /// Description of the conflict.
        reason: String,
    },
    /// A scheduling setting has an invalid value.
    #[error("settings")]
    SettingsValue(#[source] SettingsError),
}
