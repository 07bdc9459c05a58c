//! A tenant's queues: one for each class and one in order of age, as intrusive doubly linked lists over job keys.

use crate::MAX_CLASSES;

/// Marks the absence of a key.
const NO_KEY: u32 = u32::MAX;

/// A job's links in its class list (index 0) and in the age list (index 1).
#[derive(Clone, Copy, Debug)]
struct Link {
    prev: [u32; 2],
    next: [u32; 2],
}

/// The links of all jobs, indexed by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Links(Vec<Link>);

impl Links {
    /// Extends the table so that it contains `key`.
    pub fn grow(&mut self, key: usize) {
        if key >= self.0.len() {
            self.0.resize(key + 1, Link { prev: [NO_KEY; 2], next: [NO_KEY; 2] });
        }
    }
}

/// The first and the last key of a list.
#[derive(Clone, Copy, Debug)]
struct ListEnds {
    first: u32,
    last: u32,
}

const EMPTY_LIST: ListEnds = ListEnds { first: NO_KEY, last: NO_KEY };

/// The queues of one tenant.
#[derive(Clone, Debug)]
pub(crate) struct TenantQueues {
    classes: [ListEnds; MAX_CLASSES],
    by_age: ListEnds,
    /// Number of queued jobs.
    pub len: usize,
}

impl Default for TenantQueues {
    fn default() -> TenantQueues {
        TenantQueues { classes: [EMPTY_LIST; MAX_CLASSES], by_age: EMPTY_LIST, len: 0 }
    }
}

/// Appends a key to a list (0: class, 1: age).
fn append(ends: &mut ListEnds, list: usize, key: u32, links: &mut Links) {
    let link = &mut links.0[key as usize];
    link.prev[list] = ends.last;
    link.next[list] = NO_KEY;
    match ends.last {
        NO_KEY => ends.first = key,
        last => links.0[last as usize].next[list] = key,
    }
    ends.last = key;
}

/// Removes a key from a list (0: class, 1: age).
fn unlink(ends: &mut ListEnds, list: usize, key: u32, links: &mut Links) {
    let link = links.0[key as usize];
    let prev = link.prev[list];
    let next = link.next[list];
    match prev {
        NO_KEY => ends.first = next,
        prev => links.0[prev as usize].next[list] = next,
    }
    match next {
        NO_KEY => ends.last = prev,
        next => links.0[next as usize].prev[list] = prev,
    }
}

impl TenantQueues {
    /// Appends a job to the queue of its class and to the age list.
    pub fn push(&mut self, class: usize, key: usize, links: &mut Links) {
        append(&mut self.classes[class], 0, key as u32, links);
        append(&mut self.by_age, 1, key as u32, links);
        self.len += 1;
    }
    /// Removes a job from the queue of its class and from the age list.
    pub fn remove(&mut self, class: usize, key: usize, links: &mut Links) {
        unlink(&mut self.classes[class], 0, key as u32, links);
        unlink(&mut self.by_age, 1, key as u32, links);
        self.len -= 1;
    }
    /// The key of the oldest job of the first class that has any, or of the oldest job overall if `by_age` is set.
    pub fn first(&self, by_age: bool) -> Option<usize> {
        let by_class = || self.classes.iter().map(|c| c.first).find(|f| *f != NO_KEY);
        let first = if by_age { Some(self.by_age.first).filter(|f| *f != NO_KEY) } else { by_class() };
        first.map(|f| f as usize)
    }
}
