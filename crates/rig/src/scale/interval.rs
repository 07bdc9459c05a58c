//! Interval between two samples of a trial.

use crate::scale::trial_environment::Sample;
use crate::scale::usage::Usage;
use crate::time::SECOND;
use crate::traffic::TrafficCount;

/// Two samples, from which the figures of the interval between them are computed.
pub struct Interval {
    /// The earlier sample.
    pub from: Sample,
    /// The later sample.
    pub to: Sample,
}

impl Interval {
    /// Length in seconds.
    pub fn seconds(&self) -> f64 {
        (self.to.at - self.from.at) as f64 / SECOND as f64
    }

    /// Processor time in microseconds, mean per dispatcher.
    pub fn mean_processor_us(&self) -> f64 {
        let sum = |sample: &Sample| sample.usage.iter().map(|usage| usage.processor_ns).sum::<u64>();
        let all = sum(&self.to).saturating_sub(sum(&self.from)) as f64 / 1e3;
        all / self.dispatchers()
    }

    /// Processor time in microseconds, mean per dispatcher, in addition to the usage of an idle interval of the same length.
    pub fn extra_processor_us(&self, idle: &Interval) -> f64 {
        self.mean_processor_us() - idle.mean_processor_us() / idle.seconds() * self.seconds()
    }

    /// Bytes that the discovery service wrote, mean per dispatcher.
    pub fn mean_list_bytes(&self) -> f64 {
        let sum = |sample: &Sample| sample.registry.iter().map(|traffic| traffic.written).sum::<u64>();
        (sum(&self.to) - sum(&self.from)) as f64 / self.dispatchers()
    }

    /// Requests that reached the dispatchers, mean per dispatcher. The sum is taken as at least one, as it is a divisor.
    pub fn requests_per_dispatcher(&self) -> f64 {
        let sent = self.to.requests.sent() - self.from.requests.sent();
        sent.max(1) as f64 / self.dispatchers()
    }

    /// Traffic at the workers on connections that dispatchers opened.
    pub fn worker_requests(&self) -> TrafficCount {
        self.to.workers.requests - self.from.workers.requests
    }

    /// Traffic on connections that workers opened for callbacks.
    pub fn callbacks(&self) -> TrafficCount {
        self.to.workers.callbacks - self.from.workers.callbacks
    }

    /// Divides a total by the number of requests that reached any dispatcher.
    pub fn per_request(&self, total: u64) -> f64 {
        total as f64 / self.dispatchers() / self.requests_per_dispatcher()
    }

    fn dispatchers(&self) -> f64 {
        self.to.usage.len().max(1) as f64
    }
}

/// The largest value of a usage figure over all dispatchers.
pub fn max_usage(sample: &Sample, of: fn(&Usage) -> u64) -> f64 {
    sample.usage.iter().map(of).max().unwrap_or(0) as f64
}
