//! This process's own file of call-backs.

use std::collections::VecDeque;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;

/// Most bytes a process writes; beyond, call-backs are dropped.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Appends call-backs to the file of this process. They were answered, so they are queued while the disk fails.
pub struct RelayWriter {
    path: PathBuf,
    file: Option<File>,
    /// Bytes of complete records.
    written: u64,
    queue: VecDeque<Vec<u8>>,
    /// Call-backs that found the file full.
    dropped: u64,
}

impl RelayWriter {
    /// A writer to a file that is created with the first record.
    pub fn new(path: PathBuf) -> RelayWriter {
        RelayWriter { path, file: None, written: 0, queue: VecDeque::new(), dropped: 0 }
    }

    /// How many call-backs are still to be written.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Queues the bodies of call-backs.
    pub fn enqueue(&mut self, bodies: impl Iterator<Item = Vec<u8>>) {
        self.queue.extend(bodies);
    }

    /// Writes the queued call-backs, as far as the disk and the limit of the file allow.
    pub fn write_queued(&mut self) {
        while let Some(body) = self.queue.front() {
            let record = [format!("{}\n", body.len()).as_bytes(), body, b"\n"].concat();
            if self.written + record.len() as u64 > MAX_FILE_BYTES {
                self.drop_one();
            } else if let Err(error) = self.append(&record) {
                let path = self.path.display();
                tracing::debug!(%path, reason = %error, "cannot relay a call-back yet");
                return;
            }
            self.queue.pop_front();
        }
    }

    /// Counts a call-back that does not fit; the first one is logged.
    fn drop_one(&mut self) {
        self.dropped += 1;
        if self.dropped == 1 {
            let path = self.path.display();
            tracing::warn!(%path, bytes = MAX_FILE_BYTES, "call-backs dropped: the relay's file is full");
        }
    }

    /// Appends a record; a part of one, as a full disk leaves it, is removed.
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
