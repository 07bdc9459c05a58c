//! A hash table of claims in words that several processes share. It has no lock, so that a process that is stopped or
//! killed at any point does not block the others: each change is one compare-and-swap of a word.

use super::claim::{Claim, ClaimState, FREE, Owner};
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of words before the slots.
pub const HEADER_WORDS: usize = 8;
/// Number of slots in a bucket. A claim lies in any slot of the bucket that its hash selects.
const BUCKET_SLOTS: usize = 16;
/// Number of buckets: a power of two.
const BUCKETS: usize = 2048;
/// Number of words of a table.
pub const TABLE_WORDS: usize = HEADER_WORDS + BUCKETS * BUCKET_SLOTS;

/// How often a claim is attempted while other processes change the same bucket.
const MAX_TRIES: usize = 16;
/// How often a process looks whether another one withdraws its simultaneous claim on the same id.
const MAX_YIELD_CHECKS: usize = 64;

/// Why an id cannot be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// The id is claimed already.
    InUse,
    /// All slots of its bucket hold requests that have not ended.
    Full,
}

/// The table in the shared words.
pub struct ClaimTable<'a> {
    words: &'a [AtomicU64],
}

impl ClaimTable<'_> {
    /// A table in these words; at least [`TABLE_WORDS`].
    pub fn new(words: &[AtomicU64]) -> ClaimTable<'_> {
        assert!(words.len() >= TABLE_WORDS, "too few words for a table");
        ClaimTable { words }
    }

    /// Claims the id with this hash for a request that begins. Two processes that do so at the same time never both
    /// succeed. A claim of a process that has ended without an attempt is taken over.
    ///
    /// # Errors
    ///
    /// If the id is claimed, or if there is no slot for the claim.
    pub fn claim(
        &self,
        hash: u64,
        owner: Owner,
        now: u32,
        hold_s: u32,
        is_alive: impl Fn(Owner) -> bool,
    ) -> Result<(), ClaimError> {
        let bucket = self.bucket(hash);
        let claim = Claim::new(Claim::fingerprint_of(hash), ClaimState::Unsent, owner, now + hold_s);
        for _ in 0..MAX_TRIES {
            clear_dead_claims(bucket, claim.fingerprint, now, &is_alive);
            if is_claimed(bucket, claim.fingerprint, now, None) {
                return Err(ClaimError::InUse);
            }
            let (index, word) = replaceable_slot(bucket, now).ok_or(ClaimError::Full)?;
            if !swap(&bucket[index], word, claim.encode()) {
                continue;
            }
            if wins_against_simultaneous_claims(bucket, &claim, index, now) {
                return Ok(());
            }
            swap(&bucket[index], claim.encode(), FREE);
            return Err(ClaimError::InUse);
        }
        Err(ClaimError::Full)
    }

    /// Records that an attempt of a claimed request is made. Returns false if the claim is lost, so that the attempt
    /// must not be made.
    pub fn begin_attempt(&self, hash: u64, owner: Owner) -> bool {
        self.update(hash, owner, |claim| Some(Claim { state: ClaimState::Sent, ..claim }))
    }

    /// Whether another process than `owner` has an open request with this hash.
    pub fn is_open_elsewhere(&self, hash: u64, owner: Owner, now: u32) -> bool {
        let fingerprint = Claim::fingerprint_of(hash);
        live_claims(self.bucket(hash), now).any(|(_, _, claim)| {
            claim.fingerprint == fingerprint && claim.owner != owner && claim.state != ClaimState::Finished
        })
    }

    /// Records that a request has ended after an attempt. Its id stays claimed for `hold_s` seconds.
    pub fn finish(&self, hash: u64, owner: Owner, now: u32, hold_s: u32) {
        let finished = |claim: Claim| {
            Some(Claim::new(claim.fingerprint, ClaimState::Finished, claim.owner, now + hold_s))
        };
        self.update(hash, owner, finished);
    }

    /// Removes the claim of a request that has ended without an attempt.
    pub fn release(&self, hash: u64, owner: Owner) {
        self.update(hash, owner, |_| None);
    }

    /// Removes the claims without an attempt that an earlier process with this number has left.
    pub fn clear_unsent(&self, owner: Owner) {
        for slot in &self.words[HEADER_WORDS..] {
            let word = slot.load(Ordering::SeqCst);
            let is_left = |claim: Claim| claim.owner == owner && claim.state == ClaimState::Unsent;
            if Claim::decode(word).is_some_and(is_left) {
                swap(slot, word, FREE);
            }
        }
    }

    /// Replaces the claim of an owner on a request that has not ended. Returns whether there was one.
    fn update(&self, hash: u64, owner: Owner, change: impl Fn(Claim) -> Option<Claim>) -> bool {
        let fingerprint = Claim::fingerprint_of(hash);
        for slot in self.bucket(hash) {
            let word = slot.load(Ordering::SeqCst);
            let is_own = |claim: &Claim| {
                claim.fingerprint == fingerprint
                    && claim.owner == owner
                    && claim.state != ClaimState::Finished
            };
            if let Some(claim) = Claim::decode(word).filter(is_own) {
                return swap(slot, word, change(claim).map_or(FREE, |changed| changed.encode()));
            }
        }
        false
    }

    fn bucket(&self, hash: u64) -> &[AtomicU64] {
        let first = HEADER_WORDS + (hash as usize % BUCKETS) * BUCKET_SLOTS;
        &self.words[first..first + BUCKET_SLOTS]
    }
}

/// Replaces a word, unless it has changed.
fn swap(slot: &AtomicU64, old: u64, new: u64) -> bool {
    slot.compare_exchange(old, new, Ordering::SeqCst, Ordering::SeqCst).is_ok()
}

/// The claims in a bucket that have not expired, with their slots and words.
fn live_claims(bucket: &[AtomicU64], now: u32) -> impl Iterator<Item = (usize, u64, Claim)> {
    bucket.iter().enumerate().filter_map(move |(index, slot)| {
        let word = slot.load(Ordering::SeqCst);
        let claim = Claim::decode(word).filter(|claim| claim.remaining_s(now) > 0)?;
        Some((index, word, claim))
    })
}

/// Whether a slot other than `except` holds a claim with this fingerprint.
fn is_claimed(bucket: &[AtomicU64], fingerprint: u64, now: u32, except: Option<usize>) -> bool {
    live_claims(bucket, now)
        .any(|(index, _, claim)| claim.fingerprint == fingerprint && Some(index) != except)
}

/// Removes a claim without an attempt whose owner has ended: its request never ran, and its client may send it again.
fn clear_dead_claims(bucket: &[AtomicU64], fingerprint: u64, now: u32, is_alive: impl Fn(Owner) -> bool) {
    for (index, word, claim) in live_claims(bucket, now) {
        let is_unsent = claim.fingerprint == fingerprint && claim.state == ClaimState::Unsent;
        if is_unsent && !is_alive(claim.owner) {
            swap(&bucket[index], word, FREE);
        }
    }
}

/// A slot for a new claim, with its word: a free or expired one, otherwise that of the request that finished first.
fn replaceable_slot(bucket: &[AtomicU64], now: u32) -> Option<(usize, u64)> {
    let mut earliest_finished: Option<(u32, usize, u64)> = None;
    for (index, slot) in bucket.iter().enumerate() {
        let word = slot.load(Ordering::SeqCst);
        let Some(claim) = Claim::decode(word) else { return Some((index, word)) };
        let remaining = claim.remaining_s(now);
        if remaining == 0 {
            return Some((index, word));
        }
        let is_earlier = earliest_finished.is_none_or(|(earliest, ..)| remaining < earliest);
        if claim.state == ClaimState::Finished && is_earlier {
            earliest_finished = Some((remaining, index, word));
        }
    }
    earliest_finished.map(|(_, index, word)| (index, word))
}

/// Whether a claim that has just been written stands. Each process looks for others after its own write, so of two
/// that write at the same time at least the later one sees the other and withdraws. Where both see each other, the one
/// with the lower number waits for the other to withdraw.
fn wins_against_simultaneous_claims(bucket: &[AtomicU64], own: &Claim, index: usize, now: u32) -> bool {
    for _ in 0..MAX_YIELD_CHECKS {
        let other = live_claims(bucket, now)
            .find(|(other, _, claim)| *other != index && claim.fingerprint == own.fingerprint);
        let Some((_, _, other)) = other else { return true };
        if other.owner <= own.owner {
            return false;
        }
        std::hint::spin_loop();
    }
    false
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
