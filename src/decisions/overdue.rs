//! Overdue attempts: what follows when reports of a start or of progress do not arrive in time.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::capacity::StartEvidence;
use crate::state::jobs::{Attempt, Job};
use crate::state::workers::Worker;

/// Multiple of the expected run time beyond which a job overruns.
const OVERRUN_MULTIPLE: f64 = 1.5;
/// Multiple of the expected start delay after which a start is overdue.
const OVERDUE_START_MULTIPLE: f64 = 2.0;
/// Multiple of the expected run time after which an answer is overdue, where starts are not reported.
const OVERDUE_ANSWER_MULTIPLE: f64 = 4.0;

/// The attempts whose start or progress is overdue.
#[derive(Default)]
struct OverdueAttempts {
    /// Jobs that have such an attempt.
    stalled_jobs: Vec<JobId>,
    /// Workers that have not responded on any attempt for too long.
    unresponsive_workers: Vec<usize>,
}

impl Dispatcher {
    /// Acts on missing reports: a worker whose progress reports are overdue is ejected, a late start shows
    /// that the worker is full of other dispatchers' jobs, and an overrun shows that it is slow. Jobs with an
    /// overdue attempt are retried elsewhere where permitted. Returns whether there are such jobs.
    pub(crate) fn check_overdue_attempts(&mut self, out: &mut Vec<Action>) -> bool {
        let overdue = self.find_overdue_attempts();
        for worker in overdue.unresponsive_workers {
            self.eject(worker, out);
        }
        for id in &overdue.stalled_jobs {
            if self.jobs.get(*id).is_some_and(|job| job.in_flight().count() == 1) {
                self.retry(*id, out);
            }
        }
        !overdue.stalled_jobs.is_empty()
    }

    fn find_overdue_attempts(&mut self) -> OverdueAttempts {
        let progress_timeout = self.settings.progress_interval * 3 / 2 + 2 * self.prices.tick;
        let reports_progress = self.settings.progress_interval > 0;
        let mut overdue = OverdueAttempts::default();
        for (&id, job) in &self.jobs.by_id {
            for attempt in job.attempts.iter().filter(|attempt| attempt.holds_booking()) {
                let worker = &mut self.workers[attempt.worker];
                let Some(started_at) = attempt.started_at else {
                    let unstarted_for = self.now - attempt.sent_at;
                    let timeout = if self.settings.reports_start {
                        worker.timing.record_unstarted(unstarted_for as f64);
                        OVERDUE_START_MULTIPLE * worker.snapshot.start_delay
                    } else {
                        OVERDUE_ANSWER_MULTIPLE * attempt.expected_run
                    };
                    if unstarted_for > 2 * self.prices.tick + timeout as Micros {
                        overdue.stalled_jobs.push(id);
                        worker.infer_slots(attempt.booked_before, StartEvidence::Delayed, self.now);
                    }
                    continue;
                };
                record_overrun(job, attempt, worker, self.now - started_at);
                if reports_progress && self.now - attempt.last_update_at > progress_timeout {
                    overdue.stalled_jobs.push(id);
                    if self.now - worker.health.last_response_at > progress_timeout && worker.ready {
                        overdue.unresponsive_workers.push(attempt.worker);
                    }
                }
            }
        }
        overdue
    }
}

/// Records the slowdown shown by a running job with a work hint that exceeds its expected run time.
fn record_overrun(job: &Job, attempt: &Attempt, worker: &mut Worker, elapsed: Micros) {
    let elapsed = elapsed as f64;
    if job.hinted && elapsed > OVERRUN_MULTIPLE * attempt.expected_run {
        let log_slowdown = (elapsed / SECOND as f64 / job.work).ln();
        worker.timing.min_log_slowdown = worker.timing.min_log_slowdown.max(log_slowdown);
    }
}
