//! Progress: what is learned when a worker reports the start or the progress of an attempt.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::capacity::StartEvidence;
use crate::state::placement::START_DELAY_TIME_CONSTANT_US;

/// Weight of a run time extrapolated from progress, scaled by the fraction that is done.
const PROGRESS_WEIGHT: f64 = 0.5;
/// With each start the minimum start delay of its zone grows by one part in this many, because network paths
/// may have become longer.
const MIN_START_DELAY_GROWTH_DIVISOR: Micros = 32;

impl Dispatcher {
    /// Handles a report of the start or the progress of an attempt.
    pub(crate) fn attempt_progressed(&mut self, id: JobId, number: u32, update: AttemptUpdate) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(attempt) = job.attempts.get_mut(number as usize) else { return };
        if !attempt.in_flight {
            return;
        }
        attempt.last_update_at = now;
        self.workers[attempt.worker].record_response(attempt.sent_at, now);
        match update {
            AttemptUpdate::Started => {
                let newly_started = attempt.started_at.replace(now).is_none();
                let started = StartReport {
                    worker: attempt.worker,
                    delay: now - attempt.sent_at,
                    booked_before: attempt.booked_before,
                    newly_booked: (newly_started && attempt.booked).then_some(job.need),
                };
                self.attempt_started(&started);
                self.jobs.stop_waiting(id);
            }
            AttemptUpdate::Progress(done) if done > 0.0 && done <= 1.0 => {
                let elapsed = now - attempt.started_at.unwrap_or(attempt.sent_at);
                let run_time = elapsed as f64 / done;
                attempt.expected_run = run_time;
                let worker = &mut self.workers[attempt.worker];
                if job.hinted {
                    let sample = job.run_time_sample(run_time, PROGRESS_WEIGHT * done);
                    self.slowdown.learn(&mut self.work, worker, &sample, now);
                }
            }
            AttemptUpdate::Progress(_) => {}
        }
    }

    /// Updates the estimates with the start of an attempt.
    fn attempt_started(&mut self, started: &StartReport) {
        let now = self.now;
        let worker = &mut self.workers[started.worker];
        if let Some(need) = started.newly_booked
            && self.settings.reports_start
        {
            worker.bookings.start(need, now);
        }
        worker.timing.head_of_line_wait = 0.0;
        let min_delay = self.min_start_delay.entry(worker.endpoint.zone).or_insert(started.delay);
        *min_delay = (*min_delay + *min_delay / MIN_START_DELAY_GROWTH_DIVISOR + 1).min(started.delay);
        let delay = started.delay as f64;
        worker.timing.start_delay.add(delay, 1.0, now, START_DELAY_TIME_CONSTANT_US);
        if started.booked_before == 0.0 {
            let tier = &mut self.placement.start_delays[worker.locality_tier];
            tier.add(delay, 1.0, now, START_DELAY_TIME_CONSTANT_US);
        }
        let is_immediate = started.delay <= self.prices.tick / 8;
        let evidence = if is_immediate { StartEvidence::Immediate } else { StartEvidence::Delayed };
        worker.infer_slots(started.booked_before, evidence, now);
    }
}

/// A reported start of an attempt.
struct StartReport {
    /// Index of the worker.
    worker: usize,
    /// Microseconds since the send.
    delay: Micros,
    booked_before: f64,
    /// The need of the job, if this is the first report of its start and its booking still counts.
    newly_booked: Option<[f64; 2]>,
}
