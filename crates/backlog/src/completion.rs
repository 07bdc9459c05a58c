//! The end of a release, which requeues or completes the job, and the other ways in which jobs end: cancellation,
//! disconnected clients, and drain.

use crate::job::{Cancellation, Completion, EndedJob, Ending, Job, State};
use crate::release::QueuePosition;
use crate::{BACKOFF_RANGE_US, Backlog, ClientNo, JobNo, Micros};

impl<W, P> Backlog<W, P> {
    /// Handles the decision logic's result for a released job. Returns `None` if the job has been cancelled, or its
    /// clients have disconnected, in the meantime.
    ///
    /// `attempts_run` is the number of attempts of this release that may have run; `is_repeatable` says whether it is
    /// safe to run the job again after them.
    pub fn complete(
        &mut self,
        no: JobNo,
        stream: u32,
        ending: Ending,
        attempts_run: u32,
        is_repeatable: bool,
        now: Micros,
    ) -> Option<Completion<W>> {
        let job = self.jobs.get_mut(&no).filter(|j| j.state == State::Released(stream))?;
        let queues = &mut self.functions[job.function];
        let function = job.function;
        job.attempts += attempts_run;
        queues.released -= 1;
        queues.running -= usize::from(job.running);
        job.running = false;
        let may_wait = queues.settings.queued || job.background;
        let may_repeat = (job.attempts == 0 || is_repeatable) && job.attempts < queues.settings.max_attempts;
        let may_requeue = may_wait && may_repeat && now < job.wait_deadline;
        let is_requeued = match ending {
            Ending::Served => false,
            // A failure is final unless no worker ever ran the job: otherwise the worker itself has reported it.
            Ending::Failed => may_requeue && job.attempts == 0,
            Ending::Rejected | Ending::TimedOut => may_requeue,
        };
        if !is_requeued {
            if queues.has_queued_jobs() {
                // The end of this job may have freed capacity for the next one.
                let from = queues.backoff_until;
                self.mark_ready(function, from);
            }
            return self.remove(no).map(Completion::Final);
        }
        if ending != Ending::TimedOut || attempts_run == 0 {
            queues.backoff = (queues.backoff * 2).clamp(BACKOFF_RANGE_US[0], BACKOFF_RANGE_US[1]);
            queues.backoff_until = now + queues.backoff;
            self.ready_functions.insert(function, queues.backoff_until);
        }
        self.wait_deadlines.insert((job.wait_deadline, no));
        self.enqueue(no, QueuePosition::Head);
        Some(Completion::Requeued)
    }

    /// Records that a worker has started to run a released job (`runs`), or has returned the job.
    pub fn set_running(&mut self, no: JobNo, stream: u32, runs: bool) {
        let Some(job) = self.jobs.get_mut(&no).filter(|j| j.state == State::Released(stream)) else { return };
        let queues = &mut self.functions[job.function];
        if runs && !job.running {
            queues.reset_backoff();
            queues.running += 1;
        } else if !runs && job.running {
            queues.running -= 1;
        }
        job.running = runs;
    }

    /// Records the progress of a job.
    pub fn set_progress(&mut self, no: JobNo, numerator: u64, denominator: u64) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.progress = (numerator, denominator);
        }
    }

    /// Records the reason that a worker gives for a job's failure.
    pub fn set_exception(&mut self, no: JobNo, reason: Vec<u8>) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.exception = Some(reason);
        }
    }

    /// Records that a worker has reported the failure of a job.
    pub fn set_failed(&mut self, no: JobNo) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.failed = true;
        }
    }

    /// Records the duration of a run. The release window is computed from the moving average of the run time.
    pub fn record_run(&mut self, function: usize, duration: Micros) {
        self.functions[function].record_run(duration);
    }

    /// Removes a disconnected client, and the foreground jobs for which no other client waits. Returns the streams of
    /// those removed jobs that were released.
    pub fn disconnect_client(&mut self, client: ClientNo) -> Vec<u32> {
        let mut streams = Vec::new();
        for no in self.by_client.remove(&client).unwrap_or_default() {
            let Some(job) = self.jobs.get_mut(&no) else { continue };
            job.waiters.retain(|waiter| waiter.client != client);
            if !job.waiters.is_empty() || job.background {
                continue;
            }
            if let State::Released(stream) = job.state {
                streams.push(stream);
            }
            self.leave_state(no);
            self.remove(no);
        }
        streams
    }

    /// Cancels a job, unless a worker is running it or may have run it.
    pub fn cancel(&mut self, no: JobNo) -> Cancellation<W> {
        let Some(job) = self.jobs.get(&no) else { return Cancellation::Unknown };
        if job.running || job.attempts > 0 {
            return Cancellation::Running;
        }
        let stream = if let State::Released(stream) = job.state { Some(stream) } else { None };
        self.leave_state(no);
        self.remove(no).map_or(Cancellation::Unknown, |ended| Cancellation::Cancelled(ended, stream))
    }

    /// Ends all queued and scheduled jobs, in the order of their numbers; released jobs stay.
    pub fn drain(&mut self) -> Vec<EndedJob<W>> {
        let is_waiting = |job: &Job<W, P>| !matches!(job.state, State::Released(_));
        let waiting = self.jobs.iter().filter(|(_, job)| is_waiting(job));
        let mut waiting: Vec<JobNo> = waiting.map(|(no, _)| *no).collect();
        waiting.sort_unstable();
        let mut drained = Vec::with_capacity(waiting.len());
        for no in waiting {
            self.leave_state(no);
            drained.extend(self.remove(no));
        }
        drained
    }

    /// Removes a job from all indexes.
    pub(crate) fn remove(&mut self, no: JobNo) -> Option<EndedJob<W>> {
        let job = self.jobs.remove(&no)?;
        self.bytes -= job.bytes;
        if !job.unique.is_empty() {
            self.by_unique.remove(&(job.function, job.unique.clone()));
        }
        for waiter in &job.waiters {
            if let Some(jobs) = self.by_client.get_mut(&waiter.client) {
                jobs.remove(&no);
                if jobs.is_empty() {
                    self.by_client.remove(&waiter.client);
                }
            }
        }
        self.wait_deadlines.remove(&(job.wait_deadline, no));
        Some(EndedJob {
            no,
            function: job.function,
            unique: job.unique,
            background: job.background,
            waiters: job.waiters,
            exception: job.exception,
            attempts: job.attempts,
            failed: job.failed,
        })
    }

    /// Subtracts a job from the counts and timers of its state, before the job is removed.
    pub(crate) fn leave_state(&mut self, no: JobNo) {
        let Some(job) = self.jobs.get(&no) else { return };
        let queues = &mut self.functions[job.function];
        match job.state {
            State::Queued => queues.queued[job.priority] -= 1,
            State::Scheduled => {
                queues.scheduled[job.priority] -= 1;
                self.scheduled.remove(&(job.wait_deadline, no));
            }
            State::Released(_) => {
                queues.released -= 1;
                queues.running -= usize::from(job.running);
                if queues.has_queued_jobs() {
                    let function = job.function;
                    self.mark_ready(function, 0);
                }
            }
        }
    }
}
