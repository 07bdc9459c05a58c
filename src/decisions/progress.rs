//! Attempts in flight: notes of their start and progress, and what follows when these are overdue.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::{Attempt, Job};
use crate::state::placement::START_DELAY_MEMORY;
use crate::state::run_times::RunTimeSample;
use crate::state::workers::Worker;

/// Weight of a run time extrapolated from progress, at the end of the run.
const PROGRESS_WEIGHT: f64 = 0.5;
/// Multiple of the expected run time from which a job overruns.
const OVERRUN: f64 = 1.5;
/// Multiple of the expected start delay after which a start is overdue.
const OVERDUE_START_DELAYS: f64 = 2.0;
/// Multiple of the expected run time after which an answer is overdue, where starts aren't reported.
const OVERDUE_RUNS: f64 = 4.0;
/// Part by which the quickest start grows with each start, as ways may have become longer.
const QUICKEST_START_GROWTH: Micros = 32;

/// Attempts whose progress or start is overdue.
#[derive(Default)]
struct Overdue {
    /// Jobs with such an attempt.
    stuck: Vec<JobId>,
    /// Workers that have been silent on all attempts.
    silent: Vec<usize>,
}

impl Dispatcher {
    /// A worker reports the start or the progress of an attempt.
    pub(crate) fn attempt_progressed(&mut self, id: JobId, attempt: u32, update: AttemptUpdate) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(attempt) = job.attempts.get_mut(attempt as usize) else { return };
        if !attempt.in_flight {
            return;
        }
        attempt.last_update_at = now;
        self.workers[attempt.worker].record_response(attempt.sent_at, now);
        match update {
            AttemptUpdate::Started => {
                let newly_started = attempt.started_at.replace(now).is_none();
                let started = Started {
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
                attempt.expected_run = elapsed as f64 / done;
                if job.hinted {
                    let sample = RunTimeSample {
                        class: job.class,
                        work: job.work,
                        hinted: true,
                        run_time: attempt.expected_run,
                        weight: PROGRESS_WEIGHT * done,
                    };
                    let worker = &mut self.workers[attempt.worker];
                    self.slowdown.learn(&mut self.work, worker, &sample, now);
                }
            }
            AttemptUpdate::Progress(_) => {}
        }
    }

    /// Learns from the start of an attempt.
    fn attempt_started(&mut self, started: &Started) {
        let now = self.now;
        let worker = &mut self.workers[started.worker];
        if let Some(need) = started.newly_booked
            && self.settings.reports_start
        {
            worker.bookings.start(need, now);
        }
        worker.timing.head_of_line_wait = 0.0;
        let quickest = self.quickest_start.entry(worker.listed.zone).or_insert(started.delay);
        *quickest = (*quickest + *quickest / QUICKEST_START_GROWTH + 1).min(started.delay);
        let delay = started.delay as f64;
        worker.timing.start_delay.add(delay, 1.0, now, START_DELAY_MEMORY);
        if started.booked_before == 0.0 {
            let tier = &mut self.placement.start_delays[worker.locality_tier];
            tier.add(delay, 1.0, now, START_DELAY_MEMORY);
        }
        let immediate = started.delay <= self.prices.tick / 8;
        worker.infer_slots(started.booked_before, immediate, now);
    }

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
                        worker.infer_slots(attempt.booked_before, false, self.now);
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

/// The start of an attempt.
struct Started {
    /// Index of the worker.
    worker: usize,
    /// Microseconds since the send.
    delay: Micros,
    booked_before: f64,
    /// What the job holds, if this is the first word of its start and its booking counts.
    newly_booked: Option<[f64; 2]>,
}

/// Notes by how much a running job with a hint exceeds its expected run time.
fn record_overrun(job: &Job, attempt: &Attempt, worker: &mut Worker, elapsed: Micros) {
    let elapsed = elapsed as f64;
    if job.hinted && elapsed > OVERRUN * attempt.expected_run {
        let log_slowdown = (elapsed / SECOND as f64 / job.work).ln();
        worker.timing.overrun = worker.timing.overrun.max(log_slowdown);
    }
}
