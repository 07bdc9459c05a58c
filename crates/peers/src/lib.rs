//! Dispatchers in one membership: failure detection, dissemination of the host list, and the size of the fleet.

pub mod codec;
pub mod lists;
pub mod member;
pub mod member_count;
pub mod membership;
pub mod peers;
pub mod watchers;
pub mod wire;

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
