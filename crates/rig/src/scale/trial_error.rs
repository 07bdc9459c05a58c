//! Why a trial cannot go on.

use crate::dispatcher_process::{MoveError, SpawnError};
use crate::scenario::ScenarioError;
use std::io;
use thiserror::Error;

/// Why a trial cannot go on.
#[derive(Debug, Error)]
pub enum TrialError {
    /// The scenario of the settings is rejected.
    #[error("the scenario of a trial")]
    Scenario(#[from] ScenarioError),
    /// The stand-ins cannot be set up.
    #[error("the stand-ins cannot be set up")]
    Setup(#[source] io::Error),
    /// A dispatcher could not be started.
    #[error(transparent)]
    Spawn(#[from] SpawnError),
    /// A dispatcher ended that was not asked to.
    #[error("n{number} ended unasked: {last_lines:?}")]
    EndedUnasked {
        /// Its number.
        number: usize,
        /// The last lines of its log.
        last_lines: Vec<String>,
    },
    /// The processes use too much memory together.
    #[error("all processes take {used_mib} MiB, more than half of the memory ({max_mib} MiB)")]
    Memory {
        /// What they use.
        used_mib: u64,
        /// What they may use.
        max_mib: u64,
    },
    /// The usage of a dispatcher cannot be read.
    #[error("n{number}")]
    Usage {
        /// Its number.
        number: usize,
        /// Why not.
        source: io::Error,
    },
    /// A dispatcher could not be notified that its list service has moved.
    #[error(transparent)]
    Move(#[from] MoveError),
}
