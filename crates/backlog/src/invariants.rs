//! What always holds of counts and indexes, for tests.

use crate::Backlog;
use crate::job::{Job, State};

impl<W, P> Backlog<W, P> {
    /// Checks that counts and indexes agree.
    ///
    /// # Panics
    /// Where they do not.
    pub fn check_invariants(&self) {
        for (f, queues) in self.functions.iter().enumerate() {
            let of = |state: fn(&State) -> bool| {
                self.jobs.values().filter(move |j| j.function == f && state(&j.state))
            };
            let by = |jobs: &mut dyn Iterator<Item = &Job<W, P>>| {
                let mut n = [0; 3];
                jobs.for_each(|j| n[j.priority] += 1);
                n
            };
            assert_eq!(queues.queued, by(&mut of(|s| *s == State::Queued)), "queued of {f}");
            assert_eq!(queues.scheduled, by(&mut of(|s| *s == State::Scheduled)), "set of {f}");
            assert_eq!(queues.released, of(|s| matches!(s, State::Released(_))).count(), "out of {f}");
            assert_eq!(queues.running, of(|_| true).filter(|j| j.running).count(), "running of {f}");
        }
        assert_eq!(self.bytes, self.jobs.values().map(|j| j.bytes).sum::<usize>());
        assert_eq!(self.scheduled.len(), self.jobs.values().filter(|j| j.state == State::Scheduled).count());
        assert_eq!(
            self.wait_deadlines.len(),
            self.jobs.values().filter(|j| j.state == State::Queued).count()
        );
        assert_eq!(self.by_unique.len(), self.jobs.values().filter(|j| !j.unique.is_empty()).count());
        for (client, jobs) in &self.by_client {
            assert!(!jobs.is_empty(), "client {client} waits for nothing");
            assert!(jobs.iter().all(|no| self.jobs[no].waiters.iter().any(|w| w.client == *client)));
        }
    }
}
