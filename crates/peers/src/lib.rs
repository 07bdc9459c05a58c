//! Dispatchers that know one another.

pub mod askers;
pub mod codec;
pub mod count;
pub mod lists;
pub mod member;
pub mod membership;
pub mod peers;
pub mod wire;

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
