//! The properties that all workers of a run have.

use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// The properties that all workers of a run have.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerProfile {
    /// Jobs that it runs at the same time.
    pub slots: usize,
    /// Most jobs in its queue; one more is rejected.
    #[serde(rename = "queue")]
    pub queue_limit: usize,
    /// How long a job runs at a warm worker, in seconds.
    #[serde(rename = "run_s")]
    pub job_s: f64,
    /// How long a worker warms up after its start, in seconds.
    #[serde(rename = "cold_s")]
    pub warm_up_s: f64,
    /// Share of its capacity that it has at its start.
    #[serde(rename = "cold_share")]
    pub cold_capacity_share: f64,
    /// Jobs that it bears to receive in a second, over its capacity then.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Most open connections; further ones are closed at once.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Time between two connections that it accepts, in milliseconds.
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
    /// Share of its capacity that a worker has at an age in microseconds; without an age it is warm.
    #[must_use]
    pub fn capacity_share(&self, age: Option<Micros>) -> f64 {
        let age = age.map_or(f64::INFINITY, |age| age as f64 / 1e6);
        let share = if self.warm_up_s > 0.0 { (age / self.warm_up_s).min(1.0) } else { 1.0 };
        self.cold_capacity_share + (1.0 - self.cold_capacity_share) * share
    }
}
