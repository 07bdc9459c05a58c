//! The commands of `roselock-rig`.

pub mod compare;
pub mod run;

use roselock_rig::files::FileError;
use roselock_rig::run::RunError;
use roselock_rig::run_chart::ChartError;
use roselock_rig::scale::MeasureError;
use roselock_rig::scale::plan::PlanError;
use roselock_rig::scenario::ScenarioError;
use std::io;
use thiserror::Error;

/// The result of a command that ran to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All rules were kept and all expectations met, or there was nothing to check.
    Passed,
    /// A rule was broken or an expectation was not met.
    Failed,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The handlers for termination signals cannot be installed.
    #[error("cannot install signal handlers")]
    Signals(#[source] io::Error),
    /// The path of this executable is unknown.
    #[error("cannot determine the path of this executable")]
    CurrentExe(#[source] io::Error),
    /// A name is neither a built-in scenario nor a readable file.
    #[error("{name} is neither a scenario (see `roselock-rig list`) nor a readable file")]
    UnknownScenario {
        /// The name as given.
        name: String,
        /// Why the file cannot be read.
        source: io::Error,
    },
    /// A scenario file is invalid.
    #[error("invalid scenario {name}")]
    Scenario {
        /// Path of the file.
        name: String,
        /// Why it is invalid.
        source: ScenarioError,
    },
    /// A run was aborted.
    #[error("run of {name} with seed {seed} was aborted")]
    Run {
        /// Name of the scenario.
        name: String,
        /// Seed of the run.
        seed: u64,
        /// Why it was aborted.
        source: RunError,
    },
    /// A file cannot be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A report file is not valid JSON of the expected form.
    #[error("invalid report {file}")]
    InvalidFigures {
        /// Path of the file.
        file: String,
        /// Why it is invalid.
        source: serde_json::Error,
    },
    /// The reports cannot be serialized to JSON.
    #[error("cannot serialize the reports to JSON")]
    SerializeFigures(#[source] serde_json::Error),
    /// A chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// The arguments of a measurement are invalid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A measurement was aborted.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}
