//! The properties that all workers of a run share.

use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// The properties that all workers of a run share.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerProfile {
    /// Number of jobs that a worker runs concurrently.
    pub slots: usize,
    /// Maximum number of queued jobs; further jobs are rejected.
    #[serde(rename = "queue")]
    pub queue_limit: usize,
    /// Duration of a job on a warm worker, in seconds.
    #[serde(rename = "run_s")]
    pub job_s: f64,
    /// Duration of the warm-up after a worker's start, in seconds.
    #[serde(rename = "cold_s")]
    pub warm_up_s: f64,
    /// Share of a worker's capacity that is available at its start.
    #[serde(rename = "cold_share")]
    pub cold_capacity_share: f64,
    /// Jobs per second that a worker may receive, as a multiple of its current capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Maximum number of open connections; further ones are closed at once.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Interval between two connections that a worker accepts, in milliseconds.
    #[serde(rename = "accept_ms")]
    pub accept_interval_ms: f64,
}

impl Default for WorkerProfile {
    fn default() -> WorkerProfile {
        WorkerProfile {
            slots: 2,
            queue_limit: 16,
            job_s: 0.25,
            warm_up_s: 24.0,
            cold_capacity_share: 0.15,
            overload_multiple: 4.0,
            max_connections: 400,
            accept_interval_ms: 0.0,
        }
    }
}

impl WorkerProfile {
    /// Share of its capacity that a worker has at an age in microseconds; a worker without an age is warm.
    #[must_use]
    pub fn capacity_share(&self, age: Option<Micros>) -> f64 {
        let age = age.map_or(f64::INFINITY, |age| age as f64 / 1e6);
        let progress = if self.warm_up_s > 0.0 { (age / self.warm_up_s).min(1.0) } else { 1.0 };
        self.cold_capacity_share + (1.0 - self.cold_capacity_share) * progress
    }
}
