//! Jobs, their attempts, and the queue of jobs waiting to be sent.

use crate::api::*;
use std::collections::BTreeMap;

/// Tenant and request class of a job.
pub(crate) type TenantClass = (Option<TenantId>, ClassId);

/// One attempt of a job.
#[derive(Default)]
pub(crate) struct Attempt {
    /// Index of the worker.
    pub(crate) worker: usize,
    pub(crate) sent_at: Micros,
    pub(crate) started_at: Option<Micros>,
    /// When the worker last reported on this attempt; initially the time of the send.
    pub(crate) last_update_at: Micros,
    /// Expected run time in microseconds.
    pub(crate) expected_run: f64,
    /// Slots that this dispatcher had booked at the worker before this attempt.
    pub(crate) booked_before: f64,
    /// Sent and not ended.
    pub(crate) in_flight: bool,
    /// Its booking at the worker is still valid.
    pub(crate) booked: bool,
    /// It has been proven not to have run.
    pub(crate) never_ran: bool,
    /// Time within which it must start or is withdrawn, in microseconds.
    pub(crate) start_timeout: Micros,
    /// It was withdrawn because it did not start in time.
    pub(crate) withdrawn: bool,
}

impl Attempt {
    /// Whether it is in flight and holds a valid booking at its worker.
    pub(crate) fn holds_booking(&self) -> bool {
        self.in_flight && self.booked
    }
}

/// A client request from its arrival to its final answer, or to the end of its last attempt.
#[derive(Default)]
pub(crate) struct Job {
    /// Index into the settings' classes.
    pub(crate) class: usize,
    /// Idempotency of the class when the job arrived. New settings apply only to jobs that arrive later.
    pub(crate) idempotency: Idempotency,
    pub(crate) tenant_class: TenantClass,
    /// Required slots and memory units.
    pub(crate) need: [f64; 2],
    /// Expected work in seconds at speed 1.
    pub(crate) work: f64,
    /// The client gave a work hint.
    pub(crate) hinted: bool,
    pub(crate) key: Option<KeyId>,
    /// Indices of the workers that have probably cached its data, the most probable first.
    pub(crate) cached_on: [Option<usize>; 2],
    pub(crate) arrived_at: Micros,
    /// When the client made its own first attempt, as far as known.
    pub(crate) client_first_attempt_at: Micros,
    pub(crate) deadline: Micros,
    /// Priority weight as a multiple of the mean priority weight.
    pub(crate) relative_weight: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Indices of the workers that may still report on an attempt that has ended.
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

    /// Whether its idempotency allows another attempt after the earlier ones.
    pub(crate) fn is_retryable(&self, now: Micros) -> bool {
        let Some(first_run) = self.possible_runs().next() else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { window, .. } => now - first_run.sent_at < window,
        }
    }

    /// A sample with this run time, in microseconds, of the job.
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

/// An observed run time, either complete or extrapolated from progress.
pub(crate) struct RunTimeSample {
    /// Index into the settings' classes.
    pub(crate) class: usize,
    /// Expected work in seconds at speed 1.
    pub(crate) work: f64,
    /// The work comes from a hint of the client.
    pub(crate) hinted: bool,
    /// Run time in microseconds.
    pub(crate) run_time: f64,
    pub(crate) weight: f64,
}

/// All current jobs, and the queue of those waiting to be sent.
#[derive(Default)]
pub(crate) struct JobTable {
    pub(crate) by_id: BTreeMap<JobId, Job>,
    /// Waiting jobs in the order in which they were queued or requeued.
    pub(crate) waiting: Vec<JobId>,
}

impl JobTable {
    pub(crate) fn get(&self, id: JobId) -> Option<&Job> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.by_id.get_mut(&id)
    }

    /// Adds a new job to the table and to the queue.
    pub(crate) fn insert_waiting(&mut self, id: JobId, job: Job) {
        self.by_id.insert(id, job);
        self.waiting.push(id);
    }

    /// Puts a job back into the queue.
    pub(crate) fn requeue(&mut self, id: JobId) {
        let Some(job) = self.by_id.get_mut(&id) else { return };
        job.waiting = true;
        self.waiting.push(id);
    }

    /// Removes a job from the queue.
    pub(crate) fn stop_waiting(&mut self, id: JobId) {
        let Some(job) = self.by_id.get_mut(&id) else { return };
        if std::mem::take(&mut job.waiting) {
            self.waiting.retain(|waiting| *waiting != id);
        }
    }

    /// Marks a job as streaming and removes it from the queue: the client is receiving its answer.
    pub(crate) fn stream_accepted(&mut self, id: JobId) {
        self.stop_waiting(id);
        if let Some(job) = self.by_id.get_mut(&id) {
            job.streaming = true;
        }
    }

    /// Records that a worker may still report on an attempt of the job that is about to end.
    pub(crate) fn expect_late_report(&mut self, id: JobId, worker: Option<usize>) {
        if let Some(job) = self.by_id.get_mut(&id) {
            job.late_report_possible_from.extend(worker);
        }
    }

    /// Invalidates the bookings at a worker whose process was replaced.
    pub(crate) fn void_bookings(&mut self, worker: usize) {
        for job in self.by_id.values_mut() {
            for attempt in job.attempts.iter_mut().filter(|attempt| attempt.worker == worker) {
                attempt.booked = false;
            }
        }
    }
}
