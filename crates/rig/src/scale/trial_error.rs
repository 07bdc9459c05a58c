//! Errors that abort a trial.

use crate::dispatcher_process::{MoveError, SpawnError};
use crate::scenario::ScenarioError;
use std::io;
use thiserror::Error;

/// Why a trial was aborted.
#[derive(Debug, Error)]
pub enum TrialError {
    /// The scenario from which the settings are derived is invalid.
    #[error("invalid scenario of the trial")]
    Scenario(#[from] ScenarioError),
    /// The stand-ins cannot be set up.
    #[error("cannot set up the stand-ins")]
    Setup(#[source] io::Error),
    /// A dispatcher could not be started.
    #[error(transparent)]
    Spawn(#[from] SpawnError),
    /// A dispatcher exited without a request to stop.
    #[error("dispatcher n{number} exited unexpectedly; last log lines: {last_lines:?}")]
    UnexpectedExit {
        /// Number of the dispatcher.
        number: usize,
        /// Last lines of the dispatcher's log.
        last_lines: Vec<String>,
    },
    /// The processes together use too much memory.
    #[error("all processes use {used_mib} MiB, more than half of the machine's memory ({max_mib} MiB)")]
    Memory {
        /// Resident memory of all processes, in MiB.
        used_mib: u64,
        /// Limit, in MiB.
        max_mib: u64,
    },
    /// The resource usage of a dispatcher cannot be read.
    #[error("cannot read the resource usage of dispatcher n{number}")]
    Usage {
        /// Number of the dispatcher.
        number: usize,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// A dispatcher could not be pointed to the new address of the discovery service.
    #[error(transparent)]
    Move(#[from] MoveError),
}
