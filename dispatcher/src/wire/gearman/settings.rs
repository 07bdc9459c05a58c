//! The settings of the Gearman front, as the configuration file has them.

use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use toml::Spanned;

/// The file, or the section, that turns the front on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GearmanSettings {
    /// Where clients and workers connect.
    pub listen: SocketAddr,
    /// The slow start of a worker that has just registered, in seconds; if absent, as the settings of the decisions
    /// say.
    #[serde(default)]
    pub cold_s: Option<Spanned<f64>>,
    /// Least time between two steps of the decisions about a function's workers, in milliseconds.
    #[serde(default)]
    pub tick_ms: Option<Spanned<f64>>,
    /// Most jobs of all functions, queued or released.
    #[serde(default = "max_jobs")]
    pub max_jobs: usize,
    /// Memory for the data of these, in MiB; if absent, a quarter of the process's.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Most data of one job, or of its result, in KiB.
    #[serde(default)]
    pub max_job_kb: Option<Spanned<usize>>,
    /// Most bytes that are queued for sending to one connection, in KiB.
    #[serde(default)]
    pub outbox_kb: Option<Spanned<usize>>,
    /// How long a worker that was woken may take to grab its job, in seconds.
    #[serde(default)]
    pub grab_s: Option<Spanned<f64>>,
    /// Whether a worker's bytes are acknowledged at once.
    #[serde(default = "enabled")]
    pub quick_ack: bool,
    /// The time zone in which the fields of SUBMIT_JOB_SCHED are read.
    #[serde(default)]
    pub timezone: Option<Spanned<String>>,
    /// The addresses from which administrators may send commands that change something.
    #[serde(default)]
    pub admins: Vec<IpAddr>,
    /// Most functions.
    #[serde(default = "max_functions")]
    pub max_functions: usize,
    /// The entry for functions that are not named: they are added when they are first used. If absent, such functions
    /// are unknown.
    #[serde(default)]
    pub default: Option<FunctionEntry>,
    /// The functions.
    #[serde(default)]
    pub function: Vec<FunctionEntry>,
}

fn max_jobs() -> usize {
    100_000
}

fn max_functions() -> usize {
    256
}

/// A function, as the file has it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionEntry {
    /// Its name.
    #[serde(default)]
    pub name: Option<Spanned<String>>,
    /// The class of its jobs.
    pub class: Spanned<String>,
    /// The class of jobs of high priority, where it differs.
    #[serde(default)]
    pub class_high: Option<Spanned<String>>,
    /// The class of jobs of low priority, where it differs.
    #[serde(default)]
    pub class_low: Option<Spanned<String>>,
    /// The tenant of its jobs.
    #[serde(default)]
    pub tenant: Option<Spanned<String>>,
    /// How long one attempt of a job may take, in seconds: with a queue from its release on, without one from its
    /// arrival.
    pub deadline_s: Spanned<f64>,
    /// `gearman` for workers that register it, or a path such as `/api/pay` at the HTTP hosts.
    pub target: Spanned<String>,
    /// Whether foreground jobs wait for a worker; otherwise the decisions admit or reject them at once.
    #[serde(default = "enabled")]
    pub queue: bool,
    /// Most queued jobs: of each priority, or of high, normal and low.
    #[serde(default)]
    pub max_queue: Option<MaxQueue>,
    /// How long a foreground job waits for a worker, in seconds.
    #[serde(default)]
    pub wait_s: Option<Spanned<f64>>,
    /// How long a background job waits for a worker, in seconds.
    #[serde(default)]
    pub background_s: Option<Spanned<f64>>,
    /// How long one attempt of a background job may take, in seconds.
    #[serde(default)]
    pub background_run_s: Option<Spanned<f64>>,
}

fn enabled() -> bool {
    true
}

/// One bound, or one for each priority.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged)]
pub enum MaxQueue {
    /// The same for each.
    All(usize),
    /// High, normal, low.
    Each([usize; 3]),
}

impl MaxQueue {
    /// The bounds by priority: high, normal, low.
    pub fn by_priority(self) -> [usize; 3] {
        match self {
            MaxQueue::All(bound) => [bound; 3],
            MaxQueue::Each(bounds) => bounds,
        }
    }
}
