//! The graph of jobs that wait for one another: cycles and depth.

use crate::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// The cycle that begins at a job, if the jobs that it leads to lead back to it.
pub(crate) fn cycle(start: JobId, next: impl Fn(JobId) -> Vec<JobId>) -> Option<Vec<JobId>> {
    let mut reached_from: BTreeMap<JobId, JobId> = BTreeMap::new();
    let mut unvisited = vec![start];
    while let Some(at) = unvisited.pop() {
        for to in next(at) {
            if to == start {
                let mut cycle = vec![at];
                while let Some(before) = cycle.last().and_then(|last| reached_from.get(last)) {
                    cycle.push(*before);
                }
                if at == start {
                    cycle = vec![start];
                }
                cycle.reverse();
                return Some(cycle);
            }
            if let std::collections::btree_map::Entry::Vacant(entry) = reached_from.entry(to) {
                entry.insert(at);
                unvisited.push(to);
            }
        }
    }
    None
}

/// Length of the longest chain beyond a job, counted level by level up to a bound.
pub(crate) fn depth(start: JobId, max_depth: usize, next: impl Fn(JobId) -> Vec<JobId>) -> usize {
    let mut level: BTreeSet<JobId> = BTreeSet::from([start]);
    for depth in 0..=max_depth {
        level = level.into_iter().flat_map(&next).collect();
        if level.is_empty() {
            return depth;
        }
    }
    max_depth + 1
}
