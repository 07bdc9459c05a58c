//! Resolution of prerequisites, and the jobs that become ready as a result.

use crate::job::{EndReason, EndedJob, State};
use crate::{JobId, JobQueue, Micros, OnUnmet, Outcome, Quorum};

impl<P> JobQueue<P> {
    /// Applies the outcome of a prerequisite (`None` if it is unknown) to a dependent job. Returns false if the
    /// job ends as a result or does not wait for prerequisites any more.
    pub(crate) fn resolve_prerequisite(
        &mut self,
        key: usize,
        on: JobId,
        outcome: Option<Outcome>,
        now: Micros,
        ended: &mut Vec<EndedJob<P>>,
    ) -> bool {
        let Some(job) =
            self.jobs.get_mut(key).filter(|job| job.state != State::Released && job.open_prerequisites > 0)
        else {
            return false;
        };
        let Some((_, condition)) =
            job.dependencies.prerequisites.iter().find(|prerequisite| prerequisite.0 == on).copied()
        else {
            return true;
        };
        let met = outcome.is_some_and(|outcome| condition.is_met_by(outcome))
            || job.dependencies.on_unmet == OnUnmet::Run;
        job.open_prerequisites -= 1;
        match (met, job.dependencies.quorum) {
            (true, Quorum::Any) => job.open_prerequisites = 0,
            // Another prerequisite may still meet its condition.
            (false, Quorum::Any) if job.open_prerequisites > 0 => {}
            (true, Quorum::All) => {}
            (false, _) => {
                self.end(key, EndReason::PrerequisiteUnmet(on, outcome), now, ended);
                return false;
            }
        }
        true
    }

    /// Moves a job without open prerequisites to the next state: scheduled if it has a start time, otherwise ready.
    pub(crate) fn advance(&mut self, key: usize, now: Micros) {
        let job = &mut self.jobs[key];
        if job.state != State::Held || job.open_prerequisites > 0 {
            return;
        }
        if let Some(at) = job.not_before {
            job.state = State::Scheduled;
            self.scheduled.insert((at, key));
            return;
        }
        job.state = State::Ready;
        job.ready_since = now;
        let tenant = job.tenant;
        let class = job.class;
        let tenant_state = &mut self.tenants[tenant];
        if tenant_state.queues.len == 0 {
            // A tenant earns no credit while it has no ready jobs.
            tenant_state.virtual_time = tenant_state.virtual_time.max(self.virtual_time);
            self.by_virtual_time.insert((tenant_state.virtual_time.to_bits(), tenant));
        }
        tenant_state.queues.push(class, key, &mut self.links);
    }
}
