//! The file of suspended workers, kept in `$TMPDIR` for the next process of an upgrade, and for the other one while both
//! serve.
//!
//! It has three lines: a magic word with the format's version, the body as JSON, and the body's CRC-32. The caller writes it
//! under another name and renames it, so a reader finds the old file or the new one. A file that can't be trusted is reported
//! by [`SuspensionFileError`] and not used.

use serde::{Deserialize, Serialize};

/// The first word of the file.
pub const MAGIC: &str = "roselock-suspended";
/// The version of the format that is written.
pub const FORMAT_VERSION: u32 = 1;
/// Most suspended workers in a file; the admin address rejects more.
pub const MAX_WORKERS: usize = 4096;
/// Age beyond which a file is not used, in milliseconds of the wall clock: seven days.
pub const MAX_AGE_MS: u64 = 7 * 24 * 3600 * 1000;

/// The content of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspensionFile {
    /// The site whose file it is.
    pub site: String,
    /// The dispatcher's name.
    pub name: String,
    /// Sequence number: grows with each change, whichever process makes it; the greater one is current.
    pub seq: u64,
    /// When it was written, Unix time in milliseconds.
    pub written_ms: u64,
    /// The ids of the suspended workers, in order.
    pub workers: Vec<String>,
}

/// Why a file can't be trusted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SuspensionFileError {
    /// It ends before its three lines.
    #[error("cut off")]
    Truncated,
    /// It does not begin with [`MAGIC`] and a version.
    #[error("not a file of workers out by hand")]
    UnknownFormat,
    /// A later version of the program wrote it, with this version of the format.
    #[error("format {0} is newer than {FORMAT_VERSION}")]
    NewerFormat(u32),
    /// The checksum is not that of the body, or the body is no such JSON object.
    #[error("its checksum or body is wrong")]
    Corrupt,
    /// It belongs to another site or another dispatcher.
    #[error("of site {site:?}, dispatcher {name:?}")]
    OtherInstance {
        /// The site whose file it is.
        site: String,
        /// The name of the dispatcher whose file it is.
        name: String,
    },
    /// It was written this many milliseconds ago, more than [`MAX_AGE_MS`].
    #[error("written {} s ago", .0 / 1000)]
    Expired(u64),
    /// It has this number of workers, more than [`MAX_WORKERS`].
    #[error("{0} workers, more than {MAX_WORKERS}")]
    TooManyWorkers(usize),
}

impl SuspensionFile {
    /// The file's bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_string(self).unwrap_or_default();
        let checksum = checksum_line(&body);
        format!("{MAGIC} {FORMAT_VERSION}\n{body}\n{checksum}\n").into_bytes()
    }

    /// Reads a file, which must be of this site and dispatcher and at most [`MAX_AGE_MS`] old at `now_ms`, Unix time in
    /// milliseconds.
    ///
    /// # Errors
    /// Returns [`SuspensionFileError`] if the file can't be trusted.
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

/// The body of a file whose format is known and whose checksum is right.
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

/// A line without its end, which must be there.
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
