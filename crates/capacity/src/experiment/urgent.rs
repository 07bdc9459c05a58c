//! The wait of urgent tasks for their start by the offered load of long tasks on the accelerators.

use super::Experiment;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::simulated_dispatcher::{Load, SimulatedDispatcher};
use crate::site::{Site, URGENT_OBJECTIVE};
use crate::{Micros, SECOND};

/// The number of workers, all served by one dispatcher.
const WORKER_COUNT: u32 = 60;
const ACCELERATORS_PER_WORKER: u32 = 2;
/// How long each task runs.
const TASK_DURATION: Micros = 30 * SECOND;
/// The fraction of urgent requests.
const URGENT_FRACTION: f64 = 0.1;
/// The warm-up before the measured interval, in seconds.
const WARM_UP_S: i64 = 120;
/// The measured interval, in seconds.
const INTERVAL_S: i64 = 600;

/// The experiment `urgent`.
pub const EXPERIMENT: Experiment = Experiment {
    name: "urgent",
    description: "decision module: wait of urgent tasks, all tasks run for 30 s, one dispatcher, 60 workers",
    size_label: "accelerators asked for, percent",
    sizes: &[50, 80, 95, 110, 150],
    max_size: 300,
    simulate,
};

fn simulate(size: u32, seed: u64) -> Result<Vec<Figure>, CapacityError> {
    let site = Site {
        accelerators: ACCELERATORS_PER_WORKER,
        zones: 1,
        dispatchers: 1,
        urgent: true,
        teams: 0,
        ..Site::target(WORKER_COUNT)
    };
    let mut dispatcher = SimulatedDispatcher::with_endpoint_list(site, seed)?;
    let accelerators = f64::from(WORKER_COUNT * ACCELERATORS_PER_WORKER);
    let per_second = accelerators * f64::from(size) / 100.0 * SECOND as f64 / TASK_DURATION as f64;
    dispatcher.start_load(Load {
        per_second,
        task_duration: TASK_DURATION,
        urgent_fraction: URGENT_FRACTION,
    });
    dispatcher.advance(WARM_UP_S * SECOND)?;
    let warm_up_waits = dispatcher.urgent_waits().len();
    dispatcher.advance(INTERVAL_S * SECOND)?;
    Ok(figures(&dispatcher.urgent_waits()[warm_up_waits..]))
}

fn figures(waits: &[Option<Micros>]) -> Vec<Figure> {
    let all = waits.len().max(1) as f64;
    let mut started: Vec<Micros> = waits.iter().flatten().copied().collect();
    started.sort_unstable();
    let in_time = started.iter().filter(|wait| **wait <= URGENT_OBJECTIVE).count() as f64;
    let quantile_s = |fraction: f64| {
        let index = (started.len().saturating_sub(1) as f64 * fraction) as usize;
        started.get(index).map_or(0.0, |wait| *wait as f64 / SECOND as f64)
    };
    vec![
        Figure::counted("urgent requests", "requests", waits.len() as f64),
        Figure::counted("started within 2 s", "%", 100.0 * in_time / all),
        Figure::counted("turned away", "%", 100.0 * (all - started.len() as f64) / all),
        Figure::counted("wait p50", "s", quantile_s(0.5)),
        Figure::counted("wait p99", "s", quantile_s(0.99)),
        Figure::counted("wait last", "s", quantile_s(1.0)),
    ]
}
