//! Cycle detection and chain length in the dependency graph.

use crate::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// Returns a cycle through `start`, if `start` is reachable from itself along `next`.
pub(crate) fn find_cycle(start: JobId, next: impl Fn(JobId) -> Vec<JobId>) -> Option<Vec<JobId>> {
    let mut predecessors: BTreeMap<JobId, JobId> = BTreeMap::new();
    let mut stack = vec![start];
    while let Some(at) = stack.pop() {
        for to in next(at) {
            if to == start {
                let mut cycle = vec![at];
                while let Some(predecessor) = cycle.last().and_then(|last| predecessors.get(last)) {
                    cycle.push(*predecessor);
                }
                if at == start {
                    cycle = vec![start];
                }
                cycle.reverse();
                return Some(cycle);
            }
            if let std::collections::btree_map::Entry::Vacant(entry) = predecessors.entry(to) {
                entry.insert(at);
                stack.push(to);
            }
        }
    }
    None
}

/// The number of edges of the longest chain from `start`, counted level by level; `max_depth + 1` if it is longer.
pub(crate) fn chain_length(start: JobId, max_depth: usize, next: impl Fn(JobId) -> Vec<JobId>) -> usize {
    let mut level: BTreeSet<JobId> = BTreeSet::from([start]);
    for depth in 0..=max_depth {
        level = level.into_iter().flat_map(&next).collect();
        if level.is_empty() {
            return depth;
        }
    }
    max_depth + 1
}
