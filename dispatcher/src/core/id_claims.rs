//! Claims on the ids of clients' requests. During an upgrade two processes accept on one listener, and a request may
//! reach either. An id must be in use at one of them only: a host could not distinguish two requests with the same id,
//! and one that must not run twice would. Each process claims an id before it admits a request, in a table that both
//! share, and the claim outlives the request as long as its id is remembered.

mod claim;
mod table;

pub use claim::{MAX_OWNERS, Owner};
pub use table::{ClaimError, HEADER_WORDS, TABLE_WORDS};

use claim::MAX_HOLD_S;
use roselock::settings::fnv1a;
use roselock::{Micros, SECOND};
use std::sync::atomic::AtomicU64;
use table::ClaimTable;

/// How long the id of a finished request stays claimed, in seconds.
const RETENTION_S: u32 = 60;

/// The memory that the processes share, and what only the operating system knows of them.
pub trait ClaimStore: Send {
    /// The words of the table.
    fn words(&self) -> &[AtomicU64];
    /// Whether the process with this number is running.
    fn is_alive(&self, owner: Owner) -> bool;
    /// The time since the start of the machine, in seconds, which is the same in all processes.
    fn uptime_s(&self) -> u32;
}

/// The claims of this process, in the table that it shares with the other process of an upgrade.
pub struct IdClaims {
    store: Box<dyn ClaimStore>,
    owner: Owner,
    /// Part of each hash, so that clients cannot choose ids that share a bucket.
    hash_seed: u64,
}

impl IdClaims {
    /// Starts to make claims as `owner`. Removes those that an earlier process with this number has left for requests
    /// that never ran.
    pub fn new(store: Box<dyn ClaimStore>, owner: Owner, hash_seed: u64) -> IdClaims {
        let claims = IdClaims { store, owner, hash_seed };
        claims.table().clear_unsent(owner);
        claims
    }

    /// Claims the id of a request that may take `time_left`.
    ///
    /// # Errors
    ///
    /// If the id is in use or was used recently, here or at the other process, or if the table is full.
    pub fn claim(&self, id: &str, time_left: Micros) -> Result<(), ClaimError> {
        let time_left_s = (time_left / SECOND).clamp(0, Micros::from(MAX_HOLD_S / 2)) as u32;
        let hold_s = time_left_s + RETENTION_S;
        let is_alive = |owner| owner == self.owner || self.store.is_alive(owner);
        self.table().claim(self.hash(id), self.owner, self.store.uptime_s(), hold_s, is_alive)
    }

    /// Records that an attempt of the request with this id is made. Returns false if the claim is lost, so that the
    /// attempt must not be made.
    #[must_use]
    pub fn begin_attempt(&self, id: &str) -> bool {
        self.table().begin_attempt(self.hash(id), self.owner)
    }

    /// Whether another process has an open request with this id.
    pub fn is_open_elsewhere(&self, id: &str) -> bool {
        self.table().is_open_elsewhere(self.hash(id), self.owner, self.store.uptime_s())
    }

    /// Records that the request with this id has ended. Its id can be used again only if no attempt of it was made.
    pub fn end(&self, id: &str, was_attempted: bool) {
        let hash = self.hash(id);
        if was_attempted {
            self.table().finish(hash, self.owner, self.store.uptime_s(), RETENTION_S);
        } else {
            self.table().release(hash, self.owner);
        }
    }

    fn table(&self) -> ClaimTable<'_> {
        ClaimTable::new(self.store.words())
    }

    fn hash(&self, id: &str) -> u64 {
        mix(fnv1a(id.as_bytes()) ^ self.hash_seed)
    }
}

/// Spreads the differences of hashes over all bits (the finalizer of `MurmurHash3`, A. Appleby).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ hash >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ hash >> 33).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ hash >> 33
}

#[cfg(test)]
#[path = "id_claims_tests.rs"]
mod tests;
