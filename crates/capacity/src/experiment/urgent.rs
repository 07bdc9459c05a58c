//! How long urgent tasks wait for their start, by how full the accelerators are with long tasks.

use super::Experiment;
use crate::error::CapacityError;
use crate::figure::Figure;
use crate::hollow::{Hollow, Load};
use crate::site::{Site, URGENT_AIM};
use crate::{Micros, SECOND};

/// One dispatcher that has so many workers to itself.
const WORKERS: u32 = 60;
const ACCELERATORS: u32 = 2;
const RUN: Micros = 30 * SECOND;
/// Share of the requests that are urgent.
const URGENT: f64 = 0.1;
const BEGINNING: i64 = 120;
const SPAN: i64 = 600;

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
    let mut hollow = Hollow::listed(site, seed)?;
    let accelerators = f64::from(WORKERS * ACCELERATORS);
    let per_second = accelerators * f64::from(size) / 100.0 * SECOND as f64 / RUN as f64;
    hollow.set_load(Load { per_second, run: RUN, urgent: URGENT });
    hollow.pass(BEGINNING * SECOND)?;
    let from = hollow.urgent_waits().len();
    hollow.pass(SPAN * SECOND)?;
    Ok(figures(&hollow.urgent_waits()[from..]))
}

fn figures(waits: &[Option<Micros>]) -> Vec<Figure> {
    let all = waits.len().max(1) as f64;
    let mut started: Vec<Micros> = waits.iter().flatten().copied().collect();
    started.sort_unstable();
    let in_time = started.iter().filter(|wait| **wait <= URGENT_AIM).count() as f64;
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
