//! Remembers which workers the discovery service has reported as unavailable, so that an older revision,
//! sent by a replica that lags behind, does not put them back into use. No I/O.

use super::list::{EndpointList, Target};
use std::collections::HashMap;

/// Maximum number of unavailable workers that are remembered; above it, those of the oldest revisions are
/// evicted.
const MAX_UNAVAILABLE_WORKERS: usize = 8192;

/// The latest report that a worker is unavailable.
#[derive(Clone, Copy, Debug)]
struct UnavailableWorker {
    /// The revision of the list that reported it.
    revision: u64,
    /// When the reported worker process started, in milliseconds since the Unix epoch.
    started_at_ms: f64,
}

/// The history of the lists of one discovery service, whose revisions are comparable.
#[derive(Debug, Default)]
pub struct ListHistory {
    /// The listed workers, with their start times in milliseconds since the Unix epoch.
    listed: HashMap<String, f64>,
    /// The workers that are draining or gone.
    unavailable: HashMap<String, UnavailableWorker>,
}

impl ListHistory {
    /// Records a list, and corrects its outdated entries: a worker that is listed as ready is changed to
    /// draining if a later revision reported it as unavailable. A worker that has restarted since is another
    /// process and is not changed.
    pub fn record(&mut self, list: &mut EndpointList) {
        self.override_outdated_entries(list);
        if list.is_complete {
            self.record_missing_workers(list);
        }
        for target in &list.targets {
            self.record_target(target, list.revision);
        }
        self.evict_oldest_unavailable();
    }

    fn override_outdated_entries(&self, list: &mut EndpointList) {
        for target in &mut list.targets {
            let Some(known) = self.unavailable.get(&target.uid) else { continue };
            let is_outdated = known.revision > list.revision && known.started_at_ms == target.started_at_ms;
            if target.state == "ready" && is_outdated {
                target.state = "draining".to_owned();
            }
        }
    }

    /// Records workers that are missing from a complete list as unavailable.
    fn record_missing_workers(&mut self, list: &EndpointList) {
        let mut missing = std::mem::take(&mut self.listed);
        for target in &list.targets {
            missing.remove(&target.uid);
        }
        for (uid, started_at_ms) in missing {
            self.record_unavailable(uid, UnavailableWorker { revision: list.revision, started_at_ms });
        }
    }

    fn record_target(&mut self, target: &Target, revision: u64) {
        let started_at_ms = target.started_at_ms;
        match target.state.as_str() {
            "ready" => {
                self.unavailable.remove(&target.uid);
            }
            "draining" | "gone" => {
                self.record_unavailable(target.uid.clone(), UnavailableWorker { revision, started_at_ms });
            }
            _ => {}
        }
        if target.state == "gone" {
            self.listed.remove(&target.uid);
        } else {
            self.listed.insert(target.uid.clone(), started_at_ms);
        }
    }

    fn record_unavailable(&mut self, uid: String, unavailable: UnavailableWorker) {
        let latest = self.unavailable.entry(uid).or_insert(unavailable);
        if unavailable.revision >= latest.revision {
            *latest = unavailable;
        }
    }

    fn evict_oldest_unavailable(&mut self) {
        if self.unavailable.len() <= MAX_UNAVAILABLE_WORKERS {
            return;
        }
        let mut revisions: Vec<u64> = self.unavailable.values().map(|known| known.revision).collect();
        revisions.sort_unstable();
        let oldest_kept = revisions[revisions.len() - MAX_UNAVAILABLE_WORKERS];
        self.unavailable.retain(|_, known| known.revision >= oldest_kept);
    }
}

#[cfg(test)]
#[path = "list_history_tests.rs"]
mod tests;
