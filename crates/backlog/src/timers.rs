//! Timers: scheduled jobs are queued when they are due, and jobs that have waited too long for a worker expire.

use crate::job::EndedJob;
use crate::release::QueuePosition;
use crate::{Backlog, JobNo, Micros};
use std::collections::BTreeSet;

/// The earliest entry, if it is due.
fn first_due(times: &BTreeSet<(Micros, JobNo)>, now: Micros) -> Option<(Micros, JobNo)> {
    times.first().copied().filter(|(time, _)| *time <= now)
}

impl<W, P> Backlog<W, P> {
    /// Queues the scheduled jobs that are due, and removes and returns the jobs that have waited too long for a worker.
    ///
    /// If the wall clock steps back, jobs that have been queued stay queued.
    pub fn tick(&mut self, now: Micros, wall: Micros) -> Vec<EndedJob<W>> {
        while let Some((time, no)) = first_due(&self.scheduled, wall) {
            self.scheduled.remove(&(time, no));
            self.queue_scheduled(no, now);
        }
        let mut expired = Vec::new();
        while let Some((_, no)) = first_due(&self.wait_deadlines, now) {
            self.leave_state(no);
            expired.extend(self.remove(no));
        }
        expired
    }

    /// Queues a scheduled job that is due. Its maximum wait for a worker starts now.
    fn queue_scheduled(&mut self, no: JobNo, now: Micros) {
        let Some(job) = self.jobs.get_mut(&no) else { return };
        let queues = &mut self.functions[job.function];
        queues.scheduled[job.priority] -= 1;
        job.wait_deadline = now + queues.settings.max_wait(job.background);
        self.wait_deadlines.insert((job.wait_deadline, no));
        self.enqueue(no, QueuePosition::Tail);
    }

    /// The next times at which [`tick`](Self::tick) must be called, on the monotonic clock and on the wall clock.
    pub fn next_deadlines(&self) -> (Option<Micros>, Option<Micros>) {
        let wait_deadline = self.wait_deadlines.first().map(|(time, _)| *time);
        let scheduled = self.scheduled.first().map(|(time, _)| *time);
        (wait_deadline, scheduled)
    }
}
