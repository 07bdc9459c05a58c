//! The measurement of one size: a start, then a phase at rest, one with changes of the list, one with requests.

use crate::list_service::KEEP_ALIVE;
use crate::scale::figure::{Figure, Measured};
use crate::scale::interval::{Interval, most};
use crate::scale::load::REQUEST_TIMEOUT;
use crate::scale::plan::Plan;
use crate::scale::report::{Outcome, Row};
use crate::scale::start::{ListError, confirmed, move_list_service, restart};
use crate::scale::trial_environment::{Sample, TrialEnvironment};
use crate::scale::trial_error::TrialError;
use crate::time::{Micros, SECOND};

/// Pause after the start and after the changes, until their work is done, in microseconds.
const SETTLING_TIME: Micros = SECOND;
/// How often it is checked whether all requests have ended, in microseconds.
const CHECK_INTERVAL: Micros = SECOND / 20;

/// The phases of a trial, and the other sources of its figures.
struct Trial {
    rest: Interval,
    changes: Changes,
    requests: Interval,
    /// At the end of the phases.
    last: Sample,
    /// From the start of the last dispatcher that has the list, in seconds.
    confirmed_after: f64,
}

/// A phase with changes of the list, and how many.
struct Changes {
    interval: Interval,
    count: usize,
}

/// Starts the dispatchers beside so many workers, and measures them.
///
/// # Errors
///
/// The trial cannot be set up or go on; a list that is rejected is a row.
pub fn measure(plan: &Plan, workers: usize) -> Result<Row, TrialError> {
    let mut environment = TrialEnvironment::new(plan, workers)?;
    let list_bytes = environment.registry.list_bytes();
    environment.start()?;
    let outcome = match confirmed(&mut environment, workers) {
        Ok(after) => phases(plan, &mut environment, workers, after)?,
        Err(ListError::Rejected(reason)) => Outcome::Refused { reason },
        Err(ListError::Trial(error)) => return Err(error),
    };
    Ok(Row { workers, list_bytes, outcome })
}

fn phases(
    plan: &Plan,
    environment: &mut TrialEnvironment,
    workers: usize,
    confirmed_after: f64,
) -> Result<Outcome, TrialError> {
    let rest = at_rest(plan, environment)?;
    let changes = with_changes(plan, environment, workers)?;
    let requests = with_requests(plan, environment)?;
    let last = environment.sample()?;
    let trial = Trial { rest, changes, requests, last, confirmed_after };
    let mut figures = processor(&trial);
    figures.extend(memory_and_descriptors(&trial));
    figures.extend(bytes(&trial, environment));
    let mut faults = Vec::new();
    if plan.move_list_service {
        add_figures(move_list_service(environment), "a move of the list service", &mut figures, &mut faults)?;
    }
    if plan.restart {
        add_figures(restart(environment, workers), "a restart of all", &mut figures, &mut faults)?;
    }
    Ok(Outcome::Measured { figures, requests: trial.last.requests, faults })
}

/// Adds further figures, or why there are none.
fn add_figures(
    measured: Result<[Measured; 2], ListError>,
    after: &str,
    figures: &mut Vec<Measured>,
    faults: &mut Vec<String>,
) -> Result<(), TrialError> {
    match measured {
        Ok(measured) => figures.extend(measured),
        Err(ListError::Rejected(reason)) => faults.push(format!("after {after}: {reason}")),
        Err(ListError::Trial(error)) => return Err(error),
    }
    Ok(())
}

fn processor(trial: &Trial) -> Vec<Measured> {
    let idle = trial.rest.processor_us() / trial.rest.seconds() / SECOND as f64 * 100.0;
    let request = trial.requests.processor_us_beyond(&trial.rest) / trial.requests.requests();
    let change = trial.changes.interval.processor_us_beyond(&trial.rest) / trial.changes.count as f64;
    vec![
        Measured::once(Figure::IdleProcessor, idle),
        Measured::once(Figure::RequestProcessor, request),
        Measured::once(Figure::ChangeProcessor, change),
        Measured::once(Figure::ConfirmedAfter, trial.confirmed_after),
    ]
}

fn memory_and_descriptors(trial: &Trial) -> Vec<Measured> {
    let rest = &trial.rest.to;
    let requests = &trial.requests.to;
    vec![
        Measured::once(Figure::ResidentAtRest, most(rest, |usage| usage.resident_kib)),
        Measured::once(Figure::ResidentPeak, most(&trial.last, |usage| usage.resident_peak_kib)),
        Measured::once(Figure::DescriptorsAtRest, most(rest, |usage| usage.descriptors)),
        Measured::once(Figure::DescriptorsPeak, most(requests, |usage| usage.descriptors)),
    ]
}

fn bytes(trial: &Trial, environment: &TrialEnvironment) -> Vec<Measured> {
    let first = environment.first_lists();
    let each = |sum: u64| sum as f64 / first.len().max(1) as f64;
    let worker = trial.requests.worker_requests();
    let callback = trial.requests.callbacks();
    let by_request = |total: u64| trial.requests.by_request(total);
    let change = trial.changes.interval.list_bytes() / trial.changes.count as f64;
    vec![
        Measured::once(Figure::FirstListBytes, each(first.iter().map(|traffic| traffic.written).sum())),
        Measured::once(Figure::CallBytes, each(first.iter().map(|traffic| traffic.read).sum())),
        Measured::once(Figure::ChangeBytes, change),
        Measured::once(Figure::RestBytesPerSecond, trial.rest.list_bytes() / trial.rest.seconds()),
        Measured::once(Figure::WorkerReadBytes, by_request(worker.read + callback.read)),
        Measured::once(Figure::WorkerWrittenBytes, by_request(worker.written + callback.written)),
        Measured::once(Figure::WorkerConnections, by_request(worker.connections)),
    ]
}

/// The list is watched, and nothing else happens. Complete keep-alive intervals of the watch: part of one would count a line
/// too many or too few.
fn at_rest(plan: &Plan, environment: &mut TrialEnvironment) -> Result<Interval, TrialError> {
    environment.wait(SETTLING_TIME)?;
    let from = environment.sample()?;
    let spans = (plan.phase + KEEP_ALIVE - 1) / KEEP_ALIVE;
    environment.wait(spans * KEEP_ALIVE)?;
    Ok(Interval { from, to: environment.sample()? })
}

/// Workers drain and become ready again, one after another.
fn with_changes(
    plan: &Plan,
    environment: &mut TrialEnvironment,
    workers: usize,
) -> Result<Changes, TrialError> {
    let from = environment.sample()?;
    let seconds = plan.phase as f64 / SECOND as f64;
    let pairs = (plan.changes_per_s * seconds / 2.0).round().max(1.0) as usize;
    let pace = plan.phase / (2 * pairs as Micros);
    for pair in 0..pairs {
        let worker = pair % workers;
        for state in ["draining", "ready"] {
            environment.registry.change(state, worker..worker + 1);
            environment.wait(pace)?;
        }
    }
    environment.wait(SETTLING_TIME)?;
    Ok(Changes { interval: Interval { from, to: environment.sample()? }, count: 2 * pairs })
}

/// Clients send requests; those in flight at the end are waited for.
fn with_requests(plan: &Plan, environment: &mut TrialEnvironment) -> Result<Interval, TrialError> {
    let from = environment.sample()?;
    let each = (plan.requests_per_s * plan.phase as f64 / SECOND as f64).round().max(1.0) as u64;
    environment.load.send(each, plan.phase);
    environment.wait(plan.phase)?;
    let until = environment.clock.now() + REQUEST_TIMEOUT + 3 * SECOND;
    while environment.load.in_flight() > 0 && environment.clock.now() < until {
        environment.wait(CHECK_INTERVAL)?;
    }
    Ok(Interval { from, to: environment.sample()? })
}
