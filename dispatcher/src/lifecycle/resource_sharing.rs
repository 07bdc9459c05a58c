//! Divides the resource limits among the processes of an upgrade, through a table in a file in `$TMPDIR`.

use super::process_number::ProcessNumber;
use super::shared_table::{self, NewTable, SharedTableError};
use super::shared_words::SharedWords;
use crate::core::clock;
use crate::core::resource_limit::{HEADER_WORDS, TABLE_WORDS, UsageTable, Words};
use crate::wire::connection_limiter::ConnectionLimiter;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// The first word of a table: the format and its version.
const FORMAT: u64 = u64::from_le_bytes(*b"rluse\0\0\x01");
/// Interval between checks whether other processes have started or ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Words for SharedWords {
    fn words(&self) -> &[AtomicU64] {
        self.as_slice()
    }
}

/// The resources that this process divides with the other process of an upgrade.
pub struct ResourceSharing {
    process: Arc<ProcessNumber>,
    table: Arc<UsageTable>,
}

impl ResourceSharing {
    /// Enters this process into the table of the dispatcher.
    ///
    /// # Errors
    ///
    /// If the file cannot be created or is invalid.
    pub fn start(process: Arc<ProcessNumber>) -> Result<ResourceSharing, SharedTableError> {
        let mut header = [0; HEADER_WORDS];
        header[0] = FORMAT;
        let path = process.prefix.with_extension("usage");
        let words = shared_table::open(&path, &NewTable { header: &header, words: TABLE_WORDS })?;
        let table = UsageTable::new(Box::new(words), process.owner);
        let sharing = ResourceSharing { process, table };
        sharing.remove_ended();
        Ok(sharing)
    }

    /// The table, for the limits of this process.
    pub fn table(&self) -> Arc<UsageTable> {
        self.table.clone()
    }

    /// Keeps the table and the client connections in line with the processes that run; never returns.
    pub fn run(&self, connections: &ConnectionLimiter) {
        loop {
            clock::sleep(CHECK_INTERVAL);
            self.remove_ended();
            connections.shed_excess();
        }
    }

    fn remove_ended(&self) {
        self.table.remove_ended(|owner| self.process.hold_ended(owner));
    }
}
