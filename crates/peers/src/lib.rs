//! Cluster membership of dispatchers: failure detection, dissemination of the endpoint list, and the size of the fleet.

pub mod codec;
pub mod lists;
pub mod member;
pub mod member_count;
pub mod membership;
pub mod peers;
pub mod watchers;
pub mod wire;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// One second in [`Micros`].
pub const SECOND: Micros = 1_000_000;
