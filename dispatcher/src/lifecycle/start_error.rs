//! Why the process does not start.

use super::listen::ListenError;
use super::load_error::LoadError;
use super::settings_error::ConfigError;
use crate::wire::gearman::AddFunctionError;
use roselock::SettingsError;
use std::io;
use thiserror::Error;

/// Why the process does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The signal handlers cannot be installed.
    #[error(transparent)]
    Signals(io::Error),
    /// The configuration is rejected.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// A listener cannot be opened.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The export of flows cannot be started.
    #[error("cannot export flows")]
    FlowExport(#[source] io::Error),
    /// The settings of the decisions are rejected.
    #[error(transparent)]
    Fleet(#[from] SettingsError),
    /// The settings of the Gearman front are rejected.
    #[error(transparent)]
    GearmanSettings(#[from] ConfigError),
    /// A function of the Gearman front cannot be added.
    #[error(transparent)]
    GearmanFunction(#[from] AddFunctionError),
}
