//! The measurement of one size: a start, then a phase at rest, one with changes of the list, one with requests.

use crate::scale::figure::{Figure, Measured};
use crate::scale::load;
use crate::scale::party::{Parties, Sample};
use crate::scale::plan::Plan;
use crate::scale::report::{Outcome, Row};
use crate::scale::usage::Usage;
use crate::time::{Micros, SECOND};
use crate::traffic::TrafficCount;

/// How long a start may take until all dispatchers have the list.
const START: Micros = 40 * SECOND;
/// How often they are asked whether they have it.
const LOOK: Micros = SECOND / 20;
/// Who was sent a list so often and has not taken it is held to refuse it.
const LISTS: usize = 3;
/// After the start, and after each phase, until what it left is done.
const SETTLE: Micros = SECOND;

/// Two samples, and what lies between them.
struct Interval {
    from: Sample,
    to: Sample,
}

impl Interval {
    /// Its length in seconds.
    fn seconds(&self) -> f64 {
        (self.to.at - self.from.at) as f64 / SECOND as f64
    }
    /// Processor time of all dispatchers in microseconds.
    fn processor_us(&self) -> f64 {
        let sum = |sample: &Sample| sample.usage.iter().map(|u| u.processor_ns).sum::<u64>();
        sum(&self.to).saturating_sub(sum(&self.from)) as f64 / 1e3
    }
    /// Bytes that the list service wrote to all dispatchers.
    fn list_bytes(&self) -> f64 {
        let sum = |sample: &Sample| sample.registry.iter().map(|t| t.written).sum::<u64>();
        (sum(&self.to) - sum(&self.from)) as f64
    }
}

/// Starts the dispatchers beside so many workers, and measures them.
pub fn measure(plan: &Plan, workers: usize) -> Result<Row, String> {
    let mut parties = Parties::new(plan, workers)?;
    let list_bytes = parties.registry.list_bytes();
    parties.start()?;
    let outcome = match confirmed(&mut parties, workers)? {
        Err(reason) => Outcome::Refused { reason },
        Ok(after) => phases(plan, &mut parties, workers, after)?,
    };
    Ok(Row { workers, list_bytes, outcome })
}

/// Waits until all dispatchers have the list: the longest time that one needed by its own figures, in seconds, or why
/// there is none.
fn confirmed(parties: &mut Parties, workers: usize) -> Result<Result<f64, String>, String> {
    let until = parties.clock.now() + START;
    loop {
        let metrics = parties.metrics();
        let has = |m: &Option<_>| confirmed_after(m, workers);
        let after: Vec<Option<f64>> = metrics.iter().map(has).collect();
        if after.iter().all(Option::is_some) {
            return Ok(Ok(after.into_iter().flatten().fold(0.0, f64::max)));
        }
        let without: Vec<usize> = (0..after.len()).filter(|d| after[*d].is_none()).collect();
        let refuses = without.iter().any(|d| parties.registry.lists(*d) >= LISTS);
        if refuses || parties.clock.now() > until {
            return Ok(Err(refusal(parties, &without)));
        }
        parties.pass(LOOK)?;
    }
}

/// When a dispatcher had its first list, if it holds all workers.
fn confirmed_after(metrics: &Option<crate::scale::admin::Metrics>, workers: usize) -> Option<f64> {
    let metrics = metrics.as_ref().filter(|m| m.cluster_size == workers)?;
    metrics.start.confirmed_after_s
}

/// Who did not take the list, how often it was sent there, and the last word on it in the log of one of them.
fn refusal(parties: &mut Parties, without: &[usize]) -> String {
    let bytes = parties.registry.list_bytes();
    let sent = without.iter().map(|d| parties.registry.lists(*d)).max().unwrap_or(0);
    let of_discovery = |line: &String| line.contains("discovery");
    let log = without.first().and_then(|d| parties.log(*d).into_iter().rfind(of_discovery));
    let log = log.unwrap_or_else(|| "nothing about it".to_owned());
    let many = without.len();
    format!("{many} dispatchers did not take a list of {bytes} bytes, sent up to {sent} times; log: {log}")
}

fn phases(
    plan: &Plan,
    parties: &mut Parties,
    workers: usize,
    confirmed_after: f64,
) -> Result<Outcome, String> {
    let rest = at_rest(plan, parties)?;
    let (changes, count) = with_changes(plan, parties, workers)?;
    let requests = with_requests(plan, parties)?;
    let sent = requests.to.requests.sent() - requests.from.requests.sent();
    let dispatchers = plan.dispatchers as f64;
    let idle_us_per_s = rest.processor_us() / rest.seconds();
    let beyond_rest = |phase: &Interval| phase.processor_us() - idle_us_per_s * phase.seconds();
    let worker = requests.to.workers.requests - requests.from.workers.requests;
    let call_back = requests.to.workers.call_backs - requests.from.workers.call_backs;
    let first: Vec<TrafficCount> =
        (0..plan.dispatchers).filter_map(|d| parties.registry.first_list(d)).collect();
    let each = |bytes: fn(&TrafficCount) -> u64| first.iter().map(bytes).sum::<u64>() as f64 / dispatchers;
    let most = |sample: &Sample, of: fn(&Usage) -> u64| sample.usage.iter().map(of).max().unwrap_or(0) as f64;
    let by_request = |total: f64| total / sent.max(1) as f64;
    let last = parties.sample()?;
    let mut figures = vec![
        Measured::once(Figure::IdleProcessor, idle_us_per_s / dispatchers / SECOND as f64 * 100.0),
        Measured::once(Figure::RequestProcessor, by_request(beyond_rest(&requests))),
        Measured::once(Figure::ChangeProcessor, beyond_rest(&changes) / dispatchers / count as f64),
        Measured::once(Figure::ResidentAtRest, most(&rest.to, |u| u.resident_kib)),
        Measured::once(Figure::ResidentPeak, most(&last, |u| u.resident_peak_kib)),
        Measured::once(Figure::DescriptorsAtRest, most(&rest.to, |u| u.descriptors)),
        Measured::once(Figure::DescriptorsPeak, most(&requests.to, |u| u.descriptors)),
        Measured::once(Figure::FirstListBytes, each(|t| t.written)),
        Measured::once(Figure::CallBytes, each(|t| t.read)),
        Measured::once(Figure::ChangeBytes, changes.list_bytes() / dispatchers / count as f64),
        Measured::once(Figure::RestBytesPerSecond, rest.list_bytes() / dispatchers / rest.seconds()),
        Measured::once(Figure::WorkerReadBytes, by_request((worker.read + call_back.read) as f64)),
        Measured::once(Figure::WorkerWrittenBytes, by_request((worker.written + call_back.written) as f64)),
        Measured::once(Figure::WorkerConnections, by_request(worker.connections as f64)),
        Measured::once(Figure::ConfirmedAfter, confirmed_after),
    ];
    let requests = last.requests;
    let mut faults = Vec::new();
    let mut keep = |measured: Result<[Measured; 2], String>| match measured {
        Ok(measured) => figures.extend(measured),
        Err(fault) => faults.push(fault),
    };
    if plan.moves {
        keep(moves(plan, parties)?);
    }
    if plan.restart {
        keep(restart(plan, parties, workers)?);
    }
    Ok(Outcome::Measured { figures, requests, faults })
}

/// The list is watched, and nothing else happens.
fn at_rest(plan: &Plan, parties: &mut Parties) -> Result<Interval, String> {
    parties.pass(SETTLE)?;
    let from = parties.sample()?;
    parties.pass(plan.phase)?;
    Ok(Interval { from, to: parties.sample()? })
}

/// Workers drain and are ready again, one after another; how many changes that were.
fn with_changes(plan: &Plan, parties: &mut Parties, workers: usize) -> Result<(Interval, usize), String> {
    let from = parties.sample()?;
    let seconds = plan.phase as f64 / SECOND as f64;
    let pairs = (plan.changes_per_s * seconds / 2.0).round().max(1.0) as usize;
    let pace = plan.phase / (2 * pairs as Micros);
    for pair in 0..pairs {
        let worker = pair % workers;
        for state in ["draining", "ready"] {
            parties.registry.change(state, worker..worker + 1);
            parties.pass(pace)?;
        }
    }
    parties.pass(SETTLE)?;
    Ok((Interval { from, to: parties.sample()? }, 2 * pairs))
}

/// Clients send requests; what is under way at the end is waited for.
fn with_requests(plan: &Plan, parties: &mut Parties) -> Result<Interval, String> {
    let from = parties.sample()?;
    let each = (plan.requests_per_s * plan.phase as f64 / SECOND as f64).round().max(1.0) as u64;
    parties.load.send(each, plan.phase);
    parties.pass(plan.phase)?;
    let until = parties.clock.now() + load::PATIENCE + 3 * SECOND;
    while parties.load.open() > 0 && parties.clock.now() < until {
        parties.pass(LOOK)?;
    }
    Ok(Interval { from, to: parties.sample()? })
}

/// Bytes that the list service has written to all dispatchers.
fn written(plan: &Plan, parties: &Parties) -> u64 {
    (0..plan.dispatchers).map(|d| parties.registry.traffic(d).written).sum()
}

/// The list service moves, and all dispatchers are told; why there is no figure, if one of them does not follow.
fn moves(plan: &Plan, parties: &mut Parties) -> Result<Result<[Measured; 2], String>, String> {
    let (before, began) = (written(plan, parties), parties.clock.now());
    parties.move_registry()?;
    loop {
        let without: Vec<usize> = (0..plan.dispatchers).filter(|d| !parties.registry.followed(*d)).collect();
        let passed = parties.clock.now() - began;
        if without.is_empty() {
            let bytes = (written(plan, parties) - before) as f64 / plan.dispatchers as f64;
            let seconds = passed as f64 / SECOND as f64;
            return Ok(Ok([
                Measured::once(Figure::MoveBytes, bytes),
                Measured::once(Figure::MoveAfter, seconds),
            ]));
        }
        let refuses = without.iter().any(|d| parties.registry.lists(*d) >= LISTS);
        if refuses || passed > START {
            return Ok(Err(format!("after a move of the list service: {}", refusal(parties, &without))));
        }
        parties.pass(LOOK)?;
    }
}

/// All dispatchers are killed and started together.
fn restart(
    plan: &Plan,
    parties: &mut Parties,
    workers: usize,
) -> Result<Result<[Measured; 2], String>, String> {
    parties.kill();
    let (before, began) = (written(plan, parties), parties.clock.now());
    parties.start()?;
    if let Err(reason) = confirmed(parties, workers)? {
        return Ok(Err(format!("after a restart of all: {reason}")));
    }
    let seconds = (parties.clock.now() - began) as f64 / SECOND as f64;
    let bytes = (written(plan, parties) - before) as f64 / plan.dispatchers as f64;
    Ok(Ok([Measured::once(Figure::RestartBytes, bytes), Measured::once(Figure::RestartAfter, seconds)]))
}
