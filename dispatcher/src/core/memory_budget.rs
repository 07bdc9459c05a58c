//! A budget of memory: what clients and hosts make the process hold is reserved here before it is held.

#[cfg(test)]
use super::resource_limit::Resource;
use super::resource_limit::ResourceLimit;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A fixed number of bytes, which reservations take from and return to.
pub struct MemoryBudget {
    limit: ResourceLimit,
    refused: AtomicU64,
}

impl MemoryBudget {
    /// Creates a budget of `total` bytes for this process alone.
    #[cfg(test)]
    pub fn new(total: usize) -> Arc<MemoryBudget> {
        MemoryBudget::with_limit(ResourceLimit::of_single_process(total, Resource::MessageBytes))
    }

    /// Creates a budget with this limit in bytes.
    pub fn with_limit(limit: ResourceLimit) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { limit, refused: AtomicU64::new(0) })
    }

    /// Reserves memory. Returns `None`, and counts the refusal, if fewer than `bytes` bytes are free.
    pub fn reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Option<MemoryReservation> {
        let is_reserved = self.limit.try_add(bytes);
        if !is_reserved {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        is_reserved.then(|| MemoryReservation { budget: self.clone(), bytes })
    }

    /// Counts memory that is held already. It may exceed the budget, which then refuses reservations until it is returned.
    pub fn charge(self: &Arc<MemoryBudget>, bytes: usize) -> MemoryReservation {
        self.limit.add(bytes);
        MemoryReservation { budget: self.clone(), bytes }
    }

    /// The reserved bytes.
    pub fn reserved(&self) -> usize {
        self.limit.used()
    }

    /// The number of refused reservations.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

/// Reserved memory; returned to its budget on drop.
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.limit.remove(self.bytes);
    }
}

#[cfg(test)]
#[path = "memory_budget_tests.rs"]
mod tests;
