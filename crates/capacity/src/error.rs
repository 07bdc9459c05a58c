//! Errors of a run.

use crate::chart::DrawError;
use crate::{Micros, SECOND};
use roselock::SettingsError;
use std::path::PathBuf;

/// Why a run was rejected or ended early.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// No experiment has this name.
    #[error("unknown experiment {0:?}; `roselock-capacity list` prints their names")]
    UnknownExperiment(String),
    /// An argument is not a whole number.
    #[error("{argument}: {text:?} is not a whole number")]
    InvalidNumber {
        /// The argument.
        argument: &'static str,
        /// Its text.
        text: String,
    },
    /// An argument is out of range.
    #[error("{argument}: {value} is not between {min} and {max}")]
    OutOfRange {
        /// The argument.
        argument: &'static str,
        /// Its value.
        value: u64,
        /// The smallest valid value.
        min: u64,
        /// The largest valid value.
        max: u64,
    },
    /// There are too few sizes to fit a line.
    #[error("--sizes: {given} distinct sizes, at least {needed} are required")]
    TooFewSizes {
        /// The number of distinct sizes given.
        given: usize,
        /// The required number of sizes.
        needed: usize,
    },
    /// The run exceeded its time limit.
    #[error("the run exceeded --most-seconds {seconds} before size {size}")]
    TimeLimitExceeded {
        /// The limit, in seconds.
        seconds: u64,
        /// The first size that was not simulated.
        size: u32,
    },
    /// The simulation did not reach the state to be measured in time.
    #[error("the simulation did not reach this state within {} s: {state}", at / SECOND)]
    StateNotReached {
        /// The state.
        state: &'static str,
        /// The simulated time at which the simulation ended.
        at: Micros,
    },
    /// The decision logic rejected its settings.
    #[error("invalid settings: {0}")]
    Settings(#[from] SettingsError),
    /// A chart could not be drawn.
    #[error("cannot draw the chart: {0}")]
    Chart(#[from] DrawError),
    /// The figures could not be serialized as JSON.
    #[error("cannot serialize the figures: {0}")]
    Json(#[from] serde_json::Error),
    /// A file could not be written.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// Its path.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The processor time could not be read.
    #[error("cannot read the processor time: {0}")]
    ProcessorTime(#[from] nix::Error),
}
