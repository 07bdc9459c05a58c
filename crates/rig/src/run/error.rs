//! Why a run has no report.

use crate::dispatcher_process::{MoveError, SpawnError};
use crate::process::ProcessError;
use crate::scenario::EventKind;
use std::io;
use thiserror::Error;

/// Why a run has no report.
#[derive(Debug, Error)]
pub enum RunError {
    /// The stand-ins could not be set up.
    #[error("the stand-ins cannot be set up")]
    Setup(#[source] io::Error),
    /// A dispatcher could not be started.
    #[error(transparent)]
    Spawn(#[from] SpawnError),
    /// The rig lacks resources of the system, such as descriptors or ports.
    #[error("the rig itself was not able to go on")]
    RigFailure(#[source] io::Error),
    /// A dispatcher ended that was not asked to.
    #[error("n{number} ended unasked: {last_lines:?}")]
    EndedUnasked {
        /// Its number.
        number: usize,
        /// The last lines of its log.
        last_lines: Vec<String>,
    },
    /// Requests were in flight long after their deadlines.
    #[error("requests that did not end")]
    RequestsInFlight,
    /// A dispatcher could not be controlled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A dispatcher could not be notified that its list service has moved.
    #[error(transparent)]
    Move(#[from] MoveError),
    /// A worker could not be replaced.
    #[error("a worker cannot be replaced")]
    Replace(#[source] io::Error),
    /// An event does not apply to workers.
    #[error("{kind:?} befalls dispatchers only")]
    NotForWorkers {
        /// The event.
        kind: EventKind,
    },
    /// An event does not apply to dispatchers.
    #[error("{kind:?} does not befall dispatchers")]
    NotForDispatchers {
        /// The event.
        kind: EventKind,
    },
}
