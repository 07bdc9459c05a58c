//! Overdue attempts: what follows when notes of a start or of progress don't come.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::capacity::StartEvidence;
use crate::state::jobs::{Attempt, Job};
use crate::state::workers::Worker;

/// Multiple of the expected run time from which a job overruns.
const OVERRUN: f64 = 1.5;
/// Multiple of the expected start delay after which a start is overdue.
const OVERDUE_START_DELAYS: f64 = 2.0;
/// Multiple of the expected run time after which an answer is overdue, where starts aren't reported.
const OVERDUE_RUNS: f64 = 4.0;

/// Attempts whose progress or start is overdue.
#[derive(Default)]
struct Overdue {
    /// Jobs with such an attempt.
    stuck: Vec<JobId>,
    /// Workers that have been silent on all attempts.
    silent: Vec<usize>,
}

impl Dispatcher {
    /// Silence is evidence too: a worker whose progress notes are overdue is ejected, a late start means that
    /// others fill the worker, jobs stuck on either may go elsewhere, and an overrun shows a slow worker.
    /// Whether jobs are stuck.
    pub(crate) fn check_overdue_attempts(&mut self, out: &mut Vec<Action>) -> bool {
        let overdue = self.find_overdue_attempts();
        for worker in overdue.silent {
            self.eject(worker, out);
        }
        for id in &overdue.stuck {
            if self.jobs.get(*id).is_some_and(|job| job.in_flight().count() == 1) {
                self.retry(*id, out);
            }
        }
        !overdue.stuck.is_empty()
    }

    fn find_overdue_attempts(&mut self) -> Overdue {
        let progress_due = self.settings.progress_interval * 3 / 2 + 2 * self.prices.tick;
        let reports_progress = self.settings.progress_interval > 0;
        let mut overdue = Overdue::default();
        for (&id, job) in &self.jobs.by_id {
            for attempt in job.attempts.iter().filter(|attempt| attempt.holds_booking()) {
                let worker = &mut self.workers[attempt.worker];
                let Some(started_at) = attempt.started_at else {
                    let unstarted_for = self.now - attempt.sent_at;
                    let timeout = if self.settings.reports_start {
                        worker.timing.record_unstarted(unstarted_for as f64);
                        OVERDUE_START_DELAYS * worker.snapshot.start_delay
                    } else {
                        OVERDUE_RUNS * attempt.expected_run
                    };
                    if unstarted_for > 2 * self.prices.tick + timeout as Micros {
                        overdue.stuck.push(id);
                        worker.infer_slots(attempt.booked_before, StartEvidence::Delayed, self.now);
                    }
                    continue;
                };
                record_overrun(job, attempt, worker, self.now - started_at);
                if reports_progress && self.now - attempt.last_update_at > progress_due {
                    overdue.stuck.push(id);
                    if self.now - worker.health.last_response_at > progress_due && worker.ready {
                        overdue.silent.push(attempt.worker);
                    }
                }
            }
        }
        overdue
    }
}

/// Notes by how much a running job with a hint exceeds its expected run time.
fn record_overrun(job: &Job, attempt: &Attempt, worker: &mut Worker, elapsed: Micros) {
    let elapsed = elapsed as f64;
    if job.hinted && elapsed > OVERRUN * attempt.expected_run {
        let log_slowdown = (elapsed / SECOND as f64 / job.work).ln();
        worker.timing.overrun = worker.timing.overrun.max(log_slowdown);
    }
}
