//! Startup errors.

use super::listen::ListenError;
use super::load_error::LoadError;
use super::settings_error::ConfigError;
use crate::wire::gearman::AddFunctionError;
use roselock::SettingsError;
use std::io;
use thiserror::Error;

/// Why the process cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The signal handlers cannot be installed.
    #[error(transparent)]
    Signals(io::Error),
    /// The configuration is invalid.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// A listener cannot be opened.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The IPFIX flow export cannot be started.
    #[error("cannot start the IPFIX flow export")]
    FlowExport(#[source] io::Error),
    /// The scheduling settings are invalid.
    #[error(transparent)]
    Fleet(#[from] SettingsError),
    /// The settings of the Gearman front end are invalid.
    #[error(transparent)]
    GearmanSettings(#[from] ConfigError),
    /// A Gearman function cannot be added.
    #[error(transparent)]
    GearmanFunction(#[from] AddFunctionError),
}
