//! Consistency checks of counts and indexes, for tests.

use crate::function::FunctionQueues;
use crate::job::{Job, State};
use crate::{Backlog, ClientNo, JobNo};

impl<W, P> Backlog<W, P> {
    /// Checks that all counts and indexes agree with the jobs.
    ///
    /// # Panics
    /// If they do not agree.
    pub fn check_invariants(&self) {
        for (function, queues) in self.functions.iter().enumerate() {
            self.check_function(function, queues);
        }
        let bytes: usize = self.jobs.values().map(|job| job.bytes).sum();
        assert_eq!(self.bytes, bytes);
        assert_eq!(self.scheduled.len(), self.count(|job| job.state == State::Scheduled));
        assert_eq!(self.wait_deadlines.len(), self.count(|job| job.state == State::Queued));
        assert_eq!(self.by_unique.len(), self.count(|job| !job.unique.is_empty()));
        for (client, jobs) in &self.by_client {
            assert!(!jobs.is_empty(), "client {client} is indexed without a job");
            assert!(jobs.iter().all(|no| self.is_awaited_by(*no, *client)));
        }
    }

    fn check_function(&self, function: usize, queues: &FunctionQueues) {
        let queued = self.count_by_priority(function, State::Queued);
        let scheduled = self.count_by_priority(function, State::Scheduled);
        let is_released =
            |job: &Job<W, P>| job.function == function && matches!(job.state, State::Released(_));
        let is_running = |job: &Job<W, P>| job.function == function && job.running;
        assert_eq!(queues.queued, queued, "queued jobs of function {function}");
        assert_eq!(queues.scheduled, scheduled, "scheduled jobs of function {function}");
        assert_eq!(queues.released, self.count(is_released), "released jobs of function {function}");
        assert_eq!(queues.running, self.count(is_running), "running jobs of function {function}");
    }

    fn count(&self, is_counted: impl Fn(&Job<W, P>) -> bool) -> usize {
        self.jobs.values().filter(|job| is_counted(job)).count()
    }

    fn count_by_priority(&self, function: usize, state: State) -> [usize; 3] {
        let mut counts = [0; 3];
        for job in self.jobs.values() {
            if job.function == function && job.state == state {
                counts[job.priority] += 1;
            }
        }
        counts
    }

    fn is_awaited_by(&self, no: JobNo, client: ClientNo) -> bool {
        self.jobs[&no].waiters.iter().any(|waiter| waiter.client == client)
    }
}
