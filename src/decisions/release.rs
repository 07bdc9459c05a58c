//! The release pass: ranks the margins of waiting jobs, and sends those with the highest positive ones.

use super::snapshots::TRIAL_BELOW;
use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;
use crate::state::prices::HistoryColumn;
use crate::state::resources::{RESOURCES, SLOT};
use std::collections::BTreeSet;

/// The newest waiting jobs that one pass looks at: in an overload older ones are late.
const MAX_SCAN: usize = 64;
/// Age, in mean runs, from which a figure of free capacity is verified by a health check.
const STALE_AFTER_RUNS: f64 = 0.25;
/// Mean runs after which a job may return to a worker that it was withdrawn from.
const WITHDRAWN_RETURN_RUNS: f64 = 4.0;
/// Capacity that rounding may lack.
const CAPACITY_ROUNDING: f64 = 1e-9;

/// A job that may be sent to a worker.
struct RankedSend {
    margin: f64,
    /// Drawn at random.
    tie_breaker: u64,
    job: JobId,
    /// Index of the worker.
    worker: usize,
}

/// A job on a worker, as one pass sees it.
struct Evaluation {
    margin: f64,
    column: HistoryColumn,
    may_send: bool,
}

/// What to do with a job at the head of the ranking.
enum Freshness {
    /// The figure of the worker's free capacity is recent enough to send by.
    Fresh,
    /// It is too old: a health check verifies it first.
    Stale,
    /// A health check is under way.
    BeingChecked,
}

impl Dispatcher {
    /// One pass over the waiting jobs; a full one, with new prices, is made every half tick.
    pub(crate) fn release(&mut self, out: &mut Vec<Action>) {
        let full = self.prices.update_is_due(self.now);
        self.refresh_candidates(full);
        if full {
            self.prices.updated_at = self.now;
            self.update_prices();
            self.shed_hopeless(out);
        }
        self.refresh_cache_locations(if full { MAX_SCAN } else { 1 });
        let ranked = self.rank_waiting_jobs(full);
        self.send_ranked(ranked, out);
        for &index in &self.placement.candidates {
            self.workers[index].changed = false;
        }
    }

    /// Refreshes the snapshots of the workers where the newest waiting jobs find their data.
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

    /// The sends that the margins of the newest waiting jobs speak for, highest first. The best column goes
    /// into the history.
    fn rank_waiting_jobs(&mut self, full: bool) -> Vec<RankedSend> {
        let mut ranked = Vec::new();
        let mut best: Option<Evaluation> = None;
        for (position, &id) in self.jobs.waiting.iter().rev().take(MAX_SCAN).enumerate() {
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

    /// The margin of a job on a worker; none if neither the worker nor the job changed, or the job doesn't
    /// fit there. The newest job goes into the history in any case.
    fn evaluate(&self, job: &Job, index: usize, is_newest: bool, full: bool) -> Option<Evaluation> {
        let worker = &self.workers[index];
        if !worker.ready {
            return None;
        }
        let has_room = self.has_room(index, job);
        let is_unchanged = job.arrived_at < self.now && !full && !worker.changed;
        if !is_newest && (!has_room || is_unchanged) {
            return None;
        }
        let payoff = self.payoff(job, index);
        let margin = payoff.value - worker.prices.column_cost(job.need, 0, payoff.ticks);
        let column =
            HistoryColumn { worker: index, payoff: payoff.value, need: job.need, ticks: payoff.ticks };
        let may_send = margin > 0.0 && has_room && self.may_send(job, index);
        Some(Evaluation { margin, column, may_send })
    }

    /// Whether a worker can start a job now and, as bookings only end, run it; hinted jobs that still earn
    /// something late may also queue for the next slot.
    fn has_room(&self, index: usize, job: &Job) -> bool {
        let worker = &self.workers[index];
        if !self.has_capacity(index, job) || worker.rejects_class(job.tenant_class, self.now) {
            return false;
        }
        // What an error ends is not sent as a trial.
        let ends_with_error =
            matches!(self.settings.classes[job.class].idempotency, Idempotency::NonIdempotent);
        let is_sound = worker.snapshot.success >= TRIAL_BELOW * self.placement.best_success;
        if ends_with_error && !is_sound {
            return false;
        }
        let return_delay = (WITHDRAWN_RETURN_RUNS * self.placement.pass.mean_run_time) as Micros;
        let returns_from = self.now - return_delay;
        !job.attempts
            .iter()
            .any(|attempt| attempt.withdrawn && attempt.worker == index && attempt.sent_at > returns_from)
    }

    fn has_capacity(&self, index: usize, job: &Job) -> bool {
        let snapshot = &self.workers[index].snapshot;
        let earns_when_late = self.settings.classes[job.class].late_answer_fraction > 0.0;
        let may_queue = snapshot.may_queue && job.hinted && earns_when_late;
        if may_queue && job.need[SLOT] <= snapshot.free[SLOT] + 1.0 {
            return true;
        }
        let fits = |resource: usize| {
            let need = job.need[resource];
            need == 0.0 || need <= snapshot.free[resource] + CAPACITY_ROUNDING
        };
        snapshot.free[SLOT] > 0.0 && RESOURCES.into_iter().all(fits)
    }

    /// Sends the ranked jobs in their order. An old figure of free capacity says little: where allowed, a
    /// health check comes first, and no other job of the pass gets ahead.
    fn send_ranked(&mut self, ranked: Vec<RankedSend>, out: &mut Vec<Action>) {
        let stale_after = (STALE_AFTER_RUNS * self.mean_run_time()) as Micros;
        let mut checked_for = BTreeSet::new();
        for RankedSend { job: id, worker: index, .. } in ranked {
            let Some(job) = self.jobs.get(id) else { continue };
            if !job.waiting || !self.has_room(index, job) {
                continue;
            }
            match self.freshness(job, index, stale_after) {
                Freshness::Fresh => self.send(id, index, out),
                Freshness::Stale => {
                    // One worker for each job and pass: a health check costs, and that of the best worker may
                    // do.
                    if checked_for.insert(id) {
                        let worker = &mut self.workers[index];
                        worker.health.checked_at = self.now;
                        out.push(Action::HealthCheck(worker.listed.worker));
                    }
                }
                Freshness::BeingChecked => {}
            }
        }
    }

    /// Whether the worker's free capacity is known well enough to send the job. A job that may migrate needs
    /// no check.
    fn freshness(&self, job: &Job, index: usize, stale_after: Micros) -> Freshness {
        let worker = &self.workers[index];
        let may_check = self.settings.limits.health_checks_allowed && !self.may_migrate(job);
        if !may_check || self.now - worker.capacity[SLOT].updated_at <= stale_after {
            return Freshness::Fresh;
        }
        let since_check = self.now - worker.health.checked_at;
        if since_check > stale_after {
            Freshness::Stale
        } else if since_check >= self.prices.tick / 8 {
            Freshness::Fresh
        } else {
            Freshness::BeingChecked
        }
    }
}

#[cfg(test)]
#[path = "release_tests.rs"]
mod tests;
