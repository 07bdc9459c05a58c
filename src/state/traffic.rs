//! Rates of arrivals, and the counts that the retry budget is held to.

use super::estimates::DecayingMean;
use crate::api::*;
use std::collections::VecDeque;

/// Time constant of the arrival rates, in microseconds.
const RATE_MEMORY: f64 = 3e6;
/// Time constant of the long-term arrival rate, in microseconds.
const LONG_TERM_MEMORY: f64 = 10e6;
/// Seconds of usual traffic that count as a prior of the long-term rate.
const LONG_TERM_PRIOR: f64 = 2.0;

/// Arrivals of jobs, in all and by tenant.
pub(crate) struct ArrivalRates {
    recent: DecayingMean,
    long_term: DecayingMean,
    /// When the long-term rate began to be counted.
    counting_since: Micros,
    tenants: Vec<DecayingMean>,
}

impl ArrivalRates {
    pub(crate) fn new(tenants: usize) -> ArrivalRates {
        ArrivalRates {
            recent: DecayingMean::default(),
            long_term: DecayingMean::default(),
            counting_since: 0,
            tenants: vec![DecayingMean::default(); tenants],
        }
    }

    pub(crate) fn start(&mut self, now: Micros) {
        self.counting_since = now;
    }

    /// Counts a job that arrives.
    pub(crate) fn record(&mut self, now: Micros) {
        self.recent.add(0.0, 1.0, now, RATE_MEMORY);
        self.long_term.add(0.0, 1.0, now, LONG_TERM_MEMORY);
    }

    /// Arrivals a microsecond of late.
    pub(crate) fn recent_rate(&self, now: Micros) -> f64 {
        self.recent.current_weight(now, RATE_MEMORY) / RATE_MEMORY
    }

    /// Our traffic over the longer span as a multiple of a dispatcher's part of the tenants' quotas; 1
    /// without quotas.
    pub(crate) fn relative_to_quotas(&self, settings: &Settings, now: Micros) -> f64 {
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum::<f64>();
        let usual = quotas / settings.fleet_size as f64;
        let counted = (now - self.counting_since).min(LONG_TERM_MEMORY as Micros);
        let span = counted as f64 / SECOND as f64;
        let arrivals = self.long_term.current_weight(now, LONG_TERM_MEMORY);
        if usual > 0.0 { (arrivals / usual + LONG_TERM_PRIOR) / (span + LONG_TERM_PRIOR) } else { 1.0 }
    }

    /// Counts a job of a tenant, and by how much its weight counts: traffic beyond our part of the quota
    /// counts for less, and each job carries the expected weight.
    pub(crate) fn quota_weight(&mut self, tenant: TenantId, settings: &Settings, now: Micros) -> f64 {
        let tenant = tenant.0 as usize;
        let Some(rate) = self.tenants.get_mut(tenant) else { return 1.0 };
        let Some(listed) = settings.tenants.get(tenant) else { return 1.0 };
        rate.add(0.0, 1.0, now, RATE_MEMORY);
        let rate_per_s = rate.weight * SECOND as f64 / RATE_MEMORY;
        let quota = listed.quota_per_s / settings.fleet_size as f64;
        let over_quota = settings.over_quota_weight;
        over_quota + (1.0 - over_quota) * (quota / rate_per_s).min(1.0)
    }
}

/// Jobs admitted and attempts beyond a job's first, within the window of the site's retry budget.
#[derive(Default)]
pub(crate) struct RetryCounter {
    admitted: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

/// Appends a time, and drops those older than the window.
fn push_recent(times: &mut VecDeque<Micros>, now: Micros, window: Micros) {
    times.push_back(now);
    while times.front().is_some_and(|at| *at < now - window) {
        times.pop_front();
    }
}

impl RetryCounter {
    /// Counts an admitted job, where the site has a budget.
    pub(crate) fn record_admitted(&mut self, budget: Option<&RetryBudget>, now: Micros) {
        if let Some(budget) = budget {
            push_recent(&mut self.admitted, now, budget.window);
        }
    }

    /// Counts an attempt beyond a job's first, where the site has a budget.
    pub(crate) fn record_retry(&mut self, budget: Option<&RetryBudget>, now: Micros) {
        if let Some(budget) = budget {
            push_recent(&mut self.retries, now, budget.window);
        }
    }

    /// Rule 5: whether one more retry fits into the budget. The first instant of the window counts for
    /// retries alone.
    pub(crate) fn allows_retry(&self, budget: Option<&RetryBudget>, now: Micros) -> bool {
        let Some(budget) = budget else { return true };
        let since = now - budget.window;
        let retries = self.retries.iter().rev().take_while(|at| **at >= since).count() + 1;
        let admitted = self.admitted.iter().rev().take_while(|at| **at > since).count();
        retries as f64 <= budget.min_retries + budget.ratio * admitted as f64
    }
}
