//! How the cost of a dispatcher grows with the number of workers: real dispatchers beside a list of thousands of
//! workers, of which each has an entry in the list and an address that answers, and no more.
//!
//! [`plan`] checks the arguments, [`trial`] measures one size, [`report`] puts the sizes together and fits a line
//! to each figure, [`table`] and [`chart`] show it.

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

/// Stack of a coroutine, in words.
const STACK_WORDS: usize = 4 * 1024;

/// Why a measurement cannot go on.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// The trial of a size cannot go on.
    #[error("{workers} workers")]
    Trial {
        /// The size.
        workers: usize,
        /// Why not.
        source: TrialError,
    },
    /// The figures cannot be written as JSON.
    #[error("the figures cannot be written as JSON")]
    Json(#[from] serde_json::Error),
    /// The chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// A file cannot be written.
    #[error(transparent)]
    File(#[from] FileError),
}

/// Measures every size of a plan, one after another, and writes the files that it names; `on_row` gets each row as soon as
/// it is measured.
///
/// # Errors
///
/// A trial cannot go on, or a file cannot be written.
pub fn measure(plan: &Plan, on_row: impl Fn(&Row)) -> Result<Report, MeasureError> {
    crate::net::raise_limits();
    may::config().set_stack_size(STACK_WORDS);
    let mut rows_by_size: Vec<Vec<Row>> = vec![Vec::new(); plan.sizes.len()];
    // Size after size in each repetition: other load of the machine affects all of them.
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
