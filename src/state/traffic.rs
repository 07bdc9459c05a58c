//! Arrival rates, and counters for the retry budget.

use super::estimates::DecayingMean;
use crate::api::*;
use std::collections::VecDeque;

/// Time constant of the arrival rates.
const RATE_TIME_CONSTANT_US: f64 = 3e6;
/// Time constant of the long-term arrival rate.
const LONG_TERM_TIME_CONSTANT_US: f64 = 10e6;
/// Weight of the prior of the long-term rate: this many seconds of traffic at the quotas.
const LONG_TERM_PRIOR_SECONDS: f64 = 2.0;

/// Arrival rates of jobs, in total and by tenant.
pub(crate) struct ArrivalRates {
    recent: DecayingMean,
    long_term: DecayingMean,
    /// Start of the count for the long-term rate.
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

    /// Counts an arriving job.
    pub(crate) fn record(&mut self, now: Micros) {
        self.recent.add(0.0, 1.0, now, RATE_TIME_CONSTANT_US);
        self.long_term.add(0.0, 1.0, now, LONG_TERM_TIME_CONSTANT_US);
    }

    /// Recent arrival rate in jobs per microsecond.
    pub(crate) fn recent_rate(&self, now: Micros) -> f64 {
        self.recent.current_weight(now, RATE_TIME_CONSTANT_US) / RATE_TIME_CONSTANT_US
    }

    /// Long-term traffic of this dispatcher relative to its share of the tenants' quotas; 1 without quotas.
    pub(crate) fn relative_to_quotas(&self, settings: &Settings, now: Micros) -> f64 {
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum::<f64>();
        let quota_share = quotas / settings.fleet_size as f64;
        let counted = (now - self.counting_since).min(LONG_TERM_TIME_CONSTANT_US as Micros);
        let span = counted as f64 / SECOND as f64;
        let arrivals = self.long_term.current_weight(now, LONG_TERM_TIME_CONSTANT_US);
        if quota_share > 0.0 {
            (arrivals / quota_share + LONG_TERM_PRIOR_SECONDS) / (span + LONG_TERM_PRIOR_SECONDS)
        } else {
            1.0
        }
    }

    /// Counts a job of a tenant and returns the factor for its weight. Traffic beyond this dispatcher's share
    /// of the quota has a lower weight; each job gets the expected weight at the tenant's current rate.
    pub(crate) fn quota_weight(&mut self, tenant: TenantId, settings: &Settings, now: Micros) -> f64 {
        let tenant = tenant.0 as usize;
        let Some(rate) = self.tenants.get_mut(tenant) else { return 1.0 };
        let Some(tenant_settings) = settings.tenants.get(tenant) else { return 1.0 };
        rate.add(0.0, 1.0, now, RATE_TIME_CONSTANT_US);
        let rate_per_s = rate.weight * SECOND as f64 / RATE_TIME_CONSTANT_US;
        let quota = tenant_settings.quota_per_s / settings.fleet_size as f64;
        let over_quota_weight = settings.over_quota_weight;
        over_quota_weight + (1.0 - over_quota_weight) * (quota / rate_per_s).min(1.0)
    }
}

/// Admitted jobs and retries (attempts after a job's first) within the window of the site's retry budget.
#[derive(Default)]
pub(crate) struct RetryCounter {
    admitted: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

/// Appends a time and drops those older than the window.
fn push_recent(times: &mut VecDeque<Micros>, now: Micros, window: Micros) {
    times.push_back(now);
    while times.front().is_some_and(|at| *at < now - window) {
        times.pop_front();
    }
}

impl RetryCounter {
    /// Counts an admitted job if the site has a budget.
    pub(crate) fn record_admitted(&mut self, budget: Option<&RetryBudget>, now: Micros) {
        if let Some(budget) = budget {
            push_recent(&mut self.admitted, now, budget.window);
        }
    }

    /// Counts a retry if the site has a budget.
    pub(crate) fn record_retry(&mut self, budget: Option<&RetryBudget>, now: Micros) {
        if let Some(budget) = budget {
            push_recent(&mut self.retries, now, budget.window);
        }
    }

    /// Rule 5: whether the budget allows another retry. At the first instant of the window, retries count but
    /// admitted jobs don't.
    pub(crate) fn allows_retry(&self, budget: Option<&RetryBudget>, now: Micros) -> bool {
        let Some(budget) = budget else { return true };
        let since = now - budget.window;
        let retries = self.retries.iter().rev().take_while(|at| **at >= since).count() + 1;
        let admitted = self.admitted.iter().rev().take_while(|at| **at > since).count();
        retries as f64 <= budget.min_retries + budget.ratio * admitted as f64
    }
}
