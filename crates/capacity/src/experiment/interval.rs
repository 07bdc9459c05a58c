//! A measured interval of simulated time.

use crate::SECOND;
use crate::error::CapacityError;
use crate::simulated_dispatcher::{Counts, SimulatedDispatcher};

/// The counters of a dispatcher over an interval.
pub(super) struct Interval {
    /// The increase of each counter.
    pub(super) counts: Counts,
    /// The length, in simulated seconds.
    seconds: i64,
}

impl Interval {
    /// Advances the simulated time by this many seconds, and measures the dispatcher meanwhile.
    ///
    /// # Errors
    /// As [`SimulatedDispatcher::advance`].
    pub(super) fn measure(
        dispatcher: &mut SimulatedDispatcher,
        seconds: i64,
    ) -> Result<Interval, CapacityError> {
        let before = dispatcher.counts();
        dispatcher.advance(seconds * SECOND)?;
        Ok(Interval { counts: dispatcher.counts() - before, seconds })
    }

    /// A count per second.
    pub(super) fn per_second(&self, count: u64) -> f64 {
        count as f64 / self.seconds as f64
    }

    /// Processor time, in microseconds per second.
    pub(super) fn processor_us_per_second(&self) -> f64 {
        self.counts.usage.processor_us() / self.seconds as f64
    }
}
