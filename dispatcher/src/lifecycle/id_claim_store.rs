//! The table of claimed ids in a file in `$TMPDIR`, which both processes of an upgrade map into their memory.

use super::process_number::ProcessNumber;
use super::shared_table::{self, NewTable, SharedTableError};
use super::shared_words::SharedWords;
use crate::core::id_claims::{ClaimStore, HEADER_WORDS, IdClaims, Owner, TABLE_WORDS};
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The first word of a table: the format and its version.
const FORMAT: u64 = u64::from_le_bytes(*b"rlids\0\0\x01");
/// Index of the word that holds the seed of the hashes.
const SEED_WORD: usize = 1;

/// The table, and the number of this process.
struct FileClaimStore {
    words: SharedWords,
    process: Arc<ProcessNumber>,
}

impl ClaimStore for FileClaimStore {
    fn words(&self) -> &[AtomicU64] {
        self.words.as_slice()
    }

    fn is_alive(&self, owner: Owner) -> bool {
        self.process.is_running(owner)
    }

    fn uptime_s(&self) -> u32 {
        clock_gettime(ClockId::Boottime).tv_sec as u32
    }
}

/// Opens the table of the dispatcher, and creates it if there is none.
///
/// # Errors
///
/// If the file cannot be created or is invalid.
pub fn open(process: Arc<ProcessNumber>, seed: u64) -> Result<IdClaims, SharedTableError> {
    let mut header = [0; HEADER_WORDS];
    header[0] = FORMAT;
    header[SEED_WORD] = seed;
    let path = process.prefix.with_extension("ids");
    let words = shared_table::open(&path, &NewTable { header: &header, words: TABLE_WORDS })?;
    let hash_seed = words.as_slice()[SEED_WORD].load(Ordering::SeqCst);
    let owner = process.owner;
    Ok(IdClaims::new(Box::new(FileClaimStore { words, process }), owner, hash_seed))
}
