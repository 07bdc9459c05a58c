//! What time does: scheduled jobs are queued, and jobs that have waited too long end.

use crate::job::EndedJob;
use crate::{Backlog, Micros};

impl<W, P> Backlog<W, P> {
    /// Queues scheduled jobs whose time has come, and ends jobs that have waited too long; returns those.
    ///
    /// The wall clock may step either way: a job that was queued stays so.
    pub fn tick(&mut self, now: Micros, wall: Micros) -> Vec<EndedJob<W>> {
        while let Some((at, no)) = self.scheduled.first().copied().filter(|s| s.0 <= wall) {
            self.scheduled.remove(&(at, no));
            if let Some(job) = self.jobs.get_mut(&no) {
                let queues = &mut self.functions[job.function];
                queues.scheduled[job.priority] -= 1;
                job.wait_deadline = now
                    + if job.background {
                        queues.settings.max_wait_background
                    } else {
                        queues.settings.max_wait
                    };
                self.wait_deadlines.insert((job.wait_deadline, no));
                self.enqueue(no, false);
            }
        }
        let mut expired = Vec::new();
        while let Some((_, no)) = self.wait_deadlines.first().copied().filter(|l| l.0 <= now) {
            self.leave_state(no);
            expired.extend(self.remove(no));
        }
        expired
    }

    /// When [`tick`](Self::tick) has something to do next: on the monotonic clock, and on the wall clock.
    pub fn next_deadlines(&self) -> (Option<Micros>, Option<Micros>) {
        (self.wait_deadlines.first().map(|l| l.0), self.scheduled.first().map(|s| s.0))
    }
}
