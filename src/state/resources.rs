//! The resources of a worker: slots and memory.

/// Index of the slots in a figure for each resource.
pub(crate) const SLOT: usize = 0;
/// Index of the memory in a figure for each resource.
pub(crate) const MEMORY: usize = 1;
/// The resources of a worker.
pub(crate) const RESOURCES: [usize; 2] = [SLOT, MEMORY];
