//! Measures how all dispatchers receive the entire list: at the start, after a restart of all dispatchers, and after the
//! discovery service has moved.

use crate::scale::admin::Metrics;
use crate::scale::figure::{Figure, FigureValue};
use crate::scale::trial_environment::TrialEnvironment;
use crate::scale::trial_error::TrialError;
use crate::time::{Micros, SECOND};
use thiserror::Error;

/// Time limit for all dispatchers to receive the list, in microseconds.
const LIST_TIMEOUT: Micros = 40 * SECOND;
/// Interval between checks whether they have received it, in microseconds.
const CHECK_INTERVAL: Micros = SECOND / 20;
/// A dispatcher that was sent this many lists without accepting one rejects the list.
const REJECTED_AFTER_LISTS: usize = 3;

/// Why not all dispatchers received the list.
#[derive(Debug, Error)]
pub enum ListError {
    /// Dispatchers do not accept it: the observation, and what one of them logged.
    #[error("{0}")]
    Rejected(String),
    /// The trial was aborted.
    #[error(transparent)]
    Trial(#[from] TrialError),
}

/// Waits until all dispatchers have a confirmed list. Returns the longest time that one needed, in seconds, according to the
/// dispatchers' own metrics.
///
/// # Errors
///
/// Not all dispatchers have the list in time, or the trial is aborted.
pub fn wait_for_confirmed_lists(
    environment: &mut TrialEnvironment,
    workers: usize,
) -> Result<f64, ListError> {
    let deadline = environment.clock.now() + LIST_TIMEOUT;
    loop {
        let metrics = environment.metrics();
        let confirmed_after: Vec<Option<f64>> =
            metrics.iter().map(|metrics| confirmed_after(metrics.as_ref(), workers)).collect();
        let is_pending = |dispatcher: &usize| confirmed_after[*dispatcher].is_none();
        let pending: Vec<usize> = (0..confirmed_after.len()).filter(is_pending).collect();
        if pending.is_empty() {
            return Ok(confirmed_after.into_iter().flatten().fold(0.0, f64::max));
        }
        wait_unless_rejected(environment, &pending, deadline)?;
    }
}

/// Seconds from a dispatcher's start to its confirmed list, if its list holds all workers.
fn confirmed_after(metrics: Option<&Metrics>, workers: usize) -> Option<f64> {
    let metrics = metrics?;
    if metrics.cluster_size != workers {
        return None;
    }
    metrics.start.confirmed_after_s
}

/// Waits for one check interval, unless a pending dispatcher rejects the list or the deadline has passed.
fn wait_unless_rejected(
    environment: &mut TrialEnvironment,
    pending: &[usize],
    deadline: Micros,
) -> Result<(), ListError> {
    let lists_sent = max_lists_sent(environment, pending);
    if lists_sent >= REJECTED_AFTER_LISTS || environment.clock.now() > deadline {
        return Err(ListError::Rejected(rejection_reason(environment, pending)));
    }
    environment.wait(CHECK_INTERVAL)?;
    Ok(())
}

/// The largest number of lists that was sent to one of these dispatchers.
fn max_lists_sent(environment: &TrialEnvironment, dispatchers: &[usize]) -> usize {
    let sent = |dispatcher: &usize| environment.registry.lists_sent(*dispatcher);
    dispatchers.iter().map(sent).max().unwrap_or(0)
}

/// Describes a rejection: how many dispatchers did not accept the list, how often it was sent to them, and the last line of
/// one dispatcher's log about the discovery service.
fn rejection_reason(environment: &mut TrialEnvironment, pending: &[usize]) -> String {
    let bytes = environment.registry.list_bytes();
    let sent = max_lists_sent(environment, pending);
    let count = pending.len();
    let log = pending.first().and_then(|dispatcher| {
        let lines = environment.last_log_lines(*dispatcher);
        lines.into_iter().rfind(|line| line.contains("discovery"))
    });
    let log = log.unwrap_or_else(|| "no line about discovery".to_owned());
    format!("{count} dispatchers did not accept a list of {bytes} bytes, sent up to {sent} times; log: {log}")
}

/// Bytes that the discovery service had written, and the time, before a move or a restart.
struct Baseline {
    list_bytes: f64,
    at: Micros,
}

impl Baseline {
    fn capture(environment: &TrialEnvironment) -> Baseline {
        Baseline { list_bytes: environment.list_bytes(), at: environment.clock.now() }
    }

    /// The bytes written, mean per dispatcher, and the seconds passed since then.
    fn figures_since(
        &self,
        environment: &TrialEnvironment,
        bytes: Figure,
        seconds: Figure,
    ) -> [FigureValue; 2] {
        let passed = (environment.clock.now() - self.at) as f64 / SECOND as f64;
        let written = environment.list_bytes() - self.list_bytes;
        [FigureValue::single(bytes, written), FigureValue::single(seconds, passed)]
    }
}

/// Moves the discovery service, reloads all dispatchers and waits until they have followed.
///
/// # Errors
///
/// Not all dispatchers follow in time, or the trial is aborted.
pub fn measure_move(environment: &mut TrialEnvironment) -> Result<[FigureValue; 2], ListError> {
    let before = Baseline::capture(environment);
    let deadline = before.at + LIST_TIMEOUT;
    environment.move_list_service()?;
    loop {
        let pending = environment.not_moved();
        if pending.is_empty() {
            return Ok(before.figures_since(environment, Figure::MoveBytes, Figure::MoveAfter));
        }
        wait_unless_rejected(environment, &pending, deadline)?;
    }
}

/// Kills all dispatchers, starts them together and waits until they have a confirmed list.
///
/// # Errors
///
/// Not all dispatchers have the list in time, or the trial is aborted.
pub fn measure_restart(
    environment: &mut TrialEnvironment,
    workers: usize,
) -> Result<[FigureValue; 2], ListError> {
    environment.kill_dispatchers();
    let before = Baseline::capture(environment);
    environment.start_dispatchers()?;
    wait_for_confirmed_lists(environment, workers)?;
    Ok(before.figures_since(environment, Figure::RestartBytes, Figure::RestartAfter))
}
