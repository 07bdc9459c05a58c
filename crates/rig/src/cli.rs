//! The commands of `roselock-rig`.

pub mod compare;
pub mod play;

use roselock_rig::files::FileError;
use roselock_rig::run::RunError;
use roselock_rig::run_chart::ChartError;
use roselock_rig::scale::MeasureError;
use roselock_rig::scale::plan::PlanError;
use roselock_rig::scenario::ScenarioError;
use std::io;
use thiserror::Error;

/// What a command ends with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All rules were kept and all expectations met, or none were checked.
    Passed,
    /// A rule was broken, or an expectation not met.
    Failed,
}

/// Why a command cannot be carried out.
#[derive(Debug, Error)]
pub enum CliError {
    /// The signals that end the program cannot be handled.
    #[error("signals cannot be handled")]
    Signals(#[source] io::Error),
    /// It is not known where this program is.
    #[error("the path of this program")]
    CurrentExe(#[source] io::Error),
    /// A name is neither a scenario nor a file.
    #[error("{name} is no scenario (see `roselock-rig list`) and no file that can be read")]
    NoScenario {
        /// The name.
        name: String,
        /// Why the file cannot be read.
        source: io::Error,
    },
    /// A scenario is rejected.
    #[error("{name}")]
    Scenario {
        /// Its file.
        name: String,
        /// Why.
        source: ScenarioError,
    },
    /// A run could not be played to its end.
    #[error("{name}, seed {seed}")]
    Run {
        /// The scenario.
        name: String,
        /// The seed.
        seed: u64,
        /// Why not.
        source: RunError,
    },
    /// A file cannot be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file of figures is not the JSON that is expected.
    #[error("{file}")]
    Figures {
        /// The file.
        file: String,
        /// Why.
        source: serde_json::Error,
    },
    /// The figures cannot be written as JSON.
    #[error("the figures cannot be written as JSON")]
    Json(#[source] serde_json::Error),
    /// A chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// The plan of a measurement is rejected.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A measurement cannot go on.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}
