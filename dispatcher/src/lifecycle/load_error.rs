//! Why a configuration is rejected.

use super::settings_error::LocatedConfigError;
use roselock::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the configuration is rejected.
#[derive(Debug, Error)]
pub enum LoadError {
    /// No file is named.
    #[error("no configuration: name one with --config or in NODE_CONFIG")]
    NoFile,
    /// A file is rejected.
    #[error(transparent)]
    File(#[from] FileError),
    /// A part has a file of its own and a section of the operators' file.
    #[error("--{part}: the operators' file has a section [{part}], too; leave one of the two out")]
    DuplicateSection {
        /// The option and the section.
        part: &'static str,
    },
}

/// A file, and what is wrong with it.
#[derive(Debug, Error)]
#[error("{}", path.display())]
pub struct FileError {
    path: PathBuf,
    // Boxed, as it would make each `Result` on the way large.
    #[source]
    problem: Box<FileProblem>,
}

impl FileError {
    /// What is wrong with a file.
    pub fn new(path: &Path, problem: impl Into<FileProblem>) -> FileError {
        FileError { path: path.to_owned(), problem: Box::new(problem.into()) }
    }
}

/// What is wrong with a file.
#[derive(Debug, Error)]
pub enum FileProblem {
    /// It cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// It is not the JSON that is expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It is not the TOML that is expected.
    #[error("{position}{message}")]
    Toml {
        /// The line and the key, each followed by `: `, as far as they are known.
        position: String,
        /// What the parser says; it names unknown keys, and what is expected.
        message: String,
    },
    /// A setting has a value that is not allowed.
    #[error(transparent)]
    Setting(#[from] LocatedConfigError),
    /// A key is required, and neither the file nor the environment has it.
    #[error("{key} is missing")]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// A value is no address.
    #[error("{key} {value:?}")]
    Address {
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// Why not.
        source: AddrParseError,
    },
    /// The seed is no hexadecimal number of 64 bits.
    #[error("seed {value:?}")]
    Seed {
        /// The value.
        value: String,
        /// Why not.
        source: ParseIntError,
    },
    /// The settings of the decisions are not the JSON that is expected.
    #[error("settings")]
    SettingsJson(#[source] serde_json::Error),
    /// The settings of the decisions contradict each other.
    #[error("settings: {reason}")]
    SettingsConflict {
        /// How.
        reason: String,
    },
    /// A setting of the decisions has a value that is not allowed.
    #[error("settings")]
    SettingsValue(#[source] SettingsError),
}
