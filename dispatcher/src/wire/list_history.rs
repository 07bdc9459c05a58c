//! What the list service has told of workers that are out of use: an older version, of a replica that lags behind, takes
//! nothing of it back. No I/O.

use super::list::{List, Target};
use std::collections::HashMap;

/// Most workers out of use that are remembered; beyond it those of the oldest versions are forgotten.
const MOST: usize = 8192;

/// The latest word on a worker.
#[derive(Clone, Copy, Debug)]
struct Told {
    rev: u64,
    boot_ms: f64,
}

/// The words of one list service, whose versions can be compared.
#[derive(Debug, Default)]
pub struct ListHistory {
    /// Workers that are listed, with their starts.
    listed: HashMap<String, f64>,
    /// Workers that drain or are gone.
    out: HashMap<String, Told>,
}

impl ListHistory {
    /// Takes a list in. A worker that it says is ready stays as draining where a later version said that it is out of use;
    /// a worker that has started anew since is another process.
    pub fn admit(&mut self, list: &mut List) {
        let rev = list.rev;
        for target in &mut list.targets {
            let told = self.out.get(&target.uid);
            if target.state == "ready" && told.is_some_and(|t| t.rev > rev && t.boot_ms == target.boot_ms) {
                target.state = "draining".to_owned();
            }
        }
        if list.all {
            self.note_missing(list);
        }
        list.targets.iter().for_each(|target| self.note(target, rev));
        self.forget_oldest();
    }

    /// Who is missing from a whole list is gone.
    fn note_missing(&mut self, list: &List) {
        let mut before = std::mem::take(&mut self.listed);
        list.targets.iter().for_each(|target| _ = before.remove(&target.uid));
        before.into_iter().for_each(|(uid, boot_ms)| self.note_out(uid, Told { rev: list.rev, boot_ms }));
    }

    fn note(&mut self, target: &Target, rev: u64) {
        let uid = target.uid.clone();
        match target.state.as_str() {
            "ready" => _ = self.out.remove(&uid),
            "draining" | "gone" => self.note_out(uid, Told { rev, boot_ms: target.boot_ms }),
            _ => {}
        }
        if target.state != "gone" {
            self.listed.insert(target.uid.clone(), target.boot_ms);
        } else {
            self.listed.remove(&target.uid);
        }
    }

    fn note_out(&mut self, uid: String, told: Told) {
        let latest = self.out.entry(uid).or_insert(told);
        if told.rev >= latest.rev {
            *latest = told;
        }
    }

    fn forget_oldest(&mut self) {
        if self.out.len() <= MOST {
            return;
        }
        let mut revs: Vec<u64> = self.out.values().map(|told| told.rev).collect();
        revs.sort_unstable();
        let least = revs[revs.len() - MOST];
        self.out.retain(|_, told| told.rev >= least);
    }
}

#[cfg(test)]
#[path = "list_history_tests.rs"]
mod tests;
