//! The time between two samples of a trial.

use crate::scale::trial_environment::Sample;
use crate::scale::usage::Usage;
use crate::time::SECOND;
use crate::traffic::TrafficCount;

/// Two samples, and the figures of the time between them.
pub struct Interval {
    /// The earlier one.
    pub from: Sample,
    /// The later one.
    pub to: Sample,
}

impl Interval {
    /// Its length in seconds.
    pub fn seconds(&self) -> f64 {
        (self.to.at - self.from.at) as f64 / SECOND as f64
    }

    /// Processor time of a dispatcher in microseconds, the mean.
    pub fn processor_us(&self) -> f64 {
        let sum = |sample: &Sample| sample.usage.iter().map(|usage| usage.processor_ns).sum::<u64>();
        let all = sum(&self.to).saturating_sub(sum(&self.from)) as f64 / 1e3;
        all / self.dispatchers()
    }

    /// The same beyond what a phase at rest would have used in this time.
    pub fn processor_us_beyond(&self, rest: &Interval) -> f64 {
        self.processor_us() - rest.processor_us() / rest.seconds() * self.seconds()
    }

    /// Bytes that the list service wrote to a dispatcher, the mean.
    pub fn list_bytes(&self) -> f64 {
        let sum = |sample: &Sample| sample.registry.iter().map(|traffic| traffic.written).sum::<u64>();
        (sum(&self.to) - sum(&self.from)) as f64 / self.dispatchers()
    }

    /// Requests that reached a dispatcher, the mean; at least one in all.
    pub fn requests(&self) -> f64 {
        let sent = self.to.requests.sent() - self.from.requests.sent();
        sent.max(1) as f64 / self.dispatchers()
    }

    /// Traffic at the workers on connections that dispatchers opened.
    pub fn worker_requests(&self) -> TrafficCount {
        self.to.workers.requests - self.from.workers.requests
    }

    /// Traffic on connections that workers opened.
    pub fn callbacks(&self) -> TrafficCount {
        self.to.workers.callbacks - self.from.workers.callbacks
    }

    /// A total over the requests that reached any dispatcher.
    pub fn by_request(&self, total: u64) -> f64 {
        total as f64 / self.dispatchers() / self.requests()
    }

    fn dispatchers(&self) -> f64 {
        self.to.usage.len().max(1) as f64
    }
}

/// The largest value of any dispatcher.
pub fn most(sample: &Sample, of: fn(&Usage) -> u64) -> f64 {
    sample.usage.iter().map(of).max().unwrap_or(0) as f64
}
