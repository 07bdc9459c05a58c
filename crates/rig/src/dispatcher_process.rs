//! Starts dispatchers as processes, and moves their discovery service.

use crate::process::{Process, ProcessError};
use crate::scenario::Scenario;
use nix::sys::signal::Signal;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use thiserror::Error;

/// Resource limits of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory in MB.
    pub memory_mb: usize,
    /// File descriptors.
    pub sockets: usize,
}

/// The limits of each dispatcher that the rig starts.
pub const DISPATCHER_LIMITS: Limits = Limits { memory_mb: 64, sockets: 512 };

/// The addresses and the directory of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherSpec {
    /// Its number.
    pub number: usize,
    /// The address for clients.
    pub listen: SocketAddr,
    /// Its admin address.
    pub admin: SocketAddr,
    /// The address of its discovery service.
    pub list_service: SocketAddr,
    /// The address of the discovery service after it has moved.
    pub moved_list_service: SocketAddr,
    /// Its own directory.
    pub directory: PathBuf,
}

impl DispatcherSpec {
    fn name(&self) -> String {
        format!("n{}", self.number)
    }

    fn config_path(&self) -> PathBuf {
        self.directory.join("config.json")
    }
}

/// The settings with which a dispatcher is started.
pub struct StartSettings<'a> {
    /// The scenario, which determines the dispatchers' settings.
    pub scenario: &'a Scenario,
    /// Its resource limits.
    pub limits: Limits,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The endpoint list that it starts with, as JSON.
    pub cached_list: &'a str,
}

/// A running dispatcher.
pub struct DispatcherProcess {
    /// Its process.
    pub process: Process,
    /// Its addresses and its directory.
    pub spec: DispatcherSpec,
}

/// A dispatcher could not be started.
#[derive(Debug, Error)]
#[error("dispatcher n{number} could not be started")]
pub struct SpawnError {
    number: usize,
    source: io::Error,
}

/// A dispatcher could not be notified that its discovery service has moved.
#[derive(Debug, Error)]
pub enum MoveError {
    /// Its configuration could not be changed.
    #[error("configuration of dispatcher n{number} could not be changed")]
    Config {
        /// Its number.
        number: usize,
        /// The cause.
        source: io::Error,
    },
    /// The signal to reload could not be sent.
    #[error(transparent)]
    Reload(#[from] ProcessError),
}

impl DispatcherProcess {
    /// Writes the configuration of a dispatcher and starts it with the command of its program.
    ///
    /// # Errors
    ///
    /// Its files cannot be written, `cached_list` is not JSON, or the process cannot be started.
    pub fn start(
        command: Command,
        spec: &DispatcherSpec,
        settings: &StartSettings<'_>,
    ) -> Result<DispatcherProcess, SpawnError> {
        let process =
            spawn(command, spec, settings).map_err(|source| SpawnError { number: spec.number, source })?;
        Ok(DispatcherProcess { process, spec: spec.clone() })
    }

    /// Writes the discovery service's new address into its configuration, and makes it reload.
    ///
    /// # Errors
    ///
    /// The configuration cannot be changed, or the signal cannot be sent.
    pub fn move_list_service(&self) -> Result<(), MoveError> {
        let number = self.spec.number;
        rewrite_config(&self.spec).map_err(|source| MoveError::Config { number, source })?;
        self.process.signal(Signal::SIGHUP)?;
        Ok(())
    }
}

fn rewrite_config(spec: &DispatcherSpec) -> io::Result<()> {
    let path = spec.config_path();
    let text = std::fs::read_to_string(&path)?;
    let current = format!("\"{}\"", spec.list_service);
    let moved = format!("\"{}\"", spec.moved_list_service);
    std::fs::write(&path, text.replace(&current, &moved))
}

fn spawn(mut command: Command, spec: &DispatcherSpec, settings: &StartSettings<'_>) -> io::Result<Process> {
    let temp_dir = spec.directory.join("tmp");
    std::fs::create_dir_all(&temp_dir)?;
    let path = spec.config_path();
    write_config(&path, spec, settings)?;
    command.arg("serve").arg("--config").arg(&path).env("TMPDIR", &temp_dir);
    if let Some(operator_settings) = &settings.scenario.operator_settings {
        let path = spec.directory.join("operator.toml");
        std::fs::write(&path, operator_settings)?;
        command.arg("--operator").arg(path);
    }
    Process::spawn(&spec.name(), command)
}

fn write_config(path: &Path, spec: &DispatcherSpec, settings: &StartSettings<'_>) -> io::Result<()> {
    let known: serde_json::Value = serde_json::from_str(settings.cached_list)?;
    let limits = settings.limits;
    let seed = settings.seed;
    let config = json!({
        "name": spec.name(),
        "listen": spec.listen.to_string(),
        "admin": spec.admin.to_string(),
        "discovery": spec.list_service.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "known": known,
        "settings": settings.scenario.settings(spec.number),
    });
    std::fs::write(path, config.to_string())
}
