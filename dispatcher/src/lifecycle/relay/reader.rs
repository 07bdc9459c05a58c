//! Reads the callback files of other processes.

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::PathBuf;

/// Maximum size of one callback: a body is at most 64 KiB.
const MAX_RECORD_BYTES: usize = 64 << 10;

/// Reads the callbacks that other processes append to their files.
pub struct RelayReader {
    directory: PathBuf,
    /// The common prefix of the file names.
    prefix: String,
    /// The file of this process, which is not read.
    own_path: PathBuf,
    files: HashMap<PathBuf, RelayFile>,
}

/// A file of another process, and the position up to which it has been read.
struct RelayFile {
    file: File,
    position: u64,
}

/// Position at which reading a newly found file starts.
#[derive(Clone, Copy)]
enum ReadFrom {
    Start,
    End,
}

impl RelayReader {
    /// Creates a reader of callbacks that are appended from now on: earlier ones were not meant for this
    /// process.
    pub fn new(directory: PathBuf, prefix: String, own_path: PathBuf) -> RelayReader {
        let mut reader = RelayReader { directory, prefix, own_path, files: HashMap::new() };
        reader.open_new_files(ReadFrom::End);
        reader
    }

    /// Returns the bodies of the callbacks that were appended since the last call.
    pub fn read_new(&mut self) -> Vec<Vec<u8>> {
        self.open_new_files(ReadFrom::Start);
        self.files.values_mut().flat_map(RelayFile::read_new).collect()
    }

    fn open_new_files(&mut self, from: ReadFrom) {
        let Ok(entries) = std::fs::read_dir(&self.directory) else { return };
        for entry in entries.flatten() {
            let path = entry.path();
            let has_prefix = entry.file_name().to_str().is_some_and(|name| name.starts_with(&self.prefix));
            if !has_prefix || path == self.own_path || self.files.contains_key(&path) {
                continue;
            }
            if let Ok(file) = File::open(&path) {
                let position = match from {
                    ReadFrom::Start => 0,
                    ReadFrom::End => file.metadata().map_or(0, |metadata| metadata.len()),
                };
                self.files.insert(path, RelayFile { file, position });
            }
        }
    }
}

impl RelayFile {
    /// Returns the bodies of complete records that were appended since the last call.
    fn read_new(&mut self) -> Vec<Vec<u8>> {
        let mut bytes = Vec::new();
        let sought = self.file.seek(SeekFrom::Start(self.position));
        if sought.is_err() || self.file.read_to_end(&mut bytes).is_err() {
            return Vec::new();
        }
        let parsed = parse_records(&bytes);
        self.position += parsed.consumed as u64;
        parsed.bodies
    }
}

/// The complete records at the start of a buffer.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct ParsedRecords {
    /// Bodies of the records.
    pub bodies: Vec<Vec<u8>>,
    /// Number of bytes that need not be read again.
    pub consumed: usize,
}

/// Parses `length \n body \n` records. Everything after a malformed length is skipped.
pub(super) fn parse_records(bytes: &[u8]) -> ParsedRecords {
    let mut parsed = ParsedRecords::default();
    while let Some(digit_count) = bytes[parsed.consumed..].iter().position(|byte| *byte == b'\n') {
        let start = parsed.consumed + digit_count + 1;
        let Some(length) = parse_length(&bytes[parsed.consumed..start - 1]) else {
            parsed.consumed = bytes.len();
            return parsed;
        };
        if bytes.len() < start + length + 1 {
            break;
        }
        parsed.bodies.push(bytes[start..start + length].to_vec());
        parsed.consumed = start + length + 1;
    }
    parsed
}

fn parse_length(digits: &[u8]) -> Option<usize> {
    let length = std::str::from_utf8(digits).ok()?.parse().ok()?;
    (length <= MAX_RECORD_BYTES).then_some(length)
}
