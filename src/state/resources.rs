//! The resources of a worker: slots and memory.

/// Index of slots in arrays with an element per resource.
pub(crate) const SLOT: usize = 0;
/// Index of memory in arrays with an element per resource.
pub(crate) const MEMORY: usize = 1;
/// Indices of all resources.
pub(crate) const RESOURCES: [usize; 2] = [SLOT, MEMORY];
