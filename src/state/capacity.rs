//! The capacity of a worker for our own jobs, learned from load reports or from how promptly jobs start.

use crate::api::Micros;

/// Capacity of a worker of which nothing is known, in slots or memory units.
pub(crate) const DEFAULT_CAPACITY: f64 = 2.0;
/// Weight of a new report in the slow mean.
const REPORT_GAIN: f64 = 0.2;
/// Weight of an inferred figure in the slow mean.
const INFERRED_GAIN: f64 = 0.1;
/// Weight of the booked slots in the inferred capacity after a rejection or a late start.
const SHRINK_GAIN: f64 = 0.2;
/// Slots by which an immediate start at the limit raises the inferred capacity.
const GROWTH: f64 = 0.25;
/// Slots below the limit from which on an immediate start counts as one at the limit.
const GROWTH_MARGIN: f64 = 1.5;
/// Mean runs over which a mean without new reports drifts to the total.
const DRIFT_RUNS: f64 = 4.0;

/// What the start of a job, or the lack of one, shows of the free slots.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartEvidence {
    /// The job started at once: there was a free slot.
    Immediate,
    /// The job started late, has not started when it should have, or was rejected: there was none.
    Delayed,
}

/// Capacity for our own jobs in one resource of a worker: what we hold plus what is free.
#[derive(Clone)]
pub(crate) struct CapacityEstimate {
    /// The most ever seen: the worker's total as far as known.
    pub(crate) total: f64,
    /// A slow mean of the capacity.
    pub(crate) mean: f64,
    /// The latest figure.
    pub(crate) latest: f64,
    /// When the latest figure came.
    pub(crate) updated_at: Micros,
    /// The worker reports its load; otherwise the figures are inferred from starts.
    pub(crate) reported: bool,
    /// When it last rejected a job or started one late though it reports its load.
    pub(crate) exhausted_at: Option<Micros>,
}

impl CapacityEstimate {
    /// A first guess.
    pub(crate) fn new(capacity: f64, now: Micros) -> CapacityEstimate {
        CapacityEstimate {
            total: capacity,
            mean: capacity,
            latest: capacity,
            updated_at: now,
            reported: false,
            exhausted_at: None,
        }
    }

    /// Records what is free beside own running jobs. These may have changed meanwhile, so they don't raise
    /// the total.
    pub(crate) fn record(&mut self, running: f64, free: f64, now: Micros) {
        let capacity = running + free;
        self.total = self.total.max(free);
        self.mean = if self.reported { self.mean + REPORT_GAIN * (capacity - self.mean) } else { capacity };
        self.latest = capacity;
        self.updated_at = now;
        self.reported = true;
    }

    /// Learns from the start of a job beside `booked_before` own slots. Without reports an immediate start at
    /// the limit raises the capacity, and a delayed one lowers it.
    pub(crate) fn infer_from_start(
        &mut self,
        booked_before: f64,
        evidence: StartEvidence,
        running: f64,
        now: Micros,
    ) {
        if self.reported {
            if evidence == StartEvidence::Delayed {
                self.record(running, 0.0, now);
                self.exhausted_at = Some(now);
            }
            return;
        }
        if evidence == StartEvidence::Delayed {
            self.latest = ((1.0 - SHRINK_GAIN) * self.latest + SHRINK_GAIN * booked_before).max(1.0);
        } else if booked_before + GROWTH_MARGIN > self.latest {
            self.latest += GROWTH;
        }
        self.mean += INFERRED_GAIN * (self.latest - self.mean);
        self.total = self.latest;
    }

    /// The present capacity. A report ages over a run, as the jobs of others come and go unseen; a mean
    /// without reports drifts to the total, or a worker that was full once would never be tried again.
    pub(crate) fn current(&self, now: Micros, mean_run_time: f64) -> f64 {
        if !self.reported {
            return self.latest;
        }
        let age = (now - self.updated_at).max(0) as f64 / mean_run_time;
        let mean = self.mean + (self.total - self.mean) * (1.0 - (-age / DRIFT_RUNS).exp());
        mean + (self.latest - mean) * (-age).exp()
    }
}
