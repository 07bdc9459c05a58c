//! What can be wrong with a run.

use crate::Micros;
use roselock::SettingsError;
use std::fmt;
use std::path::PathBuf;

/// Why a run was refused or ended early.
#[derive(Debug)]
pub enum CapacityError {
    /// No experiment has this name.
    UnknownExperiment(String),
    /// A size or a number is not one.
    NotANumber {
        /// Which argument.
        argument: &'static str,
        /// What stood there.
        text: String,
    },
    /// A number is beyond its bounds.
    OutOfRange {
        /// Which argument.
        argument: &'static str,
        /// What stood there.
        value: u64,
        /// The least that is taken.
        least: u64,
        /// The most that is taken.
        most: u64,
    },
    /// A law needs more sizes than were given.
    TooFewSizes {
        /// How many different ones were given.
        given: usize,
        /// How many are needed.
        needed: usize,
    },
    /// The run took longer than it may.
    OutOfTime {
        /// The bound, in seconds.
        seconds: u64,
        /// The size that was to be played next.
        size: u32,
    },
    /// What was simulated did not come to the state that is to be measured.
    NotReached {
        /// Which state.
        state: &'static str,
        /// By what simulated time.
        by: Micros,
    },
    /// The decision module refused its settings.
    Settings(SettingsError),
    /// A chart could not be drawn.
    Chart(String),
    /// The figures could not be written as JSON.
    Json(serde_json::Error),
    /// A file could not be written.
    Write {
        /// Which file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The system told no processor time.
    Clock(nix::Error),
}

impl fmt::Display for CapacityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CapacityError::UnknownExperiment(name) => {
                write!(f, "{name:?} is no experiment; `roselock-capacity list` names them")
            }
            CapacityError::NotANumber { argument, text } => {
                write!(f, "{argument}: {text:?} is not a whole number")
            }
            CapacityError::OutOfRange { argument, value, least, most } => {
                write!(f, "{argument}: {value} is not between {least} and {most}")
            }
            CapacityError::TooFewSizes { given, needed } => {
                write!(f, "--sizes: {given} different sizes, at least {needed} are needed")
            }
            CapacityError::OutOfTime { seconds, size } => {
                write!(f, "the run took longer than --most-seconds {seconds}; size {size} was not played")
            }
            CapacityError::NotReached { state, by } => {
                write!(f, "the simulation has not reached {state} after {} s", by / crate::SECOND)
            }
            CapacityError::Settings(error) => write!(f, "settings: {error}"),
            CapacityError::Chart(why) => write!(f, "the chart: {why}"),
            CapacityError::Json(error) => write!(f, "JSON: {error}"),
            CapacityError::Write { path, source } => write!(f, "{}: {source}", path.display()),
            CapacityError::Clock(error) => write!(f, "processor time: {error}"),
        }
    }
}

impl std::error::Error for CapacityError {}

impl From<SettingsError> for CapacityError {
    fn from(error: SettingsError) -> CapacityError {
        CapacityError::Settings(error)
    }
}
