//! What jobs wait for, and the chains that this makes.

use crate::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Became {
    /// It was served.
    Served,
    /// It failed; it did not take effect.
    Failed,
    /// It was refused.
    Refused,
    /// It may have taken effect: nobody knows. Never what anybody wants by the name of served or failed.
    Unknown,
    /// It ended without being released.
    Dropped,
}

/// What must become of a prerequisite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wants {
    /// Served.
    Served,
    /// Any end.
    Ended,
    /// Failed for certain, refused, or never released.
    Failed,
}

impl Wants {
    /// Whether it is met.
    pub fn is_met_by(self, became: Became) -> bool {
        match self {
            Wants::Served => became == Became::Served,
            Wants::Ended => true,
            Wants::Failed => matches!(became, Became::Failed | Became::Refused | Became::Dropped),
        }
    }
}

/// How many prerequisites must be met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Need {
    /// All.
    #[default]
    All,
    /// One.
    Any,
}

/// What happens to a job whose condition cannot be met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Otherwise {
    /// It fails.
    #[default]
    Fail,
    /// It runs anyway.
    Run,
    /// It ends without a word.
    DropQuietly,
}

/// What an id means that nobody knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unknown {
    /// It is not what is wanted.
    #[default]
    Unmet,
    /// It may yet come, within the limit of the job's own wait.
    Await,
}

/// What a job waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Depends {
    /// The prerequisites.
    pub on: Vec<(JobId, Wants)>,
    /// How many of them.
    pub need: Need,
    /// What if not.
    pub otherwise: Otherwise,
    /// What if nobody knows one.
    pub unknown: Unknown,
}

/// The ring that begins at a job, if its prerequisites lead back to it.
pub(crate) fn ring(start: JobId, next: impl Fn(JobId) -> Vec<JobId>) -> Option<Vec<JobId>> {
    let mut from: BTreeMap<JobId, JobId> = BTreeMap::new();
    let mut open = vec![start];
    while let Some(at) = open.pop() {
        for to in next(at) {
            if to == start {
                let mut ring = vec![at];
                while let Some(before) = ring.last().and_then(|last| from.get(last)) {
                    ring.push(*before);
                }
                if at == start {
                    ring = vec![start];
                }
                ring.reverse();
                return Some(ring);
            }
            if let std::collections::btree_map::Entry::Vacant(entry) = from.entry(to) {
                entry.insert(at);
                open.push(to);
            }
        }
    }
    None
}

/// Jobs on the longest chain beyond a job, looked at level by level up to a bound.
pub(crate) fn depth(start: JobId, most: usize, next: impl Fn(JobId) -> Vec<JobId>) -> usize {
    let mut level: BTreeSet<JobId> = BTreeSet::from([start]);
    for depth in 0..=most {
        level = level.into_iter().flat_map(&next).collect();
        if level.is_empty() {
            return depth;
        }
    }
    most + 1
}
