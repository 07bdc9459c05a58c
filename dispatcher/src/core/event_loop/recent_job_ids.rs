//! The ids of recently finished jobs.

use roselock::Micros;
use roselock::settings::fnv1a;
use std::collections::{HashSet, VecDeque};

/// How long an id is remembered, in microseconds.
const RETENTION: Micros = 60_000_000;
/// Maximum number of remembered ids.
const MAX_IDS: usize = 8192;

/// The hashes of the ids of recently finished jobs of which an attempt was made. Clients use a new id for each request:
/// a request whose id was sent to a host before would take effect a second time.
#[derive(Default)]
pub(super) struct RecentJobIds {
    by_age: VecDeque<RecentId>,
    hashes: HashSet<u64>,
}

struct RecentId {
    finished_at: Micros,
    hash: u64,
}

impl RecentJobIds {
    pub(super) fn contains(&mut self, id: &str, now: Micros) -> bool {
        self.expire(now);
        self.hashes.contains(&fnv1a(id.as_bytes()))
    }
    pub(super) fn insert(&mut self, id: &str, now: Micros) {
        let hash = fnv1a(id.as_bytes());
        if self.hashes.insert(hash) {
            self.by_age.push_back(RecentId { finished_at: now, hash });
        }
    }
    fn expire(&mut self, now: Micros) {
        while let Some(oldest) = self.by_age.front() {
            if oldest.finished_at >= now - RETENTION && self.by_age.len() <= MAX_IDS {
                return;
            }
            self.hashes.remove(&oldest.hash);
            self.by_age.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "recent_job_ids_tests.rs"]
mod tests;
