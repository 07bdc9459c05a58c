//! Submission of jobs and validation of their dependencies.

use crate::job::{EndedJob, Job, NewJob, Rejection, State};
use crate::{JobId, JobQueue, MAX_CLASSES, MAX_DEPTH, MAX_PREREQUISITES, Micros, UnknownPrerequisite, graph};

impl<P> JobQueue<P> {
    /// Adds a job. If a prerequisite already fails to meet its condition, the job ends immediately and is returned with
    /// the dependent jobs that end because of it.
    ///
    /// # Errors
    /// A [`Rejection`] if a limit is reached, the id is in use or the dependencies are invalid.
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
            return Err(Rejection::TooManyJobs);
        }
        if self.tenants[tenant].jobs >= self.settings.max_jobs_per_tenant {
            return Err(Rejection::TooManyTenantJobs);
        }
        if new.dependencies.prerequisites.len() > MAX_PREREQUISITES {
            return Err(Rejection::TooManyPrerequisites);
        }
        self.check_dependencies(&new)?;
        // The id is reused: the outcome of the earlier job must not be taken for that of this one.
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
            } else if !self.resolve_prerequisite(key, on, outcome, now, &mut ended) {
                break;
            }
        }
        if self.is_job(key, new.id) {
            self.advance(key, now);
        }
        Ok(ended)
    }

    /// Returns whether the job with this id is still stored at `key`.
    fn is_job(&self, key: usize, id: JobId) -> bool {
        self.jobs.get(key).is_some_and(|job| job.id == id)
    }

    /// Rejects dependency cycles and chains longer than [`MAX_DEPTH`].
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
        if let Some(cycle) = graph::find_cycle(new.id, prerequisites_of) {
            return Err(Rejection::Cycle(cycle));
        }
        let prerequisite_depth = graph::chain_length(new.id, MAX_DEPTH, prerequisites_of);
        let dependent_depth = graph::chain_length(new.id, MAX_DEPTH, dependents_of);
        if prerequisite_depth + dependent_depth > MAX_DEPTH { Err(Rejection::TooDeep) } else { Ok(()) }
    }
}
