//! What discovery has said of workers that are out of use, so that an older revision, from a replica that lags behind,
//! does not bring them back. No I/O.

use super::list::{EndpointList, Target};
use std::collections::HashMap;

/// Most unavailable workers that are remembered; beyond it those of the oldest revisions are forgotten.
const MAX_UNAVAILABLE: usize = 8192;

/// When a worker was last said to be unavailable.
#[derive(Clone, Copy, Debug)]
struct Unavailable {
    /// The revision of the list that said so.
    revision: u64,
    /// The start of the worker that it said so of, in milliseconds since the Unix epoch.
    started_at_ms: f64,
}

/// The lists of one discovery service, whose revisions can be compared.
#[derive(Debug, Default)]
pub struct ListHistory {
    /// The workers that are listed, with their starts in milliseconds since the Unix epoch.
    listed: HashMap<String, f64>,
    /// The workers that drain or are gone.
    unavailable: HashMap<String, Unavailable>,
}

impl ListHistory {
    /// Records a list, and corrects it: a worker that it has as ready is draining if a later revision said that it is
    /// unavailable, unless it has restarted since and so is another process.
    pub fn record(&mut self, list: &mut EndpointList) {
        self.correct_outdated(list);
        if list.is_complete {
            self.record_missing(list);
        }
        for target in &list.targets {
            self.record_target(target, list.revision);
        }
        self.forget_oldest();
    }

    fn correct_outdated(&self, list: &mut EndpointList) {
        for target in &mut list.targets {
            let Some(known) = self.unavailable.get(&target.uid) else { continue };
            let is_outdated = known.revision > list.revision && known.started_at_ms == target.started_at_ms;
            if target.state == "ready" && is_outdated {
                target.state = "draining".to_owned();
            }
        }
    }

    /// A worker that is missing from a complete list is gone.
    fn record_missing(&mut self, list: &EndpointList) {
        let mut missing = std::mem::take(&mut self.listed);
        for target in &list.targets {
            missing.remove(&target.uid);
        }
        for (uid, started_at_ms) in missing {
            self.record_unavailable(uid, Unavailable { revision: list.revision, started_at_ms });
        }
    }

    fn record_target(&mut self, target: &Target, revision: u64) {
        let started_at_ms = target.started_at_ms;
        match target.state.as_str() {
            "ready" => {
                self.unavailable.remove(&target.uid);
            }
            "draining" | "gone" => {
                self.record_unavailable(target.uid.clone(), Unavailable { revision, started_at_ms });
            }
            _ => {}
        }
        if target.state == "gone" {
            self.listed.remove(&target.uid);
        } else {
            self.listed.insert(target.uid.clone(), started_at_ms);
        }
    }

    fn record_unavailable(&mut self, uid: String, unavailable: Unavailable) {
        let latest = self.unavailable.entry(uid).or_insert(unavailable);
        if unavailable.revision >= latest.revision {
            *latest = unavailable;
        }
    }

    fn forget_oldest(&mut self) {
        if self.unavailable.len() <= MAX_UNAVAILABLE {
            return;
        }
        let mut revisions: Vec<u64> = self.unavailable.values().map(|known| known.revision).collect();
        revisions.sort_unstable();
        let oldest_kept = revisions[revisions.len() - MAX_UNAVAILABLE];
        self.unavailable.retain(|_, known| known.revision >= oldest_kept);
    }
}

#[cfg(test)]
#[path = "list_history_tests.rs"]
mod tests;
