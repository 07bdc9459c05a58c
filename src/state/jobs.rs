//! Jobs, their attempts, and the queue of those that wait for a send.

use crate::api::*;
use std::collections::BTreeMap;

/// The class of a tenant's jobs.
pub(crate) type TenantClass = (Option<TenantId>, ClassId);

/// One attempt of a job.
#[derive(Default)]
pub(crate) struct Attempt {
    /// Index of the worker.
    pub(crate) worker: usize,
    pub(crate) sent_at: Micros,
    pub(crate) started_at: Option<Micros>,
    /// When the worker last said something of this attempt; the time of the send at first.
    pub(crate) last_update_at: Micros,
    /// Expected run time in microseconds.
    pub(crate) expected_run: f64,
    /// Own slots booked at the worker before this attempt.
    pub(crate) booked_before: f64,
    /// Sent and not ended.
    pub(crate) in_flight: bool,
    /// Its booking at the worker still counts.
    pub(crate) booked: bool,
    /// It is proven that it never ran.
    pub(crate) never_ran: bool,
    /// How long it may stay without a start before it is withdrawn, in microseconds.
    pub(crate) start_timeout: Micros,
    /// It was withdrawn for want of a start.
    pub(crate) withdrawn: bool,
}

impl Attempt {
    /// Whether it still holds a booking at a worker that hasn't answered yet.
    pub(crate) fn holds_booking(&self) -> bool {
        self.in_flight && self.booked
    }
}

/// A client request from its arrival to its final answer, or to the end of its last attempt.
#[derive(Default)]
pub(crate) struct Job {
    /// Index into the settings' classes.
    pub(crate) class: usize,
    /// What a repeat does, by the settings when it arrived: new settings are for the jobs after them.
    pub(crate) idempotency: Idempotency,
    pub(crate) tenant_class: TenantClass,
    /// Slots and memory units.
    pub(crate) need: [f64; 2],
    /// Expected work in seconds at speed 1.
    pub(crate) work: f64,
    /// The work was stated by the client.
    pub(crate) hinted: bool,
    pub(crate) key: Option<KeyId>,
    /// Workers where its data is likely cached, the likeliest first.
    pub(crate) cached_on: [Option<usize>; 2],
    pub(crate) arrived_at: Micros,
    /// When its client made its first attempt, as far as known.
    pub(crate) first_asked_at: Micros,
    pub(crate) deadline: Micros,
    /// Priority weight as a multiple of the mean one.
    pub(crate) relative_weight: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Workers that may still report on an attempt that has ended.
    pub(crate) late_report_possible_from: Vec<usize>,
    pub(crate) waiting: bool,
    pub(crate) streaming: bool,
    pub(crate) ended: bool,
}

impl Job {
    /// The attempts that may have run.
    pub(crate) fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| !attempt.never_ran)
    }

    /// Whether its class allows one more attempt after the earlier ones.
    pub(crate) fn is_repeatable(&self, now: Micros) -> bool {
        let Some(first_run) = self.possible_runs().next() else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { window, .. } => now - first_run.sent_at < window,
        }
    }

    /// A run time of the job in microseconds.
    pub(crate) fn run_time_sample(&self, run_time: f64, weight: f64) -> RunTimeSample {
        RunTimeSample { class: self.class, work: self.work, hinted: self.hinted, run_time, weight }
    }

    /// The attempts that have not ended.
    pub(crate) fn in_flight(&self) -> impl DoubleEndedIterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.in_flight)
    }

    pub(crate) fn any_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }
}

/// A run time seen, in full or extrapolated from progress.
pub(crate) struct RunTimeSample {
    /// Index into the settings' classes.
    pub(crate) class: usize,
    /// Expected work in seconds at speed 1, and whether a hint says so.
    pub(crate) work: f64,
    pub(crate) hinted: bool,
    /// In microseconds.
    pub(crate) run_time: f64,
    pub(crate) weight: f64,
}

/// All jobs that are not forgotten yet, and the order of those that wait for a send.
#[derive(Default)]
pub(crate) struct JobTable {
    pub(crate) by_id: BTreeMap<JobId, Job>,
    /// In the order of arrival or of their return to the queue.
    pub(crate) waiting: Vec<JobId>,
}

impl JobTable {
    pub(crate) fn get(&self, id: JobId) -> Option<&Job> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.by_id.get_mut(&id)
    }

    /// Puts a job that waits for its first send into the table and the queue.
    pub(crate) fn insert_waiting(&mut self, id: JobId, job: Job) {
        self.by_id.insert(id, job);
        self.waiting.push(id);
    }

    /// Puts a known job into the queue again.
    pub(crate) fn requeue(&mut self, id: JobId) {
        let Some(job) = self.by_id.get_mut(&id) else { return };
        job.waiting = true;
        self.waiting.push(id);
    }

    /// Takes a job off the queue.
    pub(crate) fn stop_waiting(&mut self, id: JobId) {
        let Some(job) = self.by_id.get_mut(&id) else { return };
        if std::mem::take(&mut job.waiting) {
            self.waiting.retain(|waiting| *waiting != id);
        }
    }

    /// The job's answer has begun: its stream belongs to the client now.
    pub(crate) fn stream_accepted(&mut self, id: JobId) {
        self.stop_waiting(id);
        if let Some(job) = self.by_id.get_mut(&id) {
            job.streaming = true;
        }
    }

    /// A worker may still report on an attempt of the job that is about to end.
    pub(crate) fn expect_late_report(&mut self, id: JobId, worker: Option<usize>) {
        if let Some(job) = self.by_id.get_mut(&id) {
            job.late_report_possible_from.extend(worker);
        }
    }

    /// Voids the bookings at a worker whose process was replaced.
    pub(crate) fn void_bookings(&mut self, worker: usize) {
        for job in self.by_id.values_mut() {
            for attempt in job.attempts.iter_mut().filter(|attempt| attempt.worker == worker) {
                attempt.booked = false;
            }
        }
    }
}
