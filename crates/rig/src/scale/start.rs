//! How all dispatchers receive the entire list: at a start, at a common restart, and when the list service has moved.

use crate::scale::admin::Metrics;
use crate::scale::figure::{Figure, Measured};
use crate::scale::trial_environment::TrialEnvironment;
use crate::scale::trial_error::TrialError;
use crate::time::{Micros, SECOND};
use thiserror::Error;

/// How long it may take until all dispatchers have the list, in microseconds.
const LIST_TIMEOUT: Micros = 40 * SECOND;
/// How often it is checked whether they have it, in microseconds.
const CHECK_INTERVAL: Micros = SECOND / 20;
/// A dispatcher that was sent so many lists and has not accepted one rejects it.
const REJECTED_AFTER_LISTS: usize = 3;

/// Why not all dispatchers have the list.
#[derive(Debug, Error)]
pub enum ListError {
    /// They do not accept it: what was observed, and what one of them logged.
    #[error("{0}")]
    Rejected(String),
    /// The trial cannot go on.
    #[error(transparent)]
    Trial(#[from] TrialError),
}

/// Waits until all dispatchers have the list: the longest time that one needed by its own figures, in seconds.
///
/// # Errors
///
/// Not all have it in time, or the trial cannot go on.
pub fn confirmed(environment: &mut TrialEnvironment, workers: usize) -> Result<f64, ListError> {
    let deadline = environment.clock.now() + LIST_TIMEOUT;
    loop {
        let metrics = environment.metrics();
        let confirmed_after: Vec<Option<f64>> =
            metrics.iter().map(|metrics| confirmed_after(metrics.as_ref(), workers)).collect();
        let is_without = |dispatcher: &usize| confirmed_after[*dispatcher].is_none();
        let without: Vec<usize> = (0..confirmed_after.len()).filter(is_without).collect();
        if without.is_empty() {
            return Ok(confirmed_after.into_iter().flatten().fold(0.0, f64::max));
        }
        wait(environment, &without, deadline)?;
    }
}

/// When a dispatcher had its first list, if it holds all workers.
fn confirmed_after(metrics: Option<&Metrics>, workers: usize) -> Option<f64> {
    let metrics = metrics?;
    if metrics.cluster_size != workers {
        return None;
    }
    metrics.start.confirmed_after_s
}

/// Waits a moment for the dispatchers without the list, unless one rejects it or it is too late.
fn wait(environment: &mut TrialEnvironment, without: &[usize], deadline: Micros) -> Result<(), ListError> {
    let lists_sent = most_lists_sent(environment, without);
    if lists_sent >= REJECTED_AFTER_LISTS || environment.clock.now() > deadline {
        return Err(ListError::Rejected(rejection(environment, without)));
    }
    environment.wait(CHECK_INTERVAL)?;
    Ok(())
}

/// The most lists that were sent to one of these dispatchers.
fn most_lists_sent(environment: &TrialEnvironment, dispatchers: &[usize]) -> usize {
    let sent = |dispatcher: &usize| environment.registry.lists_sent(*dispatcher);
    dispatchers.iter().map(sent).max().unwrap_or(0)
}

/// How many dispatchers did not accept the list, how often it was sent there, and the last line about it in the log of one of them.
fn rejection(environment: &mut TrialEnvironment, without: &[usize]) -> String {
    let bytes = environment.registry.list_bytes();
    let sent = most_lists_sent(environment, without);
    let count = without.len();
    let log = without.first().and_then(|dispatcher| {
        let lines = environment.last_log_lines(*dispatcher);
        lines.into_iter().rfind(|line| line.contains("discovery"))
    });
    let log = log.unwrap_or_else(|| "nothing about it".to_owned());
    format!("{count} dispatchers did not take a list of {bytes} bytes, sent up to {sent} times; log: {log}")
}

/// What the list service had written, and when, before something happened to all dispatchers.
struct Before {
    written: f64,
    at: Micros,
}

impl Before {
    fn now(environment: &TrialEnvironment) -> Before {
        Before { written: environment.list_bytes(), at: environment.clock.now() }
    }

    /// Bytes for a dispatcher, and seconds, since then.
    fn since(&self, environment: &TrialEnvironment, bytes: Figure, seconds: Figure) -> [Measured; 2] {
        let passed = (environment.clock.now() - self.at) as f64 / SECOND as f64;
        let written = environment.list_bytes() - self.written;
        [Measured::once(bytes, written), Measured::once(seconds, passed)]
    }
}

/// The list service moves, and all dispatchers reload.
///
/// # Errors
///
/// Not all follow in time, or the trial cannot go on.
pub fn move_list_service(environment: &mut TrialEnvironment) -> Result<[Measured; 2], ListError> {
    let before = Before::now(environment);
    let deadline = before.at + LIST_TIMEOUT;
    environment.move_list_service()?;
    loop {
        let without = environment.not_moved();
        if without.is_empty() {
            return Ok(before.since(environment, Figure::MoveBytes, Figure::MoveAfter));
        }
        wait(environment, &without, deadline)?;
    }
}

/// All dispatchers are killed and started together.
///
/// # Errors
///
/// Not all have the list in time, or the trial cannot go on.
pub fn restart(environment: &mut TrialEnvironment, workers: usize) -> Result<[Measured; 2], ListError> {
    environment.kill();
    let before = Before::now(environment);
    environment.start()?;
    confirmed(environment, workers)?;
    Ok(before.since(environment, Figure::RestartBytes, Figure::RestartAfter))
}
