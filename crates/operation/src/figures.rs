//! The figures that `METRICS` shows: counted where each event happens, with atomics that nobody locks.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// The counts of one class, from the start of the process.
#[derive(Default)]
pub struct Class {
    /// Jobs served.
    pub answered: AtomicU64,
    /// Jobs refused: a local reply of 429 or 503.
    pub deferred: AtomicU64,
    /// Jobs failed: any other final answer that is not a worker's result.
    pub errored: AtomicU64,
    /// Upstream requests written whole to workers.
    pub sends: AtomicU64,
}

/// How a stream ended, for the counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Answered,
    /// Refused.
    Deferred,
    /// Failed or out of time.
    Errored,
}

/// All figures of a process.
pub struct Figures {
    names: Vec<String>,
    classes: Vec<Class>,
    /// Streams taken and not ended.
    pub current: AtomicI64,
    /// Workers in the list; the owner of the decisions sets it.
    pub cluster_size: AtomicU64,
    /// Those of them that are avoided, by hand or by choice.
    pub cluster_unhealthy: AtomicU64,
}

/// The figures of a class as shown.
#[derive(Serialize)]
struct Shown {
    answered: u64,
    deferred: u64,
    errored: u64,
    sends: u64,
}

#[derive(Serialize)]
struct All<'a> {
    transactions: BTreeMap<&'a str, Shown>,
    /// Of all classes.
    sends: u64,
    current: i64,
    cluster_size: u64,
    cluster_unhealthy: u64,
}

impl Figures {
    /// Nothing counted yet, for classes of these names, by their numbers.
    pub fn new(names: Vec<String>) -> Figures {
        let classes = names.iter().map(|_| Class::default()).collect();
        Figures {
            names,
            classes,
            current: AtomicI64::new(0),
            cluster_size: AtomicU64::new(0),
            cluster_unhealthy: AtomicU64::new(0),
        }
    }
    /// Counts a stream that was taken.
    pub fn taken(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }
    /// Counts a stream that its client left: it is not current any more, and counts as nothing else.
    pub fn left(&self) {
        self.current.fetch_sub(1, Ordering::Relaxed);
    }
    /// Counts a stream's end, of a class by its number, once; `counted` says whether it was counted as taken.
    pub fn ended(&self, class: usize, end: End, counted: bool) {
        if counted {
            self.current.fetch_sub(1, Ordering::Relaxed);
        }
        let Some(class) = self.classes.get(class) else { return };
        let count = match end {
            End::Answered => &class.answered,
            End::Deferred => &class.deferred,
            End::Errored => &class.errored,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
    /// Counts an upstream request that was written whole.
    pub fn sent(&self, class: usize) {
        if let Some(class) = self.classes.get(class) {
            class.sends.fetch_add(1, Ordering::Relaxed);
        }
    }
    /// Sets what the list holds.
    pub fn cluster(&self, size: usize, unhealthy: usize) {
        self.cluster_size.store(size as u64, Ordering::Relaxed);
        self.cluster_unhealthy.store(unhealthy as u64, Ordering::Relaxed);
    }
    /// The line that `METRICS` shows, without its end.
    pub fn render(&self) -> String {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let transactions = self.names.iter().zip(&self.classes).map(|(name, class)| {
            let shown = Shown {
                answered: get(&class.answered),
                deferred: get(&class.deferred),
                errored: get(&class.errored),
                sends: get(&class.sends),
            };
            (name.as_str(), shown)
        });
        let transactions: BTreeMap<&str, Shown> = transactions.collect();
        let all = All {
            sends: transactions.values().map(|shown| shown.sends).sum(),
            transactions,
            current: self.current.load(Ordering::Relaxed).max(0),
            cluster_size: get(&self.cluster_size),
            cluster_unhealthy: get(&self.cluster_unhealthy),
        };
        serde_json::to_string(&all).unwrap_or_else(|_| "{}".to_owned())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_counted_is_shown_by_class() {
        let figures = Figures::new(vec!["look".into(), "pay".into()]);
        (0..3).for_each(|_| figures.taken());
        figures.ended(0, End::Answered, true);
        figures.ended(1, End::Deferred, true);
        figures.ended(1, End::Errored, false);
        figures.sent(1);
        figures.sent(1);
        figures.sent(7);
        figures.cluster(5, 2);
        let shown: serde_json::Value = serde_json::from_str(&figures.render()).unwrap();
        let want = serde_json::json!({
            "transactions": {
                "look": {"answered": 1, "deferred": 0, "errored": 0, "sends": 0},
                "pay": {"answered": 0, "deferred": 1, "errored": 1, "sends": 2},
            },
            "sends": 2, "current": 1, "cluster_size": 5, "cluster_unhealthy": 2,
        });
        assert_eq!(shown, want);
    }
}
