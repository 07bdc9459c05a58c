//! The arrival times of requests.

use crate::test_environment::TestEnvironment;
use crate::time::Micros;
use oorandom::Rand64;

/// Generates the arrival times of requests: a Poisson process, and a burst at one time. Times are in seconds since the start
/// of the run.
pub(super) struct Arrivals {
    pub(super) random: Rand64,
    rate: f64,
    end_s: f64,
    burst_at_s: f64,
    /// Requests of the burst that have not arrived yet.
    burst_left: usize,
    /// The latest arrival outside the burst.
    latest_s: f64,
}

impl Arrivals {
    pub(super) fn new(environment: &TestEnvironment, seed: u64) -> Arrivals {
        let scenario = &environment.scenario;
        let dispatchers = scenario.processes as f64;
        Arrivals {
            random: Rand64::new(u128::from(seed)),
            rate: scenario.rate * dispatchers,
            end_s: scenario.seconds,
            burst_at_s: scenario.clients.burst_at_s,
            burst_left: (scenario.clients.burst * dispatchers) as usize,
            latest_s: 0.0,
        }
    }

    /// The time of the next arrival, in microseconds since the start of the run.
    pub(super) fn next(&mut self) -> Option<Micros> {
        let next_s = self.latest_s - (1.0 - self.random.rand_float()).ln() / self.rate;
        // For each request of the burst, the time drawn for the Poisson process is discarded.
        if self.burst_left > 0 && (next_s.is_nan() || next_s >= self.burst_at_s) {
            self.burst_left -= 1;
            return Some((self.burst_at_s * 1e6) as Micros);
        }
        self.latest_s = next_s;
        // With a rate of 0 the time is infinite or NaN: there is no arrival.
        if next_s.is_nan() || next_s >= self.end_s {
            return None;
        }
        Some((next_s * 1e6) as Micros)
    }
}
