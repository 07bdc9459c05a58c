//! What all workers of a run are like.

use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// What all workers of a run are.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerProfile {
    /// Jobs at once.
    pub slots: usize,
    /// Jobs that wait there at most; one more is turned away.
    #[serde(rename = "queue")]
    pub queue_limit: usize,
    /// A job's run on a warm worker, in seconds.
    #[serde(rename = "run_s")]
    pub job_s: f64,
    /// How long a worker that has just started is cold, in seconds.
    #[serde(rename = "cold_s")]
    pub warm_up_s: f64,
    /// Share of its capacity with which it starts.
    #[serde(rename = "cold_share")]
    pub cold_capacity_share: f64,
    /// What it bears in a second, over its capacity then.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Connections it keeps; further ones are closed at once.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Between two connections that it accepts, in milliseconds.
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
    /// Share of its capacity that a worker has so long after its start; none: long after it.
    pub fn capacity_share(&self, age: Option<Micros>) -> f64 {
        let age = age.map_or(f64::INFINITY, |age| age as f64 / 1e6);
        let share = if self.warm_up_s > 0.0 { (age / self.warm_up_s).min(1.0) } else { 1.0 };
        self.cold_capacity_share + (1.0 - self.cold_capacity_share) * share
    }
}
