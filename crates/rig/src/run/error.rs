//! The error of a run that ends without a report.

use crate::dispatcher_process::{MoveError, SpawnError};
use crate::process::ProcessError;
use crate::scenario::EventKind;
use std::io;
use std::process::ExitStatus;
use thiserror::Error;

/// The reason why a run ends without a report.
#[derive(Debug, Error)]
pub enum RunError {
    /// The stand-ins could not be set up.
    #[error("the stand-ins could not be set up")]
    Setup(#[source] io::Error),
    /// A dispatcher could not be started.
    #[error(transparent)]
    Spawn(#[from] SpawnError),
    /// The rig lacks system resources, such as file descriptors or ports.
    #[error("the rig ran out of system resources")]
    RigFailure(#[source] io::Error),
    /// A dispatcher exited without a shutdown request, or with a failure after one.
    #[error("n{number} exited unexpectedly, {status:?}; last log lines: {last_lines:?}")]
    UnexpectedExit {
        /// Its number.
        number: usize,
        /// Its exit status.
        status: Option<ExitStatus>,
        /// The last lines of its log.
        last_lines: Vec<String>,
    },
    /// Requests were still in flight long after their deadlines.
    #[error("requests are still in flight long after their deadlines")]
    RequestsInFlight,
    /// A dispatcher could not be controlled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A dispatcher could not be notified that its discovery service has moved.
    #[error(transparent)]
    Move(#[from] MoveError),
    /// A worker could not be replaced.
    #[error("a worker could not be replaced")]
    Replace(#[source] io::Error),
    /// An event does not apply to workers.
    #[error("event {kind:?} does not apply to workers")]
    NotForWorkers {
        /// The event.
        kind: EventKind,
    },
    /// An event does not apply to dispatchers.
    #[error("event {kind:?} does not apply to dispatchers")]
    NotForDispatchers {
        /// The event.
        kind: EventKind,
    },
}
