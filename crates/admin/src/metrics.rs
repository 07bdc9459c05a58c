//! The figures that `METRICS` shows: counted where each event happens, with atomics that nobody locks.

use roselock_discovery_client::startup_stage::{StartupProgress, StartupStage};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, AtomicU8, AtomicU64, Ordering};

/// The counts of one class, from the start of the process.
#[derive(Default)]
pub struct ClassCounters {
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
pub enum JobResult {
    /// Served.
    Answered,
    /// Refused.
    Deferred,
    /// Failed or out of time.
    Errored,
}

/// All figures of a process.
pub struct Metrics {
    names: Vec<String>,
    classes: Vec<ClassCounters>,
    /// Streams taken and not ended.
    pub current: AtomicI64,
    /// Workers in the list; the owner of the decisions sets it.
    pub cluster_size: AtomicU64,
    /// Those of them that are avoided, by hand or by choice.
    pub cluster_unhealthy: AtomicU64,
    /// How far the start has come, and the calls to the list service, of them failed; the owner sets them.
    stage: AtomicU8,
    list_calls: AtomicU64,
    failed_list_calls: AtomicU64,
    /// How long after the start the first list came, in milliseconds; less than 0 before.
    confirmed_ms: AtomicI64,
    /// Lists that made no sense and were dropped.
    lists_spoilt: AtomicU64,
}

/// The start as shown.
#[derive(Serialize)]
struct StartupSnapshot {
    stage: &'static str,
    list_calls: u64,
    list_calls_failed: u64,
    /// Seconds.
    confirmed_after_s: Option<f64>,
}

/// The figures of a class as shown.
#[derive(Serialize)]
struct ClassSnapshot {
    answered: u64,
    deferred: u64,
    errored: u64,
    sends: u64,
}

#[derive(Serialize)]
struct Snapshot<'a> {
    transactions: BTreeMap<&'a str, ClassSnapshot>,
    /// Of all classes.
    sends: u64,
    current: i64,
    cluster_size: u64,
    cluster_unhealthy: u64,
    lists_spoilt: u64,
    start: StartupSnapshot,
}

impl Metrics {
    /// Nothing counted yet, for classes of these names, by their numbers.
    pub fn new(names: Vec<String>) -> Metrics {
        let classes = names.iter().map(|_| ClassCounters::default()).collect();
        Metrics {
            names,
            classes,
            current: AtomicI64::new(0),
            cluster_size: AtomicU64::new(0),
            cluster_unhealthy: AtomicU64::new(0),
            stage: AtomicU8::new(0),
            list_calls: AtomicU64::new(0),
            failed_list_calls: AtomicU64::new(0),
            confirmed_ms: AtomicI64::new(-1),
            lists_spoilt: AtomicU64::new(0),
        }
    }
    /// Counts a stream that was taken.
    pub fn job_admitted(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }
    /// Counts a stream that its client left: it is not current any more, and counts as nothing else.
    pub fn client_disconnected(&self) {
        self.current.fetch_sub(1, Ordering::Relaxed);
    }
    /// Counts a stream's end, of a class by its number, once; `counted` says whether it was counted as taken.
    pub fn job_ended(&self, class: usize, end: JobResult, counted: bool) {
        if counted {
            self.current.fetch_sub(1, Ordering::Relaxed);
        }
        let Some(class) = self.classes.get(class) else { return };
        let count = match end {
            JobResult::Answered => &class.answered,
            JobResult::Deferred => &class.deferred,
            JobResult::Errored => &class.errored,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
    /// Counts an upstream request that was written whole.
    pub fn attempt_sent(&self, class: usize) {
        if let Some(class) = self.classes.get(class) {
            class.sends.fetch_add(1, Ordering::Relaxed);
        }
    }
    /// Counts a list that made no sense; how many there were.
    pub fn count_malformed_list(&self) -> u64 {
        self.lists_spoilt.fetch_add(1, Ordering::Relaxed) + 1
    }
    /// Sets what the list holds.
    pub fn set_cluster(&self, size: usize, unhealthy: usize) {
        self.cluster_size.store(size as u64, Ordering::Relaxed);
        self.cluster_unhealthy.store(unhealthy as u64, Ordering::Relaxed);
    }
    /// Sets how far the start has come; `first` is how long after it the first list came, in microseconds, once.
    pub fn start(&self, start: &StartupProgress, first: Option<i64>) {
        self.stage.store(start.stage() as u8, Ordering::Relaxed);
        self.list_calls.store(start.calls, Ordering::Relaxed);
        self.failed_list_calls.store(start.failed_calls, Ordering::Relaxed);
        first.iter().for_each(|us| self.confirmed_ms.store(us / 1000, Ordering::Relaxed));
    }
    /// How far the start has come.
    pub fn stage(&self) -> StartupStage {
        StartupStage::from_number(self.stage.load(Ordering::Relaxed))
    }
    /// The line that `METRICS` shows, without its end.
    pub fn render(&self) -> String {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let transactions = self.names.iter().zip(&self.classes).map(|(name, class)| {
            let shown = ClassSnapshot {
                answered: get(&class.answered),
                deferred: get(&class.deferred),
                errored: get(&class.errored),
                sends: get(&class.sends),
            };
            (name.as_str(), shown)
        });
        let transactions: BTreeMap<&str, ClassSnapshot> = transactions.collect();
        let all = Snapshot {
            sends: transactions.values().map(|shown| shown.sends).sum(),
            transactions,
            current: self.current.load(Ordering::Relaxed).max(0),
            cluster_size: get(&self.cluster_size),
            cluster_unhealthy: get(&self.cluster_unhealthy),
            lists_spoilt: get(&self.lists_spoilt),
            start: StartupSnapshot {
                stage: self.stage().description(),
                list_calls: get(&self.list_calls),
                list_calls_failed: get(&self.failed_list_calls),
                confirmed_after_s: Some(self.confirmed_ms.load(Ordering::Relaxed))
                    .filter(|ms| *ms >= 0)
                    .map(|ms| ms as f64 / 1e3),
            },
        };
        serde_json::to_string(&all).unwrap_or_else(|_| "{}".to_owned())
    }
}
