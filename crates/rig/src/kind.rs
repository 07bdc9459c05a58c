//! What all workers of a run are like.

use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// What all workers of a run are.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Kind {
    /// Jobs at once.
    pub slots: usize,
    /// Jobs that wait there at most; one more is turned away.
    pub queue: usize,
    /// A job's run on a warm worker, in seconds.
    pub run_s: f64,
    /// How long a worker that has just started is cold, in seconds.
    pub cold_s: f64,
    /// Share of its capacity with which it starts.
    pub cold_share: f64,
    /// What it bears in a second, over its capacity then.
    pub fall_multiple: f64,
    /// Connections it keeps; further ones are closed at once.
    pub connections: usize,
    /// Between two connections that it accepts, in milliseconds.
    pub accept_ms: f64,
}

impl Default for Kind {
    fn default() -> Kind {
        Kind {
            slots: 2,
            queue: 16,
            run_s: 0.25,
            cold_s: 24.0,
            cold_share: 0.15,
            fall_multiple: 4.0,
            connections: 400,
            accept_ms: 0.0,
        }
    }
}

impl Kind {
    /// Share of its capacity that a worker has so long after its start; none: long after it.
    pub fn warmth(&self, age: Option<Micros>) -> f64 {
        let age = age.map_or(f64::INFINITY, |age| age as f64 / 1e6);
        let share = if self.cold_s > 0.0 { (age / self.cold_s).min(1.0) } else { 1.0 };
        self.cold_share + (1.0 - self.cold_share) * share
    }
}
