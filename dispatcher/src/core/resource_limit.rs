//! Limits on resources of the dispatcher, which the processes of an upgrade divide among themselves.
//!
//! Each process publishes what it uses in a table that all of them see. While several run, each is guaranteed an equal part
//! of a limit, and may use more only of what no other process uses or is guaranteed.

use super::id_claims::{MAX_OWNERS, Owner};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of words before the entries.
pub const HEADER_WORDS: usize = 8;
/// Number of words of the table.
pub const TABLE_WORDS: usize = HEADER_WORDS + MAX_OWNERS as usize * ENTRY_WORDS;
/// Number of words of the entry of a process: a cache line.
const ENTRY_WORDS: usize = 8;
/// Index of the word of an entry that is 1 while its process runs.
const RUNNING_WORD: usize = 0;
/// Index of the word of an entry that holds the use of the first resource.
const FIRST_RESOURCE_WORD: usize = 1;

/// A resource that the processes divide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Memory for messages, in bytes.
    MessageBytes,
    /// Connections of the HTTP front end.
    ClientConnections,
    /// Connections to upstream hosts.
    UpstreamConnections,
    /// Connections of the Gearman front end.
    GearmanConnections,
    /// Connections of the admin interface.
    AdminConnections,
}

/// Words that several threads, and possibly several processes, use.
pub trait Words: Send + Sync {
    /// The words.
    fn words(&self) -> &[AtomicU64];
}

impl Words for Vec<AtomicU64> {
    fn words(&self) -> &[AtomicU64] {
        self
    }
}

/// What each process of the dispatcher uses of the resources.
pub struct UsageTable {
    words: Box<dyn Words>,
    owner: Owner,
}

impl UsageTable {
    /// Enters this process as `owner`, with nothing in use. An entry that an earlier process with this number has left is
    /// replaced.
    pub fn new(words: Box<dyn Words>, owner: Owner) -> Arc<UsageTable> {
        assert!(words.words().len() >= TABLE_WORDS, "too few words for a table");
        let table = UsageTable { words, owner };
        table.clear(owner);
        table.entry(owner)[RUNNING_WORD].store(1, Ordering::SeqCst);
        Arc::new(table)
    }

    /// The table of a process that divides its limits with no other one.
    pub fn of_single_process() -> Arc<UsageTable> {
        let words: Vec<AtomicU64> = (0..TABLE_WORDS).map(|_| AtomicU64::new(0)).collect();
        UsageTable::new(Box::new(words), Owner(0))
    }

    /// Removes the entries of other processes that have ended. `hold_ended` keeps a number from being taken by a new process
    /// as long as its result lives, and returns `None` if a process with the number is running.
    pub fn remove_ended<H>(&self, hold_ended: impl Fn(Owner) -> Option<H>) {
        for other in self.others() {
            if let Some(_held) = hold_ended(other) {
                self.clear(other);
            }
        }
    }

    /// The other processes that run.
    fn others(&self) -> impl Iterator<Item = Owner> {
        let owners = (0..MAX_OWNERS).map(Owner).filter(|owner| *owner != self.owner);
        owners.filter(|owner| self.entry(*owner)[RUNNING_WORD].load(Ordering::SeqCst) != 0)
    }

    fn entry(&self, owner: Owner) -> &[AtomicU64] {
        let start = HEADER_WORDS + usize::from(owner.0) * ENTRY_WORDS;
        &self.words.words()[start..start + ENTRY_WORDS]
    }

    fn used_by(&self, owner: Owner, resource: Resource) -> &AtomicU64 {
        &self.entry(owner)[FIRST_RESOURCE_WORD + resource as usize]
    }

    fn clear(&self, owner: Owner) {
        for word in self.entry(owner) {
            word.store(0, Ordering::SeqCst);
        }
    }
}

/// A limit on one resource.
pub struct ResourceLimit {
    total: u64,
    resource: Resource,
    table: Arc<UsageTable>,
}

impl ResourceLimit {
    /// A limit of `total` for all processes of a table together.
    pub fn new(total: usize, resource: Resource, table: Arc<UsageTable>) -> ResourceLimit {
        ResourceLimit { total: total as u64, resource, table }
    }

    /// A limit for this process alone.
    #[cfg(test)]
    pub fn of_single_process(total: usize, resource: Resource) -> ResourceLimit {
        ResourceLimit::new(total, resource, UsageTable::of_single_process())
    }

    /// How much this process may use while the others use what they do now.
    pub fn current(&self) -> usize {
        let count = self.table.others().count() as u64 + 1;
        let guaranteed = self.total / count;
        let others = self.table.others();
        let used_by_others =
            others.map(|other| self.table.used_by(other, self.resource).load(Ordering::SeqCst));
        let taken = used_by_others.map(|used| used.max(guaranteed)).sum();
        self.total.saturating_sub(taken) as usize
    }

    /// How much this process uses.
    pub fn used(&self) -> usize {
        self.own().load(Ordering::SeqCst) as usize
    }

    /// How much more than its limit this process uses.
    pub fn excess(&self) -> usize {
        self.used().saturating_sub(self.current())
    }

    /// Adds to what this process uses, and returns what it used before. The sum may exceed the limit.
    pub fn add(&self, amount: usize) -> usize {
        self.own().fetch_add(amount as u64, Ordering::SeqCst) as usize
    }

    /// Adds to what this process uses, unless the sum would exceed the limit. Returns whether it was added.
    #[must_use]
    pub fn try_add(&self, amount: usize) -> bool {
        let current = self.current() as u64;
        let add = |used: u64| used.checked_add(amount as u64).filter(|sum| *sum <= current);
        if self.own().fetch_update(Ordering::SeqCst, Ordering::SeqCst, add).is_err() {
            return false;
        }
        // Of two processes that add at the same time, at least one sees here what the other one has added.
        let is_within_limit = self.excess() == 0;
        if !is_within_limit {
            self.remove(amount);
        }
        is_within_limit
    }

    /// Subtracts from what this process uses.
    pub fn remove(&self, amount: usize) {
        self.own().fetch_sub(amount as u64, Ordering::SeqCst);
    }

    fn own(&self) -> &AtomicU64 {
        self.table.used_by(self.table.owner, self.resource)
    }
}

#[cfg(test)]
#[path = "resource_limit_tests.rs"]
mod tests;
