//! The metrics that `METRICS` shows. Each event is counted where it happens, in atomics; only the memory of
//! the process, which is published twice a second, is behind a lock.

use parking_lot::Mutex;
use roselock_discovery_client::startup_stage::{StartupProgress, StartupStage};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, AtomicU8, AtomicU64, Ordering};

/// The counters of one request class, since the start of the process.
#[derive(Default)]
pub struct ClassCounters {
    /// Number of requests that were served.
    pub answered: AtomicU64,
    /// Number of requests that were rejected, by a local response of 429 or 503.
    pub deferred: AtomicU64,
    /// Number of requests that failed: any other final answer that is not a worker's result.
    pub errored: AtomicU64,
    /// Number of attempts that were written completely to workers.
    pub sends: AtomicU64,
}

/// How a request ended, named after the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobResult {
    /// The request was served.
    Answered,
    /// The request was rejected.
    Deferred,
    /// The request failed or timed out.
    Errored,
}

/// The memory of the process, in bytes, as last published.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemoryFigures {
    /// The configured limit.
    pub limit: u64,
    /// The resident memory.
    pub resident: u64,
    /// The highest resident memory so far.
    pub peak: u64,
    /// The memory that is reserved for clients' requests.
    pub reserved: u64,
    /// The number of reservations that were refused since the start, for lack of memory.
    pub refused: u64,
}

/// All metrics of a process.
pub struct Metrics {
    class_names: Vec<String>,
    classes: Vec<ClassCounters>,
    /// Number of requests that were admitted and have not ended.
    pub current: AtomicI64,
    /// Number of workers in the endpoint list.
    pub cluster_size: AtomicU64,
    /// Number of these workers that are avoided: suspended, or ejected as outliers.
    pub cluster_unhealthy: AtomicU64,
    /// The [`StartupStage`], as its number.
    stage: AtomicU8,
    /// Number of calls to the discovery service.
    list_calls: AtomicU64,
    /// Number of these calls that failed.
    failed_list_calls: AtomicU64,
    /// Time from the start to the first list, in milliseconds; negative until that list is received.
    confirmed_after_ms: AtomicI64,
    /// Number of lists that were discarded as malformed.
    malformed_lists: AtomicU64,
    memory: Mutex<MemoryFigures>,
}

/// The progress of the startup, as shown.
#[derive(Serialize)]
struct StartupSnapshot {
    stage: &'static str,
    list_calls: u64,
    list_calls_failed: u64,
    confirmed_after_s: Option<f64>,
}

/// The counters of a class, as shown.
#[derive(Serialize)]
struct ClassSnapshot {
    answered: u64,
    deferred: u64,
    errored: u64,
    sends: u64,
}

/// All metrics, as shown. Operators' tools read these keys.
#[derive(Serialize)]
struct Snapshot<'a> {
    transactions: BTreeMap<&'a str, ClassSnapshot>,
    /// The sum over all classes.
    sends: u64,
    current: i64,
    cluster_size: u64,
    cluster_unhealthy: u64,
    #[serde(rename = "lists_spoilt")]
    malformed_lists: u64,
    memory: MemoryFigures,
    start: StartupSnapshot,
}

impl Metrics {
    /// Metrics with all counters at zero. `class_names` are the names of the request classes, by class id.
    #[must_use]
    pub fn new(class_names: Vec<String>) -> Metrics {
        let classes = class_names.iter().map(|_| ClassCounters::default()).collect();
        Metrics {
            class_names,
            classes,
            current: AtomicI64::new(0),
            cluster_size: AtomicU64::new(0),
            cluster_unhealthy: AtomicU64::new(0),
            stage: AtomicU8::new(0),
            list_calls: AtomicU64::new(0),
            failed_list_calls: AtomicU64::new(0),
            confirmed_after_ms: AtomicI64::new(-1),
            malformed_lists: AtomicU64::new(0),
            memory: Mutex::default(),
        }
    }

    /// Counts a request that was admitted.
    pub fn job_admitted(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an admitted request whose client disconnected: it is no longer current, and has no result.
    pub fn client_disconnected(&self) {
        self.current.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts the end of a request, once per request. `class` is its class id; `was_admitted` tells whether it was counted as
    /// admitted.
    pub fn job_ended(&self, class: usize, result: JobResult, was_admitted: bool) {
        if was_admitted {
            self.current.fetch_sub(1, Ordering::Relaxed);
        }
        let Some(class) = self.classes.get(class) else { return };
        let counter = match result {
            JobResult::Answered => &class.answered,
            JobResult::Deferred => &class.deferred,
            JobResult::Errored => &class.errored,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt that was written completely to a worker. `class` is the request's class id.
    pub fn attempt_sent(&self, class: usize) {
        if let Some(class) = self.classes.get(class) {
            class.sends.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a malformed list; returns the number of malformed lists, including this one.
    pub fn count_malformed_list(&self) -> u64 {
        self.malformed_lists.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Sets the number of workers in the endpoint list, and the number of these that are avoided.
    pub fn set_cluster(&self, size: usize, unhealthy: usize) {
        self.cluster_size.store(size as u64, Ordering::Relaxed);
        self.cluster_unhealthy.store(unhealthy as u64, Ordering::Relaxed);
    }

    /// Sets the progress of the startup. `first_list_after` is the time from the start to the first list, in microseconds,
    /// given only with that list.
    pub fn set_startup_progress(&self, progress: &StartupProgress, first_list_after: Option<i64>) {
        self.stage.store(progress.stage() as u8, Ordering::Relaxed);
        self.list_calls.store(progress.calls, Ordering::Relaxed);
        self.failed_list_calls.store(progress.failed_calls, Ordering::Relaxed);
        if let Some(microseconds) = first_list_after {
            self.confirmed_after_ms.store(microseconds / 1000, Ordering::Relaxed);
        }
    }

    /// Sets the memory of the process.
    pub fn set_memory(&self, figures: MemoryFigures) {
        *self.memory.lock() = figures;
    }

    /// The number of requests that were admitted and have not ended.
    #[must_use]
    pub fn current(&self) -> i64 {
        self.current.load(Ordering::Relaxed).max(0)
    }

    /// The stage of the startup.
    #[must_use]
    pub fn stage(&self) -> StartupStage {
        StartupStage::from_u8(self.stage.load(Ordering::Relaxed))
    }

    /// The JSON line that `METRICS` shows, without its line ending.
    #[must_use]
    pub fn render(&self) -> String {
        serde_json::to_string(&self.snapshot()).unwrap_or_else(|_| "{}".to_owned())
    }

    fn snapshot(&self) -> Snapshot<'_> {
        let mut transactions = BTreeMap::new();
        for (name, counters) in self.class_names.iter().zip(&self.classes) {
            transactions.insert(name.as_str(), counters.snapshot());
        }
        Snapshot {
            sends: transactions.values().map(|class| class.sends).sum(),
            transactions,
            current: self.current(),
            cluster_size: load(&self.cluster_size),
            cluster_unhealthy: load(&self.cluster_unhealthy),
            malformed_lists: load(&self.malformed_lists),
            memory: *self.memory.lock(),
            start: self.startup_snapshot(),
        }
    }

    fn startup_snapshot(&self) -> StartupSnapshot {
        let confirmed_after_ms = self.confirmed_after_ms.load(Ordering::Relaxed);
        StartupSnapshot {
            stage: self.stage().description(),
            list_calls: load(&self.list_calls),
            list_calls_failed: load(&self.failed_list_calls),
            confirmed_after_s: (confirmed_after_ms >= 0).then(|| confirmed_after_ms as f64 / 1e3),
        }
    }
}

impl ClassCounters {
    fn snapshot(&self) -> ClassSnapshot {
        ClassSnapshot {
            answered: load(&self.answered),
            deferred: load(&self.deferred),
            errored: load(&self.errored),
            sends: load(&self.sends),
        }
    }
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
