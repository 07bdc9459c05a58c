//! Processor time and memory of a piece of work on this thread.

use crate::error::CapacityError;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// What some work took.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spent {
    /// Processor time of this thread.
    pub processor: Duration,
    /// Allocations made.
    pub allocations: u64,
    /// Bytes allocated and not given back.
    pub bytes_kept: i64,
}

impl Spent {
    /// Processor time in microseconds.
    pub fn processor_us(&self) -> f64 {
        self.processor.as_secs_f64() * 1e6
    }
}

impl std::ops::AddAssign for Spent {
    fn add_assign(&mut self, other: Spent) {
        self.processor += other.processor;
        self.allocations += other.allocations;
        self.bytes_kept += other.bytes_kept;
    }
}

/// Does some work and measures what it took. The processor time contains that of counting allocations.
///
/// # Errors
/// [`CapacityError::Clock`] if the processor time cannot be read.
pub fn measure<T>(work: impl FnOnce() -> T) -> Result<(T, Spent), CapacityError> {
    let mut done = None;
    let before = processor_time()?;
    let allocated = allocation_counter::measure(|| done = Some(work()));
    let processor = processor_time()?.saturating_sub(before);
    let spent = Spent { processor, allocations: allocated.count_total, bytes_kept: allocated.bytes_current };
    match done {
        Some(done) => Ok((done, spent)),
        None => unreachable!("the work was done"),
    }
}

fn processor_time() -> Result<Duration, CapacityError> {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_err(CapacityError::Clock)?;
    Ok(Duration::from(time))
}
