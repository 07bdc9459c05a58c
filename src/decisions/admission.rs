//! Admission: the estimated work, deadline and priority weight that a job is given on arrival.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;

impl Dispatcher {
    /// Admits a new job. Rule 1: each job has its own deadline timer, which fires a tick early so that the
    /// final answer is never late.
    pub(crate) fn admit(&mut self, request: &JobRequest, out: &mut Vec<Action>) {
        let class = request.class.0 as usize;
        if class >= self.settings.classes.len() || self.jobs.get(request.job).is_some() {
            return;
        }
        let hint = request.work_hint.filter(|hint| hint.is_finite() && *hint > 0.0);
        let work = self.work.expected_work(class, hint);
        let weight = self.priority_weight(class, work);
        self.work.record_job(work, weight);
        self.arrivals.record(self.now);
        self.retry_counter.record_admitted(self.settings.safety.retry_budget.as_ref(), self.now);
        let quota_weight = match request.tenant {
            Some(tenant) => self.arrivals.quota_weight(tenant, &self.settings, self.now),
            None => 1.0,
        };
        let delay = (request.budget - self.settings.tick).max(0);
        out.push(Action::Timer { delay, token: request.job.0 as u64 });
        let already_spent = self.work.time_since_first_attempt(class, request.budget);
        let key = request.key.filter(|_| self.settings.costs.origin_fetch > 0.0);
        let job = Job {
            class,
            idempotency: self.settings.classes[class].idempotency,
            tenant_class: (request.tenant, request.class),
            need: [request.slots.max(0.0), request.memory.max(0.0)],
            work,
            hinted: hint.is_some(),
            key,
            cached_on: self.placement.cache_locations(key),
            arrived_at: self.now,
            client_first_attempt_at: self.now - already_spent,
            deadline: self.now.saturating_add(request.budget.max(0)),
            relative_weight: quota_weight * weight / self.work.mean_weight.mean.max(f64::MIN_POSITIVE),
            waiting: true,
            ..Job::default()
        };
        self.jobs.insert_waiting(request.job, job);
    }

    /// Priority weight of a job of `class` with `work` seconds of work.
    fn priority_weight(&self, class: usize, work: f64) -> f64 {
        let weight = self.settings.classes[class].priority_weight;
        weight * if self.settings.weighted_by_work { work } else { 1.0 }
    }
}
