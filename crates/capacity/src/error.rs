//! The errors of a run.

use crate::chart::DrawError;
use crate::{Micros, SECOND};
use roselock::SettingsError;
use std::path::PathBuf;

/// Why a run was rejected or ended early.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// No experiment has this name.
    #[error("{0:?} is no experiment; `roselock-capacity list` names them")]
    UnknownExperiment(String),
    /// A size or a number is not one.
    #[error("{argument}: {text:?} is not a whole number")]
    NotANumber {
        /// The argument.
        argument: &'static str,
        /// Its text.
        text: String,
    },
    /// A number is out of its range.
    #[error("{argument}: {value} is not between {least} and {most}")]
    OutOfRange {
        /// The argument.
        argument: &'static str,
        /// Its value.
        value: u64,
        /// The least valid value.
        least: u64,
        /// The largest valid value.
        most: u64,
    },
    /// A law needs more sizes than were given.
    #[error("--sizes: {given} different sizes, at least {needed} are needed")]
    TooFewSizes {
        /// The number of different sizes that were given.
        given: usize,
        /// The number of sizes that are needed.
        needed: usize,
    },
    /// The run exceeded its time limit.
    #[error("the run took longer than --most-seconds {seconds}; size {size} was not played")]
    OutOfTime {
        /// The limit, in seconds.
        seconds: u64,
        /// The size that was to be played next.
        size: u32,
    },
    /// The simulation did not reach the state that is to be measured.
    #[error("the simulation has not reached {state} after {} s", by / SECOND)]
    NotReached {
        /// The state.
        state: &'static str,
        /// The simulated time by then.
        by: Micros,
    },
    /// The decision module rejected its settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A chart could not be drawn.
    #[error("the chart: {0}")]
    Chart(#[from] DrawError),
    /// The figures could not be serialized as JSON.
    #[error("JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A file could not be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// Its path.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The system did not return the processor time.
    #[error("processor time: {0}")]
    Clock(#[from] nix::Error),
}
