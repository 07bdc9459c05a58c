//! Dispatchers as processes of the rig.

use crate::process::Process;
use crate::scenario::Scenario;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

/// What a dispatcher may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory in MB.
    pub memory_mb: usize,
    /// Descriptors.
    pub sockets: usize,
}

/// The limits in the scenarios.
pub const LIMITS: Limits = Limits { memory_mb: 64, sockets: 512 };

/// Where a dispatcher is, and what it is told.
#[derive(Clone, Debug)]
pub struct DispatcherSpec {
    /// Its number.
    pub number: usize,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Its admin address.
    pub admin: SocketAddr,
    /// Its list service.
    pub list_service: SocketAddr,
    /// Where the list service is after it has moved.
    pub moved_list_service: SocketAddr,
    /// Its own folder.
    pub folder: PathBuf,
}

/// A dispatcher that runs.
pub struct DispatcherProcess {
    /// Its process.
    pub process: Process,
    /// Where it is.
    pub place: DispatcherSpec,
}

impl DispatcherProcess {
    /// Starts one by the command of its program; `known` is the list that it comes up with.
    pub fn start(
        mut command: Command,
        place: &DispatcherSpec,
        scenario: &Scenario,
        limits: Limits,
        seed: u64,
        known: &str,
    ) -> std::io::Result<DispatcherProcess> {
        let (tmp, name) = (place.folder.join("tmp"), format!("n{}", place.number));
        std::fs::create_dir_all(&tmp)?;
        let known: serde_json::Value = serde_json::from_str(known)?;
        let config = serde_json::json!({
            "name": name, "listen": place.listen.to_string(), "admin": place.admin.to_string(),
            "discovery": place.list_service.to_string(), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets}, "known": known,
            "settings": scenario.settings(place.number),
        });
        let path = place.folder.join("config.json");
        std::fs::write(&path, config.to_string())?;
        command.arg("serve").arg("--config").arg(&path).env("TMPDIR", &tmp);
        if let Some(operator) = &scenario.operator_settings {
            let path = place.folder.join("operator.toml");
            std::fs::write(&path, operator)?;
            command.arg("--operator").arg(path);
        }
        Ok(DispatcherProcess { process: Process::spawn(&name, command)?, place: place.clone() })
    }

    /// Writes the list service's other address into its configuration, and has it read again.
    pub fn move_list_service(&self) -> Result<(), String> {
        let path = self.place.folder.join("config.json");
        let place = &self.place;
        let moved = std::fs::read_to_string(&path)
            .map(|text| {
                text.replace(
                    &format!("\"{}\"", place.list_service),
                    &format!("\"{}\"", place.moved_list_service),
                )
            })
            .and_then(|text| std::fs::write(&path, text));
        moved.map_err(|e| format!("n{}: {e}", place.number))?;
        self.process.signal(Signal::SIGHUP)
    }
}
