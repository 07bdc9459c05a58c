//! The representation of one claim in a 64-bit word.

/// Number of owners that can be told apart.
pub const MAX_OWNERS: u8 = 1 << OWNER_BITS;
/// Longest time from now until a claim expires, in seconds. A claim that would last longer was made before the machine
/// started last, and counts as expired.
pub const MAX_HOLD_S: u32 = 24 * 3600;

const STATE_BITS: u32 = 2;
const OWNER_BITS: u32 = 3;
const EXPIRY_BITS: u32 = 20;
const OWNER_SHIFT: u32 = STATE_BITS;
const EXPIRY_SHIFT: u32 = OWNER_SHIFT + OWNER_BITS;
const FINGERPRINT_SHIFT: u32 = EXPIRY_SHIFT + EXPIRY_BITS;
const EXPIRY_MASK: u32 = (1 << EXPIRY_BITS) - 1;

/// The word of a slot without a claim.
pub const FREE: u64 = 0;

/// What is known about a claimed id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// Its request has not ended, and no attempt of it was made.
    Unsent,
    /// Its request has not ended, and an attempt of it may have run.
    Sent,
    /// Its request has ended, and an attempt of it may have run.
    Finished,
}

/// The number of a process that makes claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner(
    /// The number, below [`MAX_OWNERS`].
    pub u8,
);

/// A claim on an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The upper bits of the id's hash. The lower ones select the bucket.
    pub fingerprint: u64,
    /// What is known about the id.
    pub state: ClaimState,
    /// The process that made the claim.
    pub owner: Owner,
    /// When the claim expires, in seconds, modulo 2^20.
    pub(super) expires_at: u32,
}

impl Claim {
    /// A claim that expires at this time, in seconds.
    pub fn new(fingerprint: u64, state: ClaimState, owner: Owner, expires_at: u32) -> Claim {
        Claim { fingerprint, state, owner, expires_at: expires_at & EXPIRY_MASK }
    }

    /// The fingerprint of a hash.
    pub fn fingerprint_of(hash: u64) -> u64 {
        hash >> FINGERPRINT_SHIFT
    }

    /// Time until the claim expires, in seconds; 0 if it has expired.
    pub fn remaining_s(&self, now: u32) -> u32 {
        let remaining = self.expires_at.wrapping_sub(now) & EXPIRY_MASK;
        if remaining <= MAX_HOLD_S { remaining } else { 0 }
    }

    /// The word of this claim. It is not [`FREE`].
    pub fn encode(&self) -> u64 {
        let state = match self.state {
            ClaimState::Unsent => 1,
            ClaimState::Sent => 2,
            ClaimState::Finished => 3,
        };
        state
            | u64::from(self.owner.0) << OWNER_SHIFT
            | u64::from(self.expires_at) << EXPIRY_SHIFT
            | self.fingerprint << FINGERPRINT_SHIFT
    }

    /// The claim in a word; `None` if there is none.
    pub fn decode(word: u64) -> Option<Claim> {
        let state = match word & ((1 << STATE_BITS) - 1) {
            1 => ClaimState::Unsent,
            2 => ClaimState::Sent,
            3 => ClaimState::Finished,
            _ => return None,
        };
        Some(Claim {
            fingerprint: word >> FINGERPRINT_SHIFT,
            state,
            owner: Owner((word >> OWNER_SHIFT) as u8 & (MAX_OWNERS - 1)),
            expires_at: (word >> EXPIRY_SHIFT) as u32 & EXPIRY_MASK,
        })
    }
}
