//! The file of suspended workers. It is kept in `$TMPDIR` and read by the next process of an upgrade; while both processes
//! serve, each reads the changes of the other.
//!
//! The file has three lines: a magic word with the format version, the body as JSON, and the CRC-32 of the body. The caller
//! writes it under a temporary name and renames it, so a reader finds either the old file or the new one. An invalid file is
//! reported by [`SuspensionFileError`] and not used.

use serde::{Deserialize, Serialize};

/// The first word of the file.
pub const MAGIC: &str = "roselock-suspended";
/// The format version that is written.
pub const FORMAT_VERSION: u32 = 1;
/// Maximum number of suspended workers in a file; the admin address rejects more.
pub const MAX_WORKERS: usize = 4096;
/// Maximum age of a file that is used, in milliseconds by the wall clock: seven days.
pub const MAX_AGE_MS: u64 = 7 * 24 * 3600 * 1000;

/// The content of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspensionFile {
    /// The site that the file belongs to.
    pub site: String,
    /// The name of the dispatcher that the file belongs to.
    pub name: String,
    /// Sequence number: increases with each change by any process. The file with the highest number is current.
    pub seq: u64,
    /// When the file was written, in milliseconds of Unix time.
    pub written_ms: u64,
    /// The ids of the suspended workers, sorted.
    pub workers: Vec<String>,
}

/// Why a file is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SuspensionFileError {
    /// The file has fewer than three complete lines.
    #[error("truncated")]
    Truncated,
    /// The file does not begin with [`MAGIC`] and a version.
    #[error("not a suspension file")]
    UnknownFormat,
    /// The file was written by a later version of the program, in this version of the format.
    #[error("unsupported format version {0}: the highest supported one is {FORMAT_VERSION}")]
    NewerFormat(u32),
    /// The checksum does not match the body, or the body is not a valid JSON object.
    #[error("invalid checksum or body")]
    Corrupt,
    /// The file belongs to another site or another dispatcher.
    #[error("belongs to site {site:?}, dispatcher {name:?}")]
    OtherInstance {
        /// The site that the file belongs to.
        site: String,
        /// The name of the dispatcher that the file belongs to.
        name: String,
    },
    /// The file was written this many milliseconds ago, more than [`MAX_AGE_MS`].
    #[error("too old: written {} s ago", .0 / 1000)]
    Expired(u64),
    /// The file has this number of workers, more than [`MAX_WORKERS`].
    #[error("too many workers: {0}, at most {MAX_WORKERS} are allowed")]
    TooManyWorkers(usize),
}

impl SuspensionFile {
    /// Encodes the content of the file.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_string(self).unwrap_or_default();
        let checksum = checksum_line(&body);
        format!("{MAGIC} {FORMAT_VERSION}\n{body}\n{checksum}\n").into_bytes()
    }

    /// Decodes a file, which must belong to this site and dispatcher and be at most [`MAX_AGE_MS`] old at `now_ms`, in
    /// milliseconds of Unix time.
    ///
    /// # Errors
    /// Returns [`SuspensionFileError`] if the file is invalid, too old, or belongs to another dispatcher.
    pub fn decode(
        bytes: &[u8],
        site: &str,
        name: &str,
        now_ms: u64,
    ) -> Result<SuspensionFile, SuspensionFileError> {
        let text = String::from_utf8_lossy(bytes);
        let file: SuspensionFile =
            serde_json::from_str(verified_body(&text)?).map_err(|_| SuspensionFileError::Corrupt)?;
        if file.site != site || file.name != name {
            return Err(SuspensionFileError::OtherInstance { site: file.site, name: file.name });
        }
        let age_ms = now_ms.saturating_sub(file.written_ms);
        if age_ms > MAX_AGE_MS {
            return Err(SuspensionFileError::Expired(age_ms));
        }
        if file.workers.len() > MAX_WORKERS {
            return Err(SuspensionFileError::TooManyWorkers(file.workers.len()));
        }
        Ok(file)
    }
}

/// The body, after the format version and the checksum have been checked.
fn verified_body(text: &str) -> Result<&str, SuspensionFileError> {
    let mut lines = text.split_inclusive('\n');
    check_format(complete_line(lines.next())?)?;
    let body = complete_line(lines.next())?;
    let checksum = complete_line(lines.next())?;
    if checksum != checksum_line(body) {
        return Err(SuspensionFileError::Corrupt);
    }
    Ok(body)
}

/// The line without its line ending, which must be present.
fn complete_line(line: Option<&str>) -> Result<&str, SuspensionFileError> {
    line.and_then(|line| line.strip_suffix('\n')).ok_or(SuspensionFileError::Truncated)
}

fn check_format(first_line: &str) -> Result<(), SuspensionFileError> {
    let version = first_line.strip_prefix(MAGIC).and_then(|rest| rest.strip_prefix(' '));
    let version = version.ok_or(SuspensionFileError::UnknownFormat)?;
    let version: u32 = version.parse().map_err(|_| SuspensionFileError::UnknownFormat)?;
    if version > FORMAT_VERSION {
        return Err(SuspensionFileError::NewerFormat(version));
    }
    Ok(())
}

fn checksum_line(body: &str) -> String {
    format!("crc32 {:08x}", crc32fast::hash(body.as_bytes()))
}
