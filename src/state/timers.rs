//! Timers of the dispatcher itself. A job's own timer has the job's id as its token.

use crate::api::Micros;

/// Token of the timer for the next pass; all tokens here are above every job id.
pub(crate) const TICK_TOKEN: u64 = 1 << 40;
/// Token of the timer for the next poll of discovery.
pub(crate) const POLL_TOKEN: u64 = 1 << 41;
/// Token of the timer after which an attempt without a start may be withdrawn.
pub(crate) const MIGRATION_TOKEN: u64 = 1 << 42;

/// When the recurring checks are due.
#[derive(Default)]
pub(crate) struct PassTimers {
    /// When overdue attempts were last looked for.
    pub(crate) overdue_checked_at: Micros,
    /// When the tick timer fires, if one is set.
    pub(crate) tick_due: Option<Micros>,
}
