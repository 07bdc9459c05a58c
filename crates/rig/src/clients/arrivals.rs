//! The times at which requests arrive.

use crate::test_environment::TestEnvironment;
use crate::time::Micros;
use oorandom::Rand64;

/// The arrivals of requests: a Poisson process, and a burst at one time. Times are in seconds since the start.
pub(super) struct Arrivals {
    pub(super) random: Rand64,
    rate: f64,
    end_s: f64,
    burst_at_s: f64,
    /// Requests of the burst that have not arrived.
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

    /// The time of the next one, in microseconds since the start.
    pub(super) fn next(&mut self) -> Option<Micros> {
        let next_s = self.latest_s - (1.0 - self.random.rand_float()).ln() / self.rate;
        // The burst arrives between two of the other requests; its draws are not used.
        if self.burst_left > 0 && (next_s.is_nan() || next_s >= self.burst_at_s) {
            self.burst_left -= 1;
            return Some((self.burst_at_s * 1e6) as Micros);
        }
        self.latest_s = next_s;
        // With a rate of 0 the first arrival is at no time.
        if next_s.is_nan() || next_s >= self.end_s {
            return None;
        }
        Some((next_s * 1e6) as Micros)
    }
}
