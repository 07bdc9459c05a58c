//! Writes this process's callback file.

use std::collections::VecDeque;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;

/// Maximum size of the file; callbacks beyond it are dropped.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Maximum size of the callbacks in the file that no process is known to wait for; further ones are dropped.
const MAX_UNEXPECTED_BYTES: u64 = 1 << 20;

/// Appends callbacks to the file of this process. They have already been acknowledged, so they stay queued
/// while writes fail.
pub struct RelayWriter {
    path: PathBuf,
    file: Option<File>,
    /// Number of bytes of complete records in the file.
    written: u64,
    queue: VecDeque<Vec<u8>>,
    /// Number of bytes of callbacks that no process is known to wait for, queued or written.
    unexpected: u64,
    /// Number of callbacks dropped because the file was full.
    dropped: u64,
}

impl RelayWriter {
    /// Creates a writer; the file is created with the first record.
    pub fn new(path: PathBuf) -> RelayWriter {
        RelayWriter { path, file: None, written: 0, queue: VecDeque::new(), unexpected: 0, dropped: 0 }
    }

    /// Number of callbacks that are not written yet.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Queues the bodies of callbacks.
    pub fn enqueue(&mut self, bodies: impl Iterator<Item = Vec<u8>>) {
        self.queue.extend(bodies);
    }

    /// Queues the bodies of callbacks that no process is known to wait for, as far as their part of the file has room.
    pub fn enqueue_unexpected(&mut self, bodies: impl Iterator<Item = Vec<u8>>) {
        for body in bodies {
            let bytes = self.unexpected + body.len() as u64;
            if bytes <= MAX_UNEXPECTED_BYTES {
                self.unexpected = bytes;
                self.queue.push_back(body);
            }
        }
    }

    /// Writes queued callbacks until a write fails. Those that exceed the maximum file size are dropped.
    pub fn write_queued(&mut self) {
        while let Some(body) = self.queue.front() {
            let record = [format!("{}\n", body.len()).as_bytes(), body, b"\n"].concat();
            if self.written + record.len() as u64 > MAX_FILE_BYTES {
                self.drop_one();
            } else if let Err(error) = self.append(&record) {
                let path = self.path.display();
                tracing::debug!(%path, reason = %error, "cannot write callback to relay file, will retry");
                return;
            }
            self.queue.pop_front();
        }
    }

    /// Counts a callback that does not fit into the file, and logs the first one.
    fn drop_one(&mut self) {
        self.dropped += 1;
        if self.dropped == 1 {
            let path = self.path.display();
            tracing::warn!(%path, bytes = MAX_FILE_BYTES, "callbacks dropped: relay file is full");
        }
    }

    /// Appends a record. A partially written record, left by a full disk for example, is truncated.
    fn append(&mut self, record: &[u8]) -> std::io::Result<()> {
        let file = match &mut self.file {
            Some(file) => file,
            none => none.insert(File::options().create(true).append(true).open(&self.path)?),
        };
        if let Err(error) = file.set_len(self.written).and_then(|()| file.write_all(record)) {
            let _ = file.set_len(self.written);
            return Err(error);
        }
        self.written += record.len() as u64;
        Ok(())
    }
}
