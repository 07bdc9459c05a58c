//! Measures the processor time and memory of an operation on the current thread.

use crate::error::CapacityError;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Resources used by an operation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Processor time of the thread.
    pub processor: Duration,
    /// The number of allocations.
    pub allocations: u64,
    /// Bytes allocated and not freed.
    pub bytes_retained: i64,
}

impl ResourceUsage {
    /// Processor time in microseconds.
    pub fn processor_us(&self) -> f64 {
        self.processor.as_secs_f64() * 1e6
    }
}

impl std::ops::Sub for ResourceUsage {
    type Output = ResourceUsage;

    fn sub(self, earlier: ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            processor: self.processor - earlier.processor,
            allocations: self.allocations - earlier.allocations,
            bytes_retained: self.bytes_retained - earlier.bytes_retained,
        }
    }
}

impl std::ops::AddAssign for ResourceUsage {
    fn add_assign(&mut self, other: ResourceUsage) {
        self.processor += other.processor;
        self.allocations += other.allocations;
        self.bytes_retained += other.bytes_retained;
    }
}

/// Runs an operation and measures its resources. The processor time includes the overhead of counting allocations.
///
/// # Errors
/// [`CapacityError::ProcessorTime`] if the processor time cannot be read.
pub fn measure<T>(operation: impl FnOnce() -> T) -> Result<(T, ResourceUsage), CapacityError> {
    let mut result = None;
    let before = processor_time()?;
    let allocated = allocation_counter::measure(|| result = Some(operation()));
    let processor = processor_time()?.saturating_sub(before);
    let usage = ResourceUsage {
        processor,
        allocations: allocated.count_total,
        bytes_retained: allocated.bytes_current,
    };
    match result {
        Some(result) => Ok((result, usage)),
        None => unreachable!("the operation has run"),
    }
}

fn processor_time() -> Result<Duration, CapacityError> {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_err(CapacityError::ProcessorTime)?;
    Ok(Duration::from(time))
}
