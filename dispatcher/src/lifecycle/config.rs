//! Configuration of the dispatcher process.

mod limits;
mod node_file;
mod operator_settings;
mod settings_file;

use super::load_error::{FileError, LoadError};
use super::log_settings::{LogFormat, LogLevel, LogSettings};
use crate::wire::gearman;
use crate::wire::ipfix::IpfixSettings;
use crate::wire::list::EndpointList;
pub use limits::{Limits, ResourceShares};
use node_file::NodeFile;
use operator_settings::OperatorSettings;
use roselock::Micros;
use roselock::settings::Site;
use roselock_dial_limiter::DialLimits;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A validated configuration.
pub struct Config {
    /// The files and options it was loaded from; reread on SIGHUP.
    pub sources: ConfigSources,
    /// Name of this dispatcher.
    pub name: String,
    /// Listen address for clients and callbacks.
    pub listen: SocketAddr,
    /// Address of the discovery service, which serves the endpoint list.
    pub discovery: SocketAddr,
    /// Listen address of the admin interface, if it is enabled.
    pub admin: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The last known endpoint list.
    pub cached_list: EndpointList,
    /// Scheduling settings, with the names of classes, tenants, zones and kinds.
    pub site: Site,
    /// After a new discovery address is configured, whether this dispatcher first polls it in its own slot of
    /// a polling round, rather than immediately.
    pub spread_moves: bool,
    /// Minimum delay from a change of the discovery address to the poll of the full list.
    pub resync_after: Micros,
    /// Limits on new connections to workers, if configured.
    pub dial_limits: Option<DialLimits>,
    /// Warnings about deprecated keys.
    pub warnings: Vec<FileError>,
    /// Log level and format.
    pub log: LogSettings,
    /// Settings of the Gearman front end, if it is enabled.
    pub gearman: Option<gearman::GearmanSettings>,
    /// Settings of the IPFIX flow export, if it is enabled.
    pub ipfix: Option<IpfixSettings>,
}

/// Files that the configuration is read from, and command-line options that override them.
#[derive(Clone, Default)]
pub struct ConfigSources {
    /// The node configuration; defaults to the file named by `$NODE_CONFIG`.
    pub config: Option<PathBuf>,
    /// Settings file that enables the Gearman front end.
    pub gearman: Option<PathBuf>,
    /// Settings file that enables the IPFIX flow export.
    pub ipfix: Option<PathBuf>,
    /// The operator file, with a section for each component.
    pub operator: Option<PathBuf>,
    /// Overrides the operator file.
    pub log_level: Option<LogLevel>,
    /// Overrides the operator file.
    pub log_format: Option<LogFormat>,
}

/// Reads and validates the files. `$NODE_NAME`, `$NODE_LISTEN`, `$NODE_DISCOVERY` and `$NODE_ADMIN` supply
/// values that are missing from the node configuration.
///
/// # Errors
/// Fails if a file cannot be read or parsed, a required key is missing or a value is invalid.
pub fn load(sources: ConfigSources) -> Result<Config, LoadError> {
    let mut node = NodeFile::read(sources.config.clone())?;
    let mut site = node.take_site()?;
    let seed = node.seed()?;
    let limits = node.limits();
    let operator = OperatorSettings::load(&sources, limits, &site)?;
    if let Some(list_call_time) = operator.start.list_call_time {
        site.settings.list_call_time = list_call_time;
    }
    site.settings.list_unconfirmed = operator.start.list_unconfirmed;
    let listen = node.listen()?;
    let discovery = node.discovery()?;
    let admin = node.admin()?;
    let (name, cached_list) = node.into_name_and_list();
    Ok(Config {
        sources,
        name,
        listen,
        discovery,
        admin,
        seed,
        limits,
        cached_list,
        spread_moves: operator.start.spread_moves,
        resync_after: operator.start.resync_after,
        dial_limits: operator.start.dial_limits(site.settings.fleet_size),
        site,
        warnings: operator.warnings,
        log: operator.log,
        gearman: operator.gearman,
        ipfix: operator.ipfix,
    })
}
