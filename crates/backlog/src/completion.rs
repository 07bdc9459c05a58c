//! How released jobs come back, and how jobs end: completed, cancelled, left by their clients or drained.

use crate::job::{Cancellation, Completion, EndedJob, Ending, Job, State};
use crate::{BACKOFF, Backlog, ClientNo, JobNo, Micros};

impl<W, P> Backlog<W, P> {
    /// The decisions have ended a released job; none for a job that was cancelled, or whose clients left, meanwhile.
    ///
    /// `ran` attempts of this release may have run; `repeat` says whether a repeat of what may have run is harmless.
    pub fn complete(
        &mut self,
        no: JobNo,
        stream: u32,
        ending: Ending,
        ran: u32,
        repeat: bool,
        now: Micros,
    ) -> Option<Completion<W>> {
        let job = self.jobs.get_mut(&no).filter(|j| j.state == State::Released(stream))?;
        let queues = &mut self.functions[job.function];
        job.attempts += ran;
        let (running, function) = (std::mem::take(&mut job.running), job.function);
        queues.released -= 1;
        queues.running -= running as usize;
        let may_wait = queues.settings.queued || job.background;
        let may_repeat = (job.attempts == 0 || repeat) && job.attempts < queues.settings.max_attempts;
        let may_requeue = may_wait && may_repeat && now < job.wait_deadline;
        let requeue = match ending {
            Ending::Served => false,
            // A worker has said so itself, unless none ever had it.
            Ending::Failed => may_requeue && job.attempts == 0,
            Ending::Refused | Ending::TimedOut => may_requeue,
        };
        if !requeue {
            if queues.queued.iter().any(|n| *n > 0) {
                // There may be room for the next one now.
                let from = queues.backoff_until;
                self.mark_ready(function, from);
            }
            return self.remove(no).map(Completion::Final);
        }
        if ending != Ending::TimedOut || ran == 0 {
            queues.backoff = (queues.backoff * 2).clamp(BACKOFF[0], BACKOFF[1]);
            queues.backoff_until = now + queues.backoff;
            self.ready_functions.insert(function, queues.backoff_until);
        }
        self.wait_deadlines.insert((job.wait_deadline, no));
        self.enqueue(no, true);
        Some(Completion::Requeued)
    }

    /// Notes that a worker has taken a released job, or has handed it back.
    pub fn set_running(&mut self, no: JobNo, stream: u32, runs: bool) {
        let Some(job) = self.jobs.get_mut(&no).filter(|j| j.state == State::Released(stream)) else { return };
        let queues = &mut self.functions[job.function];
        if runs && !job.running {
            (queues.backoff, queues.backoff_until) = (0, 0);
            queues.running += 1;
        } else if !runs && job.running {
            queues.running -= 1;
        }
        job.running = runs;
    }

    /// Notes the progress of a job.
    pub fn set_progress(&mut self, no: JobNo, numerator: u64, denominator: u64) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.progress = (numerator, denominator);
        }
    }

    /// Notes what a worker says of a job's failure.
    pub fn set_exception(&mut self, no: JobNo, said: Vec<u8>) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.exception = Some(said);
        }
    }

    /// Notes that a worker says that a job has failed.
    pub fn set_failed(&mut self, no: JobNo) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.failed = true;
        }
    }

    /// Notes how long a run took: the moving average decides how many jobs are released ahead.
    pub fn record_run(&mut self, function: usize, span: Micros) {
        self.functions[function].record_run(span);
    }

    /// A client has left: drops its foreground jobs for which nobody else waits. Returns the streams of those that were
    /// released.
    pub fn client_left(&mut self, client: ClientNo) -> Vec<u32> {
        let mut streams = Vec::new();
        for no in self.by_client.remove(&client).unwrap_or_default() {
            let Some(job) = self.jobs.get_mut(&no) else { continue };
            job.waiters.retain(|w| w.client != client);
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

    /// Cancels a job, unless a worker has it or may have had it.
    pub fn cancel(&mut self, no: JobNo) -> Cancellation<W> {
        let Some(job) = self.jobs.get(&no) else { return Cancellation::Unknown };
        if job.running || job.attempts > 0 {
            return Cancellation::Running;
        }
        let stream = if let State::Released(stream) = job.state { Some(stream) } else { None };
        self.leave_state(no);
        self.remove(no).map_or(Cancellation::Unknown, |ended| Cancellation::Cancelled(ended, stream))
    }

    /// Ends all jobs that are not released, in the order of their numbers.
    pub fn drain(&mut self) -> Vec<EndedJob<W>> {
        let waiting = |job: &Job<W, P>| !matches!(job.state, State::Released(_));
        let mut all: Vec<JobNo> = self.jobs.iter().filter(|j| waiting(j.1)).map(|j| *j.0).collect();
        all.sort_unstable();
        all.into_iter()
            .filter_map(|no| {
                self.leave_state(no);
                self.remove(no)
            })
            .collect()
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

    /// Takes a job that is about to be removed out of the counts of its state.
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
                queues.running -= job.running as usize;
                if queues.queued.iter().any(|n| *n > 0) {
                    let function = job.function;
                    self.mark_ready(function, 0);
                }
            }
        }
    }
}
