//! The wait of urgent tasks for their start, by the utilization of the accelerators with long tasks.

use super::Experiment;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::{Site, URGENT_OBJECTIVE};
use crate::{Micros, SECOND};

/// Workers of the one dispatcher.
const WORKERS: u32 = 60;
/// Accelerators of each worker.
const ACCELERATORS: u32 = 2;
/// How long each task runs.
const TASK_DURATION: Micros = 30 * SECOND;
/// Fraction of the requests that are urgent.
const URGENT_FRACTION: f64 = 0.1;
/// The time before the measured interval, in seconds.
const WARM_UP_S: i64 = 120;
/// The measured interval, in seconds.
const INTERVAL_S: i64 = 600;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "urgent",
    about: "decision module: wait of urgent tasks among tasks of 30 s, one dispatcher, 60 workers",
    size_is: "accelerators asked for, percent",
    sizes: &[50, 80, 95, 110, 150],
    most: 300,
    play,
};

fn play(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site {
        accelerators: ACCELERATORS,
        zones: 1,
        dispatchers: 1,
        urgent: true,
        teams: 0,
        ..Site::target(WORKERS)
    };
    let mut dispatcher = SimulatedDispatcher::with_endpoint_list(site, seed)?;
    let accelerators = f64::from(WORKERS * ACCELERATORS);
    let per_second = accelerators * f64::from(size) / 100.0 * SECOND as f64 / TASK_DURATION as f64;
    dispatcher.start_load(Load {
        per_second,
        task_duration: TASK_DURATION,
        urgent_fraction: URGENT_FRACTION,
    });
    dispatcher.advance(WARM_UP_S * SECOND)?;
    let from = dispatcher.urgent_waits().len();
    dispatcher.advance(INTERVAL_S * SECOND)?;
    Ok(figures(&dispatcher.urgent_waits()[from..]))
}

fn figures(waits: &[Option<Micros>]) -> Vec<Figure> {
    let all = waits.len().max(1) as f64;
    let mut started: Vec<Micros> = waits.iter().flatten().copied().collect();
    started.sort_unstable();
    let in_time = started.iter().filter(|wait| **wait <= URGENT_OBJECTIVE).count() as f64;
    let at = |share: f64| {
        let index = (started.len().saturating_sub(1) as f64 * share) as usize;
        started.get(index).map_or(0.0, |wait| *wait as f64 / SECOND as f64)
    };
    vec![
        Figure::counted("urgent requests", "requests", waits.len() as f64),
        Figure::counted("started within 2 s", "%", 100.0 * in_time / all),
        Figure::counted("turned away", "%", 100.0 * (all - started.len() as f64) / all),
        Figure::counted("wait p50", "s", at(0.5)),
        Figure::counted("wait p99", "s", at(0.99)),
        Figure::counted("wait last", "s", at(1.0)),
    ]
}
