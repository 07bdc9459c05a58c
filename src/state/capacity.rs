//! Estimate of a worker's capacity for this dispatcher's jobs, from load reports or from start delays.

use crate::api::Micros;

/// Initial estimate of the memory of a worker, in memory units.
pub(crate) const DEFAULT_MEMORY: f64 = 2.0;
/// Weight of a new report in the moving average.
const REPORT_GAIN: f64 = 0.2;
/// Weight of an inferred capacity in the moving average.
const INFERRED_GAIN: f64 = 0.1;
/// Weight of the booked slots in the inferred capacity after a rejection or a delayed start.
const SHRINK_GAIN: f64 = 0.2;
/// Increase of the inferred capacity after an immediate start at the limit.
const GROWTH_STEP_SLOTS: f64 = 0.25;
/// Distance below the limit from which an immediate start counts as one at the limit.
const GROWTH_MARGIN_SLOTS: f64 = 1.5;
/// Time constant, in mean run times, with which the moving average drifts to the total if no report arrives.
const DRIFT_TIME_CONSTANT_RUNS: f64 = 4.0;

/// What the start of a job, or its absence, shows about free slots.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartEvidence {
    /// The job started immediately: a slot was free.
    Immediate,
    /// The job started late, is overdue to start, or was rejected: no slot was free.
    Delayed,
}

/// Capacity of one resource of a worker that is available to this dispatcher: what its jobs hold plus what is
/// free.
#[derive(Clone)]
pub(crate) struct CapacityEstimate {
    /// Total capacity of the worker as far as known: the largest reported value, or the latest inferred one.
    pub(crate) total: f64,
    /// Moving average of the capacity.
    pub(crate) mean: f64,
    /// Latest value.
    pub(crate) latest: f64,
    /// Time of the latest value.
    pub(crate) updated_at: Micros,
    /// The worker reports its load; otherwise capacity is inferred from starts.
    pub(crate) reported: bool,
    /// When a worker that reports its load last rejected a job or started one late.
    pub(crate) exhausted_at: Option<Micros>,
}

impl CapacityEstimate {
    /// The estimate before any observation.
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

    /// Records the free capacity beside this dispatcher's running jobs. The running jobs may have changed
    /// since the report, so only the free part can raise the total.
    pub(crate) fn record(&mut self, running: f64, free: f64, now: Micros) {
        let capacity = running + free;
        self.total = self.total.max(free);
        self.mean = if self.reported { self.mean + REPORT_GAIN * (capacity - self.mean) } else { capacity };
        self.latest = capacity;
        self.updated_at = now;
        self.reported = true;
    }

    /// Updates the estimate from the start of a job sent when this dispatcher had `booked_before` slots
    /// booked. Without reports, an immediate start at the limit raises the capacity, and a delayed one lowers
    /// it.
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
        } else if booked_before + GROWTH_MARGIN_SLOTS > self.latest {
            self.latest += GROWTH_STEP_SLOTS;
        }
        self.mean += INFERRED_GAIN * (self.latest - self.mean);
        self.total = self.latest;
    }

    /// The current capacity. A report loses weight over about a mean run time, since the jobs of other
    /// dispatchers start and end unseen. Without new reports the moving average drifts to the total;
    /// otherwise a worker that was full once would never be tried again.
    pub(crate) fn current(&self, now: Micros, mean_run_time: f64) -> f64 {
        if !self.reported {
            return self.latest;
        }
        let age = (now - self.updated_at).max(0) as f64 / mean_run_time;
        let mean = self.mean + (self.total - self.mean) * (1.0 - (-age / DRIFT_TIME_CONSTANT_RUNS).exp());
        mean + (self.latest - mean) * (-age).exp()
    }
}
