//! A tenant's queues: one for each class and one by age, as intrusive doubly linked lists over the jobs' keys.

use crate::MAX_CLASSES;

/// No key.
const NONE: u32 = u32::MAX;

/// A job's links in two lists: that of its class (0) and that by age (1).
#[derive(Clone, Copy, Debug)]
struct Link {
    before: [u32; 2],
    after: [u32; 2],
}

/// The jobs' links, by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Links(Vec<Link>);

impl Links {
    /// Makes room for a key.
    pub fn grow(&mut self, key: usize) {
        if key >= self.0.len() {
            self.0.resize(key + 1, Link { before: [NONE; 2], after: [NONE; 2] });
        }
    }
}

/// The first and the last key of a list.
#[derive(Clone, Copy, Debug)]
struct Ends {
    first: u32,
    last: u32,
}

/// An empty list.
const EMPTY: Ends = Ends { first: NONE, last: NONE };

/// The queues of one tenant.
#[derive(Clone, Debug)]
pub(crate) struct TenantQueues {
    classes: [Ends; MAX_CLASSES],
    by_age: Ends,
    /// Number of jobs in them.
    pub len: usize,
}

impl Default for TenantQueues {
    fn default() -> TenantQueues {
        TenantQueues { classes: [EMPTY; MAX_CLASSES], by_age: EMPTY, len: 0 }
    }
}

/// Appends a key to a list.
fn append(ends: &mut Ends, list: usize, key: u32, links: &mut Links) {
    let link = &mut links.0[key as usize];
    link.before[list] = ends.last;
    link.after[list] = NONE;
    match ends.last {
        NONE => ends.first = key,
        last => links.0[last as usize].after[list] = key,
    }
    ends.last = key;
}

/// Removes a key from a list.
fn unlink(ends: &mut Ends, list: usize, key: u32, links: &mut Links) {
    let link = links.0[key as usize];
    let before = link.before[list];
    let after = link.after[list];
    match before {
        NONE => ends.first = after,
        previous => links.0[previous as usize].after[list] = after,
    }
    match after {
        NONE => ends.last = before,
        next => links.0[next as usize].before[list] = before,
    }
}

impl TenantQueues {
    /// Appends a job.
    pub fn push(&mut self, class: usize, key: usize, links: &mut Links) {
        append(&mut self.classes[class], 0, key as u32, links);
        append(&mut self.by_age, 1, key as u32, links);
        self.len += 1;
    }
    /// Removes a job.
    pub fn remove(&mut self, class: usize, key: usize, links: &mut Links) {
        unlink(&mut self.classes[class], 0, key as u32, links);
        unlink(&mut self.by_age, 1, key as u32, links);
        self.len -= 1;
    }
    /// The key of the first job by class, or (`aged`) of the oldest.
    pub fn first(&self, aged: bool) -> Option<usize> {
        let by_class = || self.classes.iter().map(|c| c.first).find(|f| *f != NONE);
        let first = if aged { Some(self.by_age.first).filter(|f| *f != NONE) } else { by_class() };
        first.map(|f| f as usize)
    }
}
