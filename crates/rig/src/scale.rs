//! Measures how the cost of a dispatcher grows with the number of workers. Real dispatchers run against a list of
//! thousands of simulated workers, each with only an entry in the list and an address that answers.
//!
//! [`plan`] validates the arguments, [`trial`] measures one size, [`report`] combines the sizes and fits a line to each
//! figure, [`table`] and [`chart`] render the result.

pub mod admin;
pub mod chart;
pub mod figure;
pub mod fit;
pub mod interval;
pub mod load;
pub mod plan;
pub mod registry;
pub mod report;
pub mod simulated_workers;
pub mod start;
pub mod table;
pub mod trial;
pub mod trial_environment;
pub mod trial_error;
pub mod usage;

use crate::files::{self, FileError};
use crate::run_chart::ChartError;
use plan::Plan;
use report::{Report, Row};
use thiserror::Error;
use trial_error::TrialError;

/// Stack size of a coroutine, in words.
const COROUTINE_STACK_WORDS: usize = 4 * 1024;

/// Why a measurement was aborted.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// The trial of a size was aborted.
    #[error("trial with {workers} workers was aborted")]
    Trial {
        /// Number of workers of the trial.
        workers: usize,
        /// Why it was aborted.
        source: TrialError,
    },
    /// The report cannot be serialized to JSON.
    #[error("cannot serialize the report to JSON")]
    Json(#[from] serde_json::Error),
    /// The chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// A file cannot be written.
    #[error(transparent)]
    File(#[from] FileError),
}

/// Measures the sizes of a plan one after another and writes the output files. `on_row` is called with each row as soon as
/// it is measured.
///
/// # Errors
///
/// A trial is aborted, or a file cannot be written.
pub fn measure(plan: &Plan, on_row: impl Fn(&Row)) -> Result<Report, MeasureError> {
    crate::net::raise_descriptor_limit();
    may::config().set_stack_size(COROUTINE_STACK_WORDS);
    let mut rows_by_size: Vec<Vec<Row>> = vec![Vec::new(); plan.sizes.len()];
    // Each repetition measures all sizes, so that other load on the machine affects all of them alike.
    for _ in 0..plan.repetitions {
        for (workers, rows) in plan.sizes.iter().zip(&mut rows_by_size) {
            let row = trial::measure(plan, *workers)
                .map_err(|source| MeasureError::Trial { workers: *workers, source })?;
            on_row(&row);
            rows.push(row);
        }
    }
    let rows = rows_by_size.into_iter().filter_map(Row::of_repetitions).collect();
    let report = Report::new(plan, rows);
    if let Some(path) = &plan.json {
        files::write(path, &serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &plan.svg {
        files::write(path, &chart::svg(&report)?)?;
    }
    Ok(report)
}
