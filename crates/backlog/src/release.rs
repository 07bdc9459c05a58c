//! Release of jobs to the decision logic: within a function by priority and then by age, and among functions by fair
//! queuing of their releases.

use crate::job::{Job, QueueEntry, Released, State};
use crate::{Backlog, JobNo, Micros};
use std::collections::HashMap;

/// The end of a queue at which a job is added.
#[derive(Clone, Copy)]
pub(crate) enum QueuePosition {
    /// Before all other jobs.
    Head,
    /// After all other jobs.
    Tail,
}

/// Whether an entry is the current entry of a queued job, and not a stale one.
fn is_live<W, P>(jobs: &HashMap<JobNo, Job<W, P>>, entry: &QueueEntry) -> bool {
    let Some(job) = jobs.get(&entry.no) else { return false };
    job.state == State::Queued && job.entry_version == entry.entry_version
}

impl<W, P> Backlog<W, P> {
    /// Sets how many workers have registered a function, how many of these are free for it, and how many workers
    /// have one of its jobs. Additional workers end the backoff of the function.
    pub fn set_workers(&mut self, function: usize, registered: usize, free: usize, busy: usize) {
        let queues = &mut self.functions[function];
        let has_additional = free > queues.free_workers || registered > queues.registered_workers;
        queues.registered_workers = registered;
        queues.free_workers = free;
        queues.busy_workers = busy;
        if has_additional {
            self.mark_ready_now(function);
        }
    }

    /// The earliest time at which a job may be released; none if no function may have one.
    pub fn next_release_at(&self) -> Option<Micros> {
        self.ready_functions.values().min().copied()
    }

    /// Releases the next job, if any, under the stream that `stream` returns.
    pub fn release(&mut self, now: Micros, stream: impl FnOnce() -> u32) -> Option<Released<P>> {
        loop {
            let function = self.next_ready_function(now)?;
            if let Some(no) = self.pop_next_job(function) {
                return Some(self.mark_released(no, now, stream()));
            }
            self.ready_functions.remove(&function);
        }
    }

    /// The ready function with the lowest start tag.
    fn next_ready_function(&self, now: Micros) -> Option<usize> {
        let ready = self.ready_functions.iter().filter(|(_, from)| **from <= now);
        ready
            .map(|(function, _)| *function)
            .min_by_key(|function| (self.functions[*function].start_tag, *function))
    }

    /// Removes the next job from a function's queues, unless its release window is used up.
    fn pop_next_job(&mut self, function: usize) -> Option<JobNo> {
        let queues = &mut self.functions[function];
        if queues.released >= queues.release_window() {
            return None;
        }
        for (priority, queue) in queues.entries.iter_mut().enumerate() {
            while let Some(entry) = queue.pop_front() {
                if is_live(&self.jobs, &entry) {
                    queues.queued[priority] -= 1;
                    return Some(entry.no);
                }
            }
        }
        None
    }

    /// Updates the state of a job that is released.
    fn mark_released(&mut self, no: JobNo, now: Micros, stream: u32) -> Released<P> {
        let job = self.jobs.get_mut(&no).expect("a live queue entry belongs to a job");
        let queues = &mut self.functions[job.function];
        self.virtual_time = self.virtual_time.max(queues.start_tag);
        queues.start_tag += 1;
        queues.released += 1;
        self.wait_deadlines.remove(&(job.wait_deadline, no));
        job.state = State::Released(stream);
        job.release_count += 1;
        job.failed = false;
        let deadline = now + queues.settings.run_timeout[job.background as usize];
        Released {
            no,
            earlier_releases: job.release_count - 1,
            attempts: job.attempts,
            priority: job.priority,
            deadline,
            payload: job.payload.clone(),
        }
    }

    /// Adds a job to the queue of its priority.
    pub(crate) fn enqueue(&mut self, no: JobNo, position: QueuePosition) {
        let Some(job) = self.jobs.get_mut(&no) else { return };
        let queues = &mut self.functions[job.function];
        job.state = State::Queued;
        job.entry_version += 1;
        queues.queued[job.priority] += 1;
        let entry = QueueEntry { no, entry_version: job.entry_version };
        match position {
            QueuePosition::Head => queues.entries[job.priority].push_front(entry),
            QueuePosition::Tail => queues.entries[job.priority].push_back(entry),
        }
        let function = job.function;
        queues.remove_stale_entries(|entry| is_live(&self.jobs, entry));
        self.mark_ready(function, self.functions[function].backoff_until);
    }

    /// Records that a function may have a job to release from this time on. A function that is already ready keeps its
    /// time.
    pub(crate) fn mark_ready(&mut self, function: usize, from: Micros) {
        let virtual_time = self.virtual_time;
        let queues = &mut self.functions[function];
        self.ready_functions.entry(function).or_insert_with(|| {
            queues.start_tag = queues.start_tag.max(virtual_time);
            from
        });
    }

    /// Ends the backoff of a function whose workers or settings have changed, and makes it ready at once if it has
    /// queued jobs.
    pub(crate) fn mark_ready_now(&mut self, function: usize) {
        let queues = &mut self.functions[function];
        queues.reset_backoff();
        if queues.has_queued_jobs() {
            self.mark_ready(function, 0);
            self.ready_functions.insert(function, 0);
        }
    }
}
