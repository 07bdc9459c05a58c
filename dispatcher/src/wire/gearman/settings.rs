//! The settings of the Gearman front end, as read from the settings file.

use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use toml::Spanned;

/// The file, or the section of a file, that enables the front end.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GearmanSettings {
    /// The address that clients and workers connect to.
    pub listen: SocketAddr,
    /// The slow start of newly registered workers, in seconds; by default that of the scheduling settings.
    #[serde(default)]
    pub cold_s: Option<Spanned<f64>>,
    /// Minimum interval between scheduling ticks of a worker fleet, in milliseconds.
    #[serde(default)]
    pub tick_ms: Option<Spanned<f64>>,
    /// Maximum number of jobs of all functions, queued or released.
    #[serde(default = "max_jobs")]
    pub max_jobs: usize,
    /// Memory limit for the data of these jobs, in MiB; by default a quarter of the process's memory limit.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Maximum size of the data of a job, and of its result, in KiB.
    #[serde(default)]
    pub max_job_kb: Option<Spanned<usize>>,
    /// Maximum size of the send queue of a connection, in KiB.
    #[serde(default)]
    pub outbox_kb: Option<Spanned<usize>>,
    /// Timeout for a worker to grab its reserved job after being woken, in seconds.
    #[serde(default)]
    pub grab_s: Option<Spanned<f64>>,
    /// Whether bytes from workers are acknowledged immediately.
    #[serde(default = "enabled")]
    pub quick_ack: bool,
    /// The time zone of the calendar fields in SUBMIT_JOB_SCHED.
    #[serde(default)]
    pub timezone: Option<Spanned<String>>,
    /// The IP addresses from which administrators may send privileged commands.
    #[serde(default)]
    pub admins: Vec<IpAddr>,
    /// Maximum number of functions.
    #[serde(default = "max_functions")]
    pub max_functions: usize,
    /// The settings for functions that are not named, which are added on first use. If absent, such functions are
    /// unknown.
    #[serde(default)]
    pub default: Option<FunctionEntry>,
    /// The named functions.
    #[serde(default)]
    pub function: Vec<FunctionEntry>,
}

fn max_jobs() -> usize {
    100_000
}

fn max_functions() -> usize {
    256
}

/// The settings of a function, as read from the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionEntry {
    /// The name of the function.
    #[serde(default)]
    pub name: Option<Spanned<String>>,
    /// The class of jobs of normal priority, and the default for the other priorities.
    pub class: Spanned<String>,
    /// The class of jobs of high priority, if it differs.
    #[serde(default)]
    pub class_high: Option<Spanned<String>>,
    /// The class of jobs of low priority, if it differs.
    #[serde(default)]
    pub class_low: Option<Spanned<String>>,
    /// The tenant of the jobs.
    #[serde(default)]
    pub tenant: Option<Spanned<String>>,
    /// Maximum duration of an attempt, in seconds, measured from the job's release, or from its arrival if it is not
    /// queued.
    pub deadline_s: Spanned<f64>,
    /// `gearman` for workers that register the function, or a path such as `/api/pay` at the HTTP hosts.
    pub target: Spanned<String>,
    /// Whether foreground jobs wait for a worker; otherwise the decision logic admits or rejects them immediately.
    #[serde(default = "enabled")]
    pub queue: bool,
    /// Maximum number of queued jobs: one limit per priority, or separate ones for high, normal and low.
    #[serde(default)]
    pub max_queue: Option<MaxQueue>,
    /// Maximum wait of a foreground job for a worker, in seconds.
    #[serde(default)]
    pub wait_s: Option<Spanned<f64>>,
    /// Maximum wait of a background job for a worker, in seconds.
    #[serde(default)]
    pub background_s: Option<Spanned<f64>>,
    /// Maximum duration of an attempt of a background job, in seconds.
    #[serde(default)]
    pub background_run_s: Option<Spanned<f64>>,
}

fn enabled() -> bool {
    true
}

/// Queue limits: one for all priorities, or one for each.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged)]
pub enum MaxQueue {
    /// The same limit for each priority.
    All(usize),
    /// The limits for high, normal and low.
    Each([usize; 3]),
}

impl MaxQueue {
    /// The limits by priority: high, normal, low.
    pub fn by_priority(self) -> [usize; 3] {
        match self {
            MaxQueue::All(limit) => [limit; 3],
            MaxQueue::Each(limits) => limits,
        }
    }
}
