//! Submission of jobs.

use crate::job::{EndedJob, Job, NewJob, Rejection, State};
use crate::{JobId, MAX_CLASSES, MAX_DEPTH, MAX_PREREQUISITES, Micros, UnknownPrerequisite, Waiting, graph};

impl<P> Waiting<P> {
    /// Accepts a job. It may end at once, if a prerequisite does not meet its condition: then it is returned, with the
    /// jobs that end because of it.
    ///
    /// # Errors
    /// Why the job is rejected.
    pub fn submit(
        &mut self,
        new: NewJob<P>,
        now: Micros,
        wall: Micros,
    ) -> Result<Vec<EndedJob<P>>, Rejection> {
        let tenant = new.tenant.min(self.tenants.len() - 1);
        if self.by_id.contains_key(&new.id) {
            return Err(Rejection::Duplicate);
        }
        if self.jobs.len() >= self.settings.max_jobs {
            return Err(Rejection::Jobs);
        }
        if self.tenants[tenant].jobs >= self.settings.max_jobs_per_tenant {
            return Err(Rejection::Tenant);
        }
        if new.dependencies.prerequisites.len() > MAX_PREREQUISITES {
            return Err(Rejection::Prerequisites);
        }
        self.check_dependencies(&new)?;
        // The outcome of an earlier job with the same id does not count for this one.
        self.outcomes.remove(&new.id);
        let mut dependencies = new.dependencies;
        dependencies.prerequisites.sort_unstable_by_key(|on| on.0);
        dependencies.prerequisites.dedup_by_key(|on| on.0);
        let job = Job {
            id: new.id,
            tenant,
            class: new.class.min(MAX_CLASSES - 1),
            state: State::Held,
            not_before: new.not_before.filter(|at| *at > wall),
            open_prerequisites: dependencies.prerequisites.len(),
            dependencies,
            deadline: new.deadline,
            ready_since: now,
            payload: Some(new.payload),
        };
        let prerequisites = job.dependencies.prerequisites.clone();
        let deadline = job.deadline;
        let unknown = job.dependencies.unknown;
        let key = self.jobs.insert(job);
        self.links.grow(key);
        self.by_id.insert(new.id, key);
        self.tenants[tenant].jobs += 1;
        self.deadlines.insert((deadline, key));
        let mut ended = Vec::new();
        for (on, _) in prerequisites {
            let outcome = self.outcomes.get(&on).copied();
            let is_job = self.by_id.contains_key(&on);
            if outcome.is_none() && (is_job || unknown == UnknownPrerequisite::Await) {
                self.dependents.entry(on).or_default().push(key);
            } else if !self.settle_prerequisite(key, on, outcome, now, &mut ended) {
                break;
            }
        }
        if self.is_job(key, new.id) {
            self.advance(key, now);
        }
        Ok(ended)
    }

    /// Whether the job of an id is still at a key.
    fn is_job(&self, key: usize, id: JobId) -> bool {
        self.jobs.get(key).is_some_and(|job| job.id == id)
    }

    /// Rejects cycles, and chains that would be too long.
    fn check_dependencies(&self, new: &NewJob<P>) -> Result<(), Rejection> {
        let prerequisites_of = |id: JobId| -> Vec<JobId> {
            if id == new.id {
                return new.dependencies.prerequisites.iter().map(|on| on.0).collect();
            }
            let job = self.by_id.get(&id).map(|k| &self.jobs[*k]);
            job.filter(|j| j.open_prerequisites > 0)
                .map(|j| j.dependencies.prerequisites.iter().map(|on| on.0).collect())
                .unwrap_or_default()
        };
        let dependents_of = |id: JobId| -> Vec<JobId> {
            let keys = self.dependents.get(&id).into_iter().flatten();
            keys.filter_map(|k| self.jobs.get(*k)).map(|j| j.id).collect()
        };
        if let Some(cycle) = graph::cycle(new.id, prerequisites_of) {
            return Err(Rejection::Cycle(cycle));
        }
        let below = graph::depth(new.id, MAX_DEPTH, prerequisites_of);
        let above = graph::depth(new.id, MAX_DEPTH, dependents_of);
        if below + above > MAX_DEPTH { Err(Rejection::TooDeep) } else { Ok(()) }
    }
}
