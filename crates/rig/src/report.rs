//! Report of a run: the figures that its ledger yields.

mod tally;

use crate::ledger::{Ledger, RequestEnd, Tolerances, Violation};
use crate::process::ResourceUsage;
use crate::scenario::{Expectations, SAFE_REQUEST_TIMEOUT, Scenario};
use crate::{clairvoyant, time::Micros};
use serde::Serialize;
use std::collections::HashMap;
use tally::Tally;

/// Numbers of dispatchers and workers, serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct RunSize {
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Number of workers.
    pub workers: usize,
}

impl From<RunSize> for (usize, usize) {
    fn from(size: RunSize) -> (usize, usize) {
        (size.dispatchers, size.workers)
    }
}

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Numbers of dispatchers and workers.
    pub size: RunSize,
    /// Calls to the discovery service.
    pub calls: usize,
    /// Calls to the discovery service that failed.
    pub failed_calls: usize,
    /// The longest queue of calls at the discovery service.
    pub longest_queue: usize,
    /// Time from a dispatcher's start to its first list, in seconds: median, 99th percentile and maximum.
    #[serde(rename = "listed_s")]
    pub first_list_s: [f64; 3],
    /// Starts of dispatchers that received no list.
    pub never_listed: usize,
    /// The most new connections at one worker within a second.
    #[serde(rename = "handshakes")]
    pub peak_handshakes_per_s: usize,
    /// The most open connections at one worker.
    #[serde(rename = "open")]
    pub peak_open_connections: usize,
    /// The highest ratio of received jobs to the budget of a worker that is warming up.
    #[serde(rename = "cold")]
    pub peak_cold_load: f64,
    /// Share of requests served in time, by the span of 5 s in which they arrived.
    pub in_time: Vec<f64>,
    /// Share of all requests served in time.
    pub in_time_all: f64,
    /// The share that a clairvoyant dispatcher with the same capacity would serve in time; `None` if workers come and go.
    #[serde(rename = "ideal")]
    pub clairvoyant_share: Option<f64>,
    /// Attempts that ended in each second: served, rejected and others. Used by the chart.
    pub by_second: Vec<[usize; 3]>,
    /// Numbers of attempts, by [`RequestEnd::key`].
    #[serde(rename = "ends")]
    pub request_ends: HashMap<String, usize>,
    /// Peak memory and descriptors of any one dispatcher.
    #[serde(rename = "takes")]
    pub peak_usage: ResourceUsage,
    /// Broken rules.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// Unmet expectations of the scenario, and other failures.
    #[serde(rename = "faults")]
    pub failures: Vec<String>,
}

/// The outcome of a run, from which its report is computed.
pub struct RunResult<'a> {
    /// The scenario that was run.
    pub scenario: &'a Scenario,
    /// Seed of the run.
    pub seed: u64,
    /// What the stand-ins observed.
    pub ledger: &'a Ledger,
    /// Tolerances of the rules.
    pub tolerances: Tolerances,
    /// Failures of dispatchers during the run.
    pub failures: Vec<String>,
    /// Peak usage of any one dispatcher.
    pub peak_usage: ResourceUsage,
}

/// The share that the clairvoyant reference serves in time; `None` if workers come and go.
fn clairvoyant_share(scenario: &Scenario, tally: &Tally) -> Option<f64> {
    let fixed_workers =
        scenario.cuts.is_empty() && scenario.events.iter().all(|event| event.targets.is_of_dispatchers());
    fixed_workers.then(|| {
        clairvoyant::share_in_time(
            &scenario.workers,
            &tally.worker_starts,
            &tally.arrivals,
            SAFE_REQUEST_TIMEOUT,
        )
    })
}

/// A quantile, in seconds, of sorted times in microseconds.
fn quantile_s(sorted: &[Micros], share: f64) -> f64 {
    let index = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
    sorted.get(index).map_or(0.0, |time| *time as f64 / 1e6)
}

impl Report {
    /// Computes the report of a run.
    #[must_use]
    pub fn new(result: RunResult<'_>) -> Report {
        let RunResult { scenario, seed, ledger, tolerances, failures, peak_usage } = result;
        let tally = Tally::from_ledger(ledger, scenario.worker_count);
        let first_lists = &tally.first_lists;
        let mut report = Report {
            scenario: scenario.name.clone(),
            seed,
            size: RunSize { dispatchers: scenario.processes, workers: scenario.worker_count },
            calls: tally.calls,
            failed_calls: tally.failed_calls,
            longest_queue: tally.longest_queue,
            first_list_s: [0.5, 0.99, 1.0].map(|share| quantile_s(first_lists, share)),
            never_listed: tally.waiting_for_list.len(),
            peak_handshakes_per_s: tally.peak_handshakes_per_s,
            peak_open_connections: tally.peak_open_connections,
            peak_cold_load: ledger.peak_cold_load(tolerances).map_or(0.0, |peak| peak.share_of_budget),
            in_time: tally.spans.iter().map(|span| span.share_in_time()).collect(),
            in_time_all: tally.all_spans().share_in_time(),
            clairvoyant_share: clairvoyant_share(scenario, &tally),
            by_second: tally.by_second,
            request_ends: tally.request_ends,
            peak_usage,
            violations: ledger.violations(tolerances),
            failures,
        };
        let unmet = report.unmet_expectations(&scenario.expect);
        report.failures.extend(unmet);
        report
    }

    /// Number of attempts that ended this way.
    fn count(&self, end: RequestEnd) -> usize {
        self.request_ends.get(end.key()).copied().unwrap_or(0)
    }

    /// Describes the expectations of the scenario that the figures do not meet.
    fn unmet_expectations(&self, expect: &Expectations) -> Vec<String> {
        let mut unmet = Vec::new();
        let mut check = |met: bool, figure: String| {
            if !met {
                unmet.push(format!("expectation not met: {figure}"));
            }
        };
        let calls_each = self.calls as f64 / self.size.dispatchers as f64;
        check(
            expect.calls_each.is_none_or(|most| calls_each <= most),
            format!("{calls_each:.2} calls to the list service per dispatcher"),
        );
        check(
            expect.failed_calls.is_none_or(|most| self.failed_calls <= most),
            format!("{} failed calls to the list service", self.failed_calls),
        );
        let [_, _, last_list_s] = self.first_list_s;
        check(
            expect.listed_s.is_none_or(|most| last_list_s <= most && self.never_listed == 0),
            format!("last first list after {last_list_s:.1} s, {} starts without a list", self.never_listed),
        );
        check(
            expect.in_time.is_none_or(|least| self.in_time_all >= least),
            format!("{:.3} of the requests served in time", self.in_time_all),
        );
        let failed = self.count(RequestEnd::Failed);
        check(expect.failed.is_none_or(|most| failed <= most), format!("{failed} attempts failed"));
        check(
            expect.handshakes.is_none_or(|most| self.peak_handshakes_per_s <= most),
            format!("{} new connections at one worker within a second", self.peak_handshakes_per_s),
        );
        unmet
    }

    /// Whether all rules were kept and all expectations met.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }

    /// Header of the Markdown table whose rows are [`Report::row`].
    pub const TABLE_HEADER: &'static str = "| scenario | processes x workers | seed | calls, failed | longest queue | list p50 / p99 / last, s \
        | handshakes a second, open | cold load | in time by 5 s, % | in time | of the ideal | lost | rules |\n\
        | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

    /// The report as a row of that table.
    #[must_use]
    pub fn row(&self) -> String {
        let [p50, p99, last] = self.first_list_s;
        let spans: Vec<String> = self.in_time.iter().map(|share| format!("{:.0}", share * 100.0)).collect();
        let of_clairvoyant = match self.clairvoyant_share {
            Some(share) => format!("{:.2}", self.in_time_all / share.max(f64::MIN_POSITIVE)),
            None => "-".to_owned(),
        };
        let cells = [
            self.scenario.clone(),
            format!("{} x {}", self.size.dispatchers, self.size.workers),
            self.seed.to_string(),
            format!("{}, {}", self.calls, self.failed_calls),
            self.longest_queue.to_string(),
            format!("{p50:.1} / {p99:.1} / {last:.1}"),
            format!("{}, {}", self.peak_handshakes_per_s, self.peak_open_connections),
            format!("{:.2}", self.peak_cold_load),
            spans.join(" "),
            format!("{:.3}", self.in_time_all),
            of_clairvoyant,
            self.count(RequestEnd::Lost).to_string(),
            self.verdict().to_owned(),
        ];
        format!("| {} |", cells.join(" | "))
    }

    fn verdict(&self) -> &'static str {
        if !self.violations.is_empty() {
            return "BROKEN";
        }
        if self.failures.is_empty() { "kept" } else { "kept, expectation not met" }
    }
}
