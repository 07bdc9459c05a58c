//! Measures one size: the start, then an idle phase, a phase with changes of the list and a phase with requests.

use crate::list_service::KEEP_ALIVE_INTERVAL;
use crate::scale::figure::{Figure, FigureValue};
use crate::scale::interval::{Interval, max_usage};
use crate::scale::load::REQUEST_TIMEOUT;
use crate::scale::plan::Plan;
use crate::scale::report::{Outcome, Row};
use crate::scale::start::{ListError, measure_move, measure_restart, wait_for_confirmed_lists};
use crate::scale::trial_environment::{Sample, TrialEnvironment};
use crate::scale::trial_error::TrialError;
use crate::time::{Micros, SECOND};

/// Pause after the start and after the changes, for the dispatchers to finish their work, in microseconds.
const SETTLING_TIME: Micros = SECOND;
/// Interval between checks whether all requests have ended, in microseconds.
const CHECK_INTERVAL: Micros = SECOND / 20;

/// Measurements of a trial, from which its figures are computed.
struct Trial {
    idle: Interval,
    changes: ChangePhase,
    requests: Interval,
    /// Sample at the end of the phases.
    last: Sample,
    /// The longest time from a dispatcher's start to its confirmed list, in seconds.
    confirmed_after: f64,
}

/// The phase with changes of the list, and the number of changes.
struct ChangePhase {
    interval: Interval,
    count: usize,
}

/// Starts the dispatchers with a list of this many workers and measures them.
///
/// # Errors
///
/// The trial cannot be set up, or is aborted. A list that the dispatchers reject is not an error, but a row.
pub fn measure(plan: &Plan, workers: usize) -> Result<Row, TrialError> {
    let mut environment = TrialEnvironment::new(plan, workers)?;
    let list_bytes = environment.registry.list_bytes();
    environment.start_dispatchers()?;
    let outcome = match wait_for_confirmed_lists(&mut environment, workers) {
        Ok(after) => run_phases(plan, &mut environment, workers, after)?,
        Err(ListError::Rejected(reason)) => Outcome::Refused { reason },
        Err(ListError::Trial(error)) => return Err(error),
    };
    Ok(Row { workers, list_bytes, outcome })
}

fn run_phases(
    plan: &Plan,
    environment: &mut TrialEnvironment,
    workers: usize,
    confirmed_after: f64,
) -> Result<Outcome, TrialError> {
    let idle = measure_idle(plan, environment)?;
    let changes = measure_changes(plan, environment, workers)?;
    let requests = measure_requests(plan, environment)?;
    let last = environment.sample()?;
    let trial = Trial { idle, changes, requests, last, confirmed_after };
    let mut figures = processor_figures(&trial);
    figures.extend(memory_and_descriptor_figures(&trial));
    figures.extend(traffic_figures(&trial, environment));
    let mut faults = Vec::new();
    if plan.move_list_service {
        add_figures(measure_move(environment), "a move of the list service", &mut figures, &mut faults)?;
    }
    if plan.restart {
        add_figures(
            measure_restart(environment, workers),
            "a restart of all dispatchers",
            &mut figures,
            &mut faults,
        )?;
    }
    Ok(Outcome::Measured { figures, requests: trial.last.requests, faults })
}

/// Adds the figures of a move or a restart, or a fault if it failed.
fn add_figures(
    measured: Result<[FigureValue; 2], ListError>,
    after: &str,
    figures: &mut Vec<FigureValue>,
    faults: &mut Vec<String>,
) -> Result<(), TrialError> {
    match measured {
        Ok(measured) => figures.extend(measured),
        Err(ListError::Rejected(reason)) => faults.push(format!("after {after}: {reason}")),
        Err(ListError::Trial(error)) => return Err(error),
    }
    Ok(())
}

fn processor_figures(trial: &Trial) -> Vec<FigureValue> {
    let idle_percent = trial.idle.mean_processor_us() / trial.idle.seconds() / SECOND as f64 * 100.0;
    let request = trial.requests.extra_processor_us(&trial.idle) / trial.requests.requests_per_dispatcher();
    let change = trial.changes.interval.extra_processor_us(&trial.idle) / trial.changes.count as f64;
    vec![
        FigureValue::single(Figure::IdleProcessor, idle_percent),
        FigureValue::single(Figure::RequestProcessor, request),
        FigureValue::single(Figure::ChangeProcessor, change),
        FigureValue::single(Figure::ConfirmedAfter, trial.confirmed_after),
    ]
}

fn memory_and_descriptor_figures(trial: &Trial) -> Vec<FigureValue> {
    let idle = &trial.idle.to;
    let requests = &trial.requests.to;
    vec![
        FigureValue::single(Figure::ResidentAtRest, max_usage(idle, |usage| usage.resident_kib)),
        FigureValue::single(Figure::ResidentPeak, max_usage(&trial.last, |usage| usage.resident_peak_kib)),
        FigureValue::single(Figure::DescriptorsAtRest, max_usage(idle, |usage| usage.descriptors)),
        FigureValue::single(Figure::DescriptorsPeak, max_usage(requests, |usage| usage.descriptors)),
    ]
}

fn traffic_figures(trial: &Trial, environment: &TrialEnvironment) -> Vec<FigureValue> {
    let first_lists = environment.first_lists();
    let per_dispatcher = |sum: u64| sum as f64 / first_lists.len().max(1) as f64;
    let requests = trial.requests.worker_requests();
    let callbacks = trial.requests.callbacks();
    let per_request = |total: u64| trial.requests.per_request(total);
    let change = trial.changes.interval.mean_list_bytes() / trial.changes.count as f64;
    vec![
        FigureValue::single(
            Figure::FirstListBytes,
            per_dispatcher(first_lists.iter().map(|traffic| traffic.written).sum()),
        ),
        FigureValue::single(
            Figure::CallBytes,
            per_dispatcher(first_lists.iter().map(|traffic| traffic.read).sum()),
        ),
        FigureValue::single(Figure::ChangeBytes, change),
        FigureValue::single(Figure::RestBytesPerSecond, trial.idle.mean_list_bytes() / trial.idle.seconds()),
        FigureValue::single(Figure::WorkerReadBytes, per_request(requests.read + callbacks.read)),
        FigureValue::single(Figure::WorkerWrittenBytes, per_request(requests.written + callbacks.written)),
        FigureValue::single(Figure::WorkerConnections, per_request(requests.connections)),
    ]
}

/// Measures the dispatchers while they watch the list and nothing else happens. The phase is rounded up to complete
/// keep-alive intervals of the watch: a partial interval would count one keep-alive line too many or too few.
fn measure_idle(plan: &Plan, environment: &mut TrialEnvironment) -> Result<Interval, TrialError> {
    environment.wait(SETTLING_TIME)?;
    let from = environment.sample()?;
    let intervals = (plan.phase + KEEP_ALIVE_INTERVAL - 1) / KEEP_ALIVE_INTERVAL;
    environment.wait(intervals * KEEP_ALIVE_INTERVAL)?;
    Ok(Interval { from, to: environment.sample()? })
}

/// Measures changes of the list: workers start to drain and become ready again, one after another.
fn measure_changes(
    plan: &Plan,
    environment: &mut TrialEnvironment,
    workers: usize,
) -> Result<ChangePhase, TrialError> {
    let from = environment.sample()?;
    let seconds = plan.phase as f64 / SECOND as f64;
    let pairs = (plan.changes_per_s * seconds / 2.0).round().max(1.0) as usize;
    let change_interval = plan.phase / (2 * pairs as Micros);
    for pair in 0..pairs {
        let worker = pair % workers;
        for state in ["draining", "ready"] {
            environment.registry.set_state(state, worker..worker + 1);
            environment.wait(change_interval)?;
        }
    }
    environment.wait(SETTLING_TIME)?;
    Ok(ChangePhase { interval: Interval { from, to: environment.sample()? }, count: 2 * pairs })
}

/// Measures requests, and waits for those in flight at the end of the phase.
fn measure_requests(plan: &Plan, environment: &mut TrialEnvironment) -> Result<Interval, TrialError> {
    let from = environment.sample()?;
    let count = (plan.requests_per_s * plan.phase as f64 / SECOND as f64).round().max(1.0) as u64;
    environment.load.send(count, plan.phase);
    environment.wait(plan.phase)?;
    let deadline = environment.clock.now() + REQUEST_TIMEOUT + 3 * SECOND;
    while environment.load.in_flight() > 0 && environment.clock.now() < deadline {
        environment.wait(CHECK_INTERVAL)?;
    }
    Ok(Interval { from, to: environment.sample()? })
}
