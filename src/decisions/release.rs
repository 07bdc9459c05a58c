//! The release pass: ranks waiting jobs by margin and sends those with the highest positive margins.

use super::snapshots::TRIAL_THRESHOLD;
use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;
use crate::state::prices::HistoryColumn;
use crate::state::resources::{RESOURCES, SLOT};
use std::collections::BTreeSet;

/// Maximum number of waiting jobs that a pass scans, newest first: under overload older ones are late.
const MAX_SCANNED_JOBS: usize = 64;
/// Age, in mean run times, beyond which a figure of free capacity is verified by a health check.
const STALE_AFTER_RUNS: f64 = 0.25;
/// Mean run times after which a job may be sent again to a worker from which it was withdrawn.
const WITHDRAWN_RETRY_DELAY_RUNS: f64 = 4.0;
/// Tolerance for rounding errors when a need is compared with free capacity.
const CAPACITY_TOLERANCE: f64 = 1e-9;

/// A permitted send of a job to a worker, with its rank.
struct RankedSend {
    margin: f64,
    /// Random number that orders sends of equal margin.
    tie_breaker: u64,
    job: JobId,
    /// Index of the worker.
    worker: usize,
}

/// The evaluation of a job at a worker in one pass.
struct Evaluation {
    margin: f64,
    column: HistoryColumn,
    may_send: bool,
}

/// Whether a worker's free capacity is known well enough to send a job there.
enum CapacityFreshness {
    /// The figure is recent enough.
    Fresh,
    /// The figure is too old and has to be verified by a health check first.
    Stale,
    /// A health check was sent only recently; its result is awaited.
    CheckPending,
}

impl Dispatcher {
    /// Runs one pass over the waiting jobs. Every half tick it is a full pass, which also updates the prices.
    pub(crate) fn release(&mut self, out: &mut Vec<Action>) {
        let full = self.prices.update_is_due(self.now);
        self.refresh_candidates(full);
        if full {
            self.prices.updated_at = self.now;
            self.update_prices();
            self.shed_jobs(out);
        }
        self.refresh_cache_locations(if full { MAX_SCANNED_JOBS } else { 1 });
        let ranked = self.rank_waiting_jobs(full);
        self.send_ranked(ranked, out);
        for &index in &self.placement.candidates {
            self.workers[index].changed = false;
        }
    }

    /// Refreshes the snapshots of the workers where the data of the newest waiting jobs is likely cached.
    fn refresh_cache_locations(&mut self, newest: usize) {
        let mut locations = BTreeSet::new();
        for id in self.jobs.waiting.iter().rev().take(newest) {
            if let Some(job) = self.jobs.get(*id) {
                locations.extend(job.cached_on.into_iter().flatten());
            }
        }
        for index in locations {
            self.refresh_snapshot(index);
        }
    }

    /// Ranks the sends of the newest waiting jobs that have a positive margin, highest first. Records the
    /// column with the highest margin in the history.
    fn rank_waiting_jobs(&mut self, full: bool) -> Vec<RankedSend> {
        let mut ranked = Vec::new();
        let mut best: Option<Evaluation> = None;
        for (position, &id) in self.jobs.waiting.iter().rev().take(MAX_SCANNED_JOBS).enumerate() {
            let Some(job) = self.jobs.get(id) else { continue };
            for index in self.placement.workers_for(job.cached_on) {
                let Some(evaluation) = self.evaluate(job, index, position == 0, full) else { continue };
                if evaluation.may_send {
                    ranked.push(RankedSend {
                        margin: evaluation.margin,
                        tie_breaker: self.rng.rand_u64(),
                        job: id,
                        worker: index,
                    });
                }
                if best.as_ref().is_none_or(|best| evaluation.margin > best.margin) {
                    best = Some(evaluation);
                }
            }
        }
        self.prices.record(best.map(|best| best.column));
        ranked.sort_by(|a, b| b.margin.total_cmp(&a.margin).then(a.tie_breaker.cmp(&b.tie_breaker)));
        ranked
    }

    /// Evaluates a job at a worker. Returns none if neither the worker nor the job has changed, or if the job
    /// cannot be sent there; the newest job is always evaluated, for the history.
    fn evaluate(&self, job: &Job, index: usize, is_newest: bool, full: bool) -> Option<Evaluation> {
        let worker = &self.workers[index];
        if !worker.ready {
            return None;
        }
        let is_feasible = self.is_feasible(index, job);
        let is_unchanged = job.arrived_at < self.now && !full && !worker.changed;
        if !is_newest && (!is_feasible || is_unchanged) {
            return None;
        }
        let payoff = self.payoff(job, index);
        let margin = payoff.value - worker.prices.column_cost(job.need, 0, payoff.ticks);
        let column =
            HistoryColumn { worker: index, payoff: payoff.value, need: job.need, ticks: payoff.ticks };
        let may_send = margin > 0.0 && is_feasible && self.may_send(job, index);
        Some(Evaluation { margin, column, may_send })
    }

    /// Whether a worker can take a job: it has the capacity, does not reject the job's class, is healthy
    /// enough for a job that fails on an error, and the job was not withdrawn from it recently.
    fn is_feasible(&self, index: usize, job: &Job) -> bool {
        let worker = &self.workers[index];
        if !self.has_capacity(index, job) || worker.rejects_class(job.tenant_class, self.now) {
            return false;
        }
        // A job that an error would end is not used as a trial.
        let fails_on_error =
            matches!(self.settings.classes[job.class].idempotency, Idempotency::NonIdempotent);
        let is_healthy = worker.snapshot.success >= TRIAL_THRESHOLD * self.placement.best_success;
        if fails_on_error && !is_healthy {
            return false;
        }
        let retry_delay = (WITHDRAWN_RETRY_DELAY_RUNS * self.placement.pass.mean_run_time) as Micros;
        let blocked_since = self.now - retry_delay;
        !job.attempts
            .iter()
            .any(|attempt| attempt.withdrawn && attempt.worker == index && attempt.sent_at > blocked_since)
    }

    /// Whether a worker has the capacity to start a job now and, since bookings only end, to run it. Hinted
    /// jobs that still earn something when late may also queue there for the next slot.
    fn has_capacity(&self, index: usize, job: &Job) -> bool {
        let snapshot = &self.workers[index].snapshot;
        let earns_when_late = self.settings.classes[job.class].late_answer_fraction > 0.0;
        let may_queue = snapshot.may_queue && job.hinted && earns_when_late;
        if may_queue && job.need[SLOT] <= snapshot.free[SLOT] + 1.0 {
            return true;
        }
        let fits = |resource: usize| {
            let need = job.need[resource];
            need == 0.0 || need <= snapshot.free[resource] + CAPACITY_TOLERANCE
        };
        snapshot.free[SLOT] > 0.0 && RESOURCES.into_iter().all(fits)
    }

    /// Sends the ranked jobs in order. An old figure of free capacity is unreliable: where permitted, a
    /// health check is sent first, and no other job of the pass is sent to that worker before its result.
    fn send_ranked(&mut self, ranked: Vec<RankedSend>, out: &mut Vec<Action>) {
        let stale_after = (STALE_AFTER_RUNS * self.mean_run_time()) as Micros;
        let mut checked_for = BTreeSet::new();
        for RankedSend { job: id, worker: index, .. } in ranked {
            let Some(job) = self.jobs.get(id) else { continue };
            if !job.waiting || !self.is_feasible(index, job) {
                continue;
            }
            match self.capacity_freshness(job, index, stale_after) {
                CapacityFreshness::Fresh => self.send(id, index, out),
                CapacityFreshness::Stale => {
                    // At most one health check per job and pass: checks have a cost, and the one of the best
                    // worker may suffice.
                    if checked_for.insert(id) {
                        let worker = &mut self.workers[index];
                        worker.health.checked_at = self.now;
                        out.push(Action::HealthCheck(worker.endpoint.worker));
                    }
                }
                CapacityFreshness::CheckPending => {}
            }
        }
    }

    /// Classifies the age of a worker's free capacity figure for a job. A job that may migrate needs no
    /// check.
    fn capacity_freshness(&self, job: &Job, index: usize, stale_after: Micros) -> CapacityFreshness {
        let worker = &self.workers[index];
        let may_check = self.settings.limits.health_checks_allowed && !self.may_migrate(job);
        if !may_check || self.now - worker.capacity[SLOT].updated_at <= stale_after {
            return CapacityFreshness::Fresh;
        }
        let since_check = self.now - worker.health.checked_at;
        if since_check > stale_after {
            CapacityFreshness::Stale
        } else if since_check >= self.prices.tick / 8 {
            CapacityFreshness::Fresh
        } else {
            CapacityFreshness::CheckPending
        }
    }
}

#[cfg(test)]
#[path = "release_tests.rs"]
mod tests;
