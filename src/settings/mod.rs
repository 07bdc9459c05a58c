//! The JSON form of a site's settings, used by the simulator's protocol and in a dispatcher's configuration,
//! and its conversion into [`Settings`](crate::Settings).

mod ids_by_name;
mod options;
mod site;

pub use ids_by_name::IdsByName;
pub use options::{Costs, FamilyInfo, Lane, Limits, ObjectiveMix, Options, Party, Safety, WorkerReport};
pub use site::{OptionsError, Site};

use crate::api::{Micros, SECOND};

/// Converts seconds, as used in JSON, to microseconds.
#[must_use]
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds * SECOND as f64).round() as Micros
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash (G. Fowler, L. C. Noll, K.-P. Vo), from which ids of workers and keys are derived.
/// Unlike the standard library's hashers, it returns the same value in every process. It is not resistant to
/// chosen collisions.
#[must_use]
pub fn fnv1a(bytes: &[u8]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}
