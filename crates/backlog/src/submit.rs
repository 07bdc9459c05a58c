//! Submissions: each creates a job, or joins the job with the same unique id.

use crate::job::{Job, NewJob, State, Waiter};
use crate::release::QueuePosition;
use crate::{Backlog, JOB_OVERHEAD_BYTES, JobNo, MAX_WAITERS, Micros, Rejection};
use std::sync::Arc;

impl<W, P> Backlog<W, P> {
    /// Checks whether a new job with `bytes` bytes of data would be accepted.
    ///
    /// # Errors
    /// The reason for which it would be rejected.
    pub fn check_capacity(&self, function: usize, priority: usize, bytes: usize) -> Result<(), Rejection> {
        let queues = &self.functions[function];
        if queues.closed {
            Err(Rejection::Closed)
        } else if queues.waiting_jobs(priority) >= queues.settings.max_queue[priority] {
            Err(Rejection::QueueFull)
        } else if self.jobs.len() >= self.bounds.max_jobs {
            Err(Rejection::TooManyJobs)
        } else if self.bytes + bytes + JOB_OVERHEAD_BYTES > self.bounds.max_bytes {
            Err(Rejection::TooManyBytes)
        } else {
            Ok(())
        }
    }

    /// Accepts a new job and returns its number. A submission with the unique id of another job must be
    /// [joined](Self::join) to that job instead.
    ///
    /// # Errors
    /// The reason for which it is rejected.
    pub fn submit(&mut self, new: NewJob<W, P>, now: Micros) -> Result<JobNo, Rejection> {
        self.check_capacity(new.function, new.priority, new.bytes)?;
        let no = self.next_no;
        self.next_no += 1;
        let settings = &self.functions[new.function].settings;
        let unique: Arc<[u8]> = Arc::from(new.unique);
        let wait_deadline = now + settings.max_wait(new.background);
        let mut job = Job {
            function: new.function,
            priority: new.priority,
            unique: unique.clone(),
            background: new.background,
            waiters: Vec::new(),
            state: State::Scheduled,
            submitted_at: now,
            wait_deadline,
            attempts: 0,
            release_count: 0,
            entry_version: 0,
            bytes: new.bytes + JOB_OVERHEAD_BYTES,
            running: false,
            progress: (0, 0),
            exception: None,
            failed: false,
            payload: new.payload,
        };
        self.bytes += job.bytes;
        if !unique.is_empty() {
            let other = self.by_unique.insert((new.function, unique), no);
            debug_assert!(other.is_none(), "a unique id belongs to one job");
        }
        if let Some(waiter) = new.waiter {
            self.by_client.entry(waiter.client).or_default().insert(no);
            job.waiters.push(waiter);
        }
        match new.not_before {
            Some(time) => {
                // Until the scheduled time, `wait_deadline` holds that time. `tick` sets the deadline for a worker then.
                job.wait_deadline = time;
                self.functions[job.function].scheduled[job.priority] += 1;
                self.scheduled.insert((time, no));
                self.jobs.insert(no, job);
            }
            None => {
                self.wait_deadlines.insert((wait_deadline, no));
                self.jobs.insert(no, job);
                self.enqueue(no, QueuePosition::Tail);
            }
        }
        Ok(no)
    }

    /// Joins another submission of the same function and unique id to a job. A queued job gets the higher of the two
    /// priorities. The job becomes a background job, which outlives its clients' connections, if either is one.
    ///
    /// # Errors
    /// Too many clients wait for the job, or it has ended.
    pub fn join(
        &mut self,
        no: JobNo,
        priority: usize,
        background: bool,
        waiter: Option<Waiter<W>>,
    ) -> Result<(), Rejection> {
        let Some(job) = self.jobs.get_mut(&no) else { return Err(Rejection::Closed) };
        if waiter.is_some() && job.waiters.len() >= MAX_WAITERS {
            return Err(Rejection::TooManyWaiters);
        }
        if let Some(waiter) = waiter {
            self.by_client.entry(waiter.client).or_default().insert(no);
            job.waiters.push(waiter);
        }
        let queues = &mut self.functions[job.function];
        let was_background = job.background;
        job.background |= background;
        if background && !was_background && job.state != State::Scheduled {
            let wait_deadline = job.submitted_at + queues.settings.max_wait_background;
            if self.wait_deadlines.remove(&(job.wait_deadline, no)) {
                self.wait_deadlines.insert((wait_deadline.max(job.wait_deadline), no));
            }
            job.wait_deadline = wait_deadline.max(job.wait_deadline);
        }
        if priority < job.priority && job.state == State::Queued {
            queues.queued[job.priority] -= 1;
            job.priority = priority;
            self.enqueue(no, QueuePosition::Tail);
        }
        Ok(())
    }
}
