//! Release of jobs to the decisions: the oldest of the highest priority of a function, and among functions fairly, by
//! the number of releases.

use crate::job::{Job, QueueEntry, Released, State};
use crate::{Backlog, JobNo, Micros};
use std::collections::HashMap;

/// Where a job is added to its queue.
#[derive(Clone, Copy)]
pub(crate) enum QueuePosition {
    /// Before all others.
    Head,
    /// After all others.
    Tail,
}

/// Whether an entry is the latest one of a queued job.
fn is_live<W, P>(jobs: &HashMap<JobNo, Job<W, P>>, entry: &QueueEntry) -> bool {
    let Some(job) = jobs.get(&entry.no) else { return false };
    job.state == State::Queued && job.entry_version == entry.entry_version
}

impl<W, P> Backlog<W, P> {
    /// Sets how many workers have registered a function, how many of these are free for it, and how many have a job of it.
    pub fn set_workers(&mut self, function: usize, able: usize, free: usize, engaged: usize) {
        let queues = &mut self.functions[function];
        let has_more = free > queues.free || able > queues.able;
        queues.able = able;
        queues.free = free;
        queues.engaged = engaged;
        if has_more {
            self.reconsider(function);
        }
    }

    /// The soonest time at which a job may be released; none without a queued job.
    pub fn next_release_at(&self) -> Option<Micros> {
        self.ready_functions.values().min().copied()
    }

    /// Releases the next job, under the stream that the caller names.
    pub fn release(&mut self, now: Micros, stream: impl FnOnce() -> u32) -> Option<Released<P>> {
        loop {
            let function = self.next_ready_function(now)?;
            if let Some(no) = self.pop_first(function) {
                return Some(self.mark_released(no, now, stream()));
            }
            self.ready_functions.remove(&function);
        }
    }

    /// The ready function with the fewest releases so far.
    fn next_ready_function(&self, now: Micros) -> Option<usize> {
        let ready = self.ready_functions.iter().filter(|(_, from)| **from <= now);
        ready
            .map(|(function, _)| *function)
            .min_by_key(|function| (self.functions[*function].service, *function))
    }

    /// Takes the next job out of a function's queues, within its window.
    fn pop_first(&mut self, function: usize) -> Option<JobNo> {
        let queues = &mut self.functions[function];
        if queues.released >= queues.window() {
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

    /// Notes that a job is released.
    fn mark_released(&mut self, no: JobNo, now: Micros, stream: u32) -> Released<P> {
        let job = self.jobs.get_mut(&no).expect("a queued job");
        let queues = &mut self.functions[job.function];
        self.virtual_time = self.virtual_time.max(queues.service);
        queues.service += 1;
        queues.released += 1;
        self.wait_deadlines.remove(&(job.wait_deadline, no));
        job.state = State::Released(stream);
        job.releases += 1;
        job.failed = false;
        let deadline = now + queues.settings.run_timeout[job.background as usize];
        Released {
            no,
            earlier_releases: job.releases - 1,
            attempts: job.attempts,
            priority: job.priority,
            deadline,
            payload: job.payload.clone(),
        }
    }

    /// Adds a job to its queue.
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
        queues.sweep(|entry| is_live(&self.jobs, entry));
        self.mark_ready(function, self.functions[function].backoff_until);
    }

    /// Notes that a function may have a job to release from a time on.
    pub(crate) fn mark_ready(&mut self, function: usize, from: Micros) {
        let virtual_time = self.virtual_time;
        let queues = &mut self.functions[function];
        self.ready_functions.entry(function).or_insert_with(|| {
            queues.service = queues.service.max(virtual_time);
            from
        });
    }

    /// A function's workers or settings have changed: ends its backoff, and makes it ready at once.
    pub(crate) fn reconsider(&mut self, function: usize) {
        let queues = &mut self.functions[function];
        queues.reset_backoff();
        if queues.has_queued() {
            self.mark_ready(function, 0);
            self.ready_functions.insert(function, 0);
        }
    }
}
