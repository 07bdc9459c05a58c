//! Tokens and due times of the dispatcher's own timers. The timer of a job has the job's id as its token.

use crate::api::Micros;

/// Token of the timer for the next pass. All tokens in this module are larger than any job id.
pub(crate) const TICK_TOKEN: u64 = 1 << 40;
/// Token of the timer for the next poll of the discovery service.
pub(crate) const POLL_TOKEN: u64 = 1 << 41;
/// Token of the timer after which an attempt that has not started may be withdrawn.
pub(crate) const MIGRATION_TOKEN: u64 = 1 << 42;

/// Times of the recurring checks.
#[derive(Default)]
pub(crate) struct PassTimers {
    /// When attempts were last checked for being overdue.
    pub(crate) overdue_checked_at: Micros,
    /// When the tick timer fires, if one is set.
    pub(crate) tick_due: Option<Micros>,
}
