//! Completion, cancellation and expiry of jobs, and the store of their outcomes.

use crate::job::{EndReason, EndedJob, Job, State};
use crate::{JobId, JobQueue, Micros, OnUnmet, Outcome};

impl<P> JobQueue<P> {
    /// Records the outcome of a released job and returns the dependent jobs that end because of it.
    pub fn complete(&mut self, id: JobId, outcome: Outcome, now: Micros) -> Vec<EndedJob<P>> {
        let mut ended = Vec::new();
        let released = self.by_id.get(&id).copied().filter(|k| self.jobs[*k].state == State::Released);
        if let Some(key) = released {
            self.remove(key, outcome, now, &mut ended);
        }
        ended
    }

    /// Cancels an unreleased job and returns it with the dependent jobs that end because of it. Returns nothing if the
    /// job does not exist or was already released.
    pub fn cancel(&mut self, id: JobId, now: Micros) -> Vec<EndedJob<P>> {
        let mut ended = Vec::new();
        let key = self.by_id.get(&id).copied().filter(|k| self.jobs[*k].state != State::Released);
        if let Some(key) = key {
            self.end(key, EndReason::Cancelled, now, &mut ended);
        }
        ended
    }

    /// Advances scheduled jobs whose start time has come and ends unreleased jobs whose deadline has passed. Returns the
    /// ended jobs, including dependent jobs that end because of them.
    pub fn tick(&mut self, now: Micros, wall: Micros) -> Vec<EndedJob<P>> {
        let mut ended = Vec::new();
        while let Some((at, key)) = self.scheduled.first().copied().filter(|(at, _)| *at <= wall) {
            self.scheduled.remove(&(at, key));
            self.jobs[key].not_before = None;
            self.jobs[key].state = State::Held;
            self.advance(key, now);
        }
        while let Some((_, key)) = self.deadlines.first().copied().filter(|(deadline, _)| *deadline <= now) {
            self.end(key, EndReason::DeadlineExceeded, now, &mut ended);
        }
        self.evict_outcomes(now);
        ended
    }

    /// Ends all unreleased jobs, on shutdown.
    pub fn drain(&mut self, now: Micros) -> Vec<EndedJob<P>> {
        let mut ended = Vec::new();
        while let Some((_, key)) = self.deadlines.first().copied() {
            self.end(key, EndReason::Drained, now, &mut ended);
        }
        ended
    }

    /// Ends an unreleased job and the dependent jobs that end because of it.
    pub(crate) fn end(&mut self, key: usize, reason: EndReason, now: Micros, ended: &mut Vec<EndedJob<P>>) {
        self.remove_from_indexes(key);
        let at = ended.len();
        let job = self.remove(key, Outcome::Dropped, now, ended);
        let silent = matches!(reason, EndReason::PrerequisiteUnmet(..))
            && job.dependencies.on_unmet == OnUnmet::DropSilently;
        if let Some(payload) = job.payload {
            ended.insert(at, EndedJob { id: job.id, reason, silent, payload });
        }
    }

    /// Removes a job, stores its outcome, and applies it to the dependent jobs.
    fn remove(&mut self, key: usize, outcome: Outcome, now: Micros, ended: &mut Vec<EndedJob<P>>) -> Job<P> {
        let job = self.jobs.remove(key);
        self.by_id.remove(&job.id);
        self.tenants[job.tenant].jobs -= 1;
        for (on, _) in &job.dependencies.prerequisites {
            if let Some(dependents) = self.dependents.get_mut(on) {
                dependents.retain(|k| *k != key);
                if dependents.is_empty() {
                    self.dependents.remove(on);
                }
            }
        }
        self.outcomes.insert(job.id, outcome);
        self.outcome_order.push_back((now, job.id));
        self.evict_outcomes(now);
        for dependent in self.dependents.remove(&job.id).unwrap_or_default() {
            if self.resolve_prerequisite(dependent, job.id, Some(outcome), now, ended) {
                self.advance(dependent, now);
            }
        }
        job
    }

    /// Removes an unreleased job from the indexes of its state and from the deadlines.
    fn remove_from_indexes(&mut self, key: usize) {
        let job = &self.jobs[key];
        match job.state {
            State::Scheduled => _ = self.scheduled.remove(&(job.not_before.unwrap_or(0), key)),
            State::Ready => {
                let tenant = job.tenant;
                let class = job.class;
                let tenant_state = &mut self.tenants[tenant];
                tenant_state.queues.remove(class, key, &mut self.links);
                if tenant_state.queues.len == 0 {
                    self.by_virtual_time.remove(&(tenant_state.virtual_time.to_bits(), tenant));
                }
            }
            State::Held | State::Released => {}
        }
        let job = &self.jobs[key];
        self.deadlines.remove(&(job.deadline, key));
    }

    /// Evicts outcomes beyond the maximum number or the retention time. An id that ended twice has two entries.
    fn evict_outcomes(&mut self, now: Micros) {
        while let Some((at, id)) = self.outcome_order.front().copied() {
            if self.outcome_order.len() <= self.settings.max_outcomes
                && now - at < self.settings.outcome_retention
            {
                break;
            }
            self.outcome_order.pop_front();
            if !self.outcome_order.iter().rev().take(1).any(|o| o.1 == id) {
                self.outcomes.remove(&id);
            }
        }
    }
}
