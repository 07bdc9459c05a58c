//! The configuration that a dispatcher is started with.

mod limits;
mod node_file;
mod parts;
mod settings_file;

use super::load_error::{FileError, LoadError};
use super::log_settings::{LogFormat, LogLevel, LogSettings};
use crate::wire::gearman;
use crate::wire::ipfix::IpfixSettings;
use crate::wire::list::EndpointList;
pub use limits::{Limits, ResourceShares};
use node_file::NodeFile;
use parts::Parts;
use roselock::Micros;
use roselock::settings::Site;
use roselock_dial_limiter::DialLimits;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A configuration that was checked.
pub struct Config {
    /// The files it was read from, which are read again on SIGHUP.
    pub sources: ConfigSources,
    /// This dispatcher's name.
    pub name: String,
    /// Where clients and call-backs connect.
    pub listen: SocketAddr,
    /// Where discovery is, which has the endpoint list.
    pub discovery: SocketAddr,
    /// Where the admin address listens, unless it is off.
    pub admin: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// What the machine grants.
    pub limits: Limits,
    /// The endpoint list as last known.
    pub cached_list: EndpointList,
    /// The settings of the decisions.
    pub site: Site,
    /// Whether this dispatcher follows a move of discovery at its place in a first round of polls, not at once.
    pub spread_moves: bool,
    /// How long after a move of discovery the full list is polled at the earliest.
    pub resync_after: Micros,
    /// Limits of new connections to workers, if there are any.
    pub dial_limits: Option<DialLimits>,
    /// Keys that are accepted and should be changed.
    pub warnings: Vec<FileError>,
    /// The log.
    pub log: LogSettings,
    /// The Gearman front, if it is on.
    pub gearman: Option<gearman::GearmanSettings>,
    /// The export of flows, if it is on.
    pub ipfix: Option<IpfixSettings>,
}

/// Where the configuration is read from, and what the command line sets in its place.
#[derive(Clone, Default)]
pub struct ConfigSources {
    /// The node's configuration; else `$NODE_CONFIG` names it.
    pub config: Option<PathBuf>,
    /// Turns the Gearman front on.
    pub gearman: Option<PathBuf>,
    /// Turns the export of flows on.
    pub ipfix: Option<PathBuf>,
    /// The operators' file, with a section for each part.
    pub operator: Option<PathBuf>,
    /// Takes precedence over the operators' file.
    pub log_level: Option<LogLevel>,
    /// Takes precedence over the operators' file.
    pub log_format: Option<LogFormat>,
}

/// Reads and checks the files; `$NODE_NAME`, `$NODE_LISTEN`, `$NODE_DISCOVERY` and `$NODE_ADMIN` fill their gaps.
///
/// # Errors
/// A file cannot be read or parsed, or a key is missing or has a value that is not allowed.
pub fn load(sources: ConfigSources) -> Result<Config, LoadError> {
    let mut node = NodeFile::read(sources.config.clone())?;
    let mut site = node.take_site()?;
    let seed = node.seed()?;
    let limits = node.limits();
    let parts = Parts::load(&sources, limits, &site)?;
    if let Some(list_call_time) = parts.start.list_call_time {
        site.settings.list_call_time = list_call_time;
    }
    site.settings.list_unconfirmed = parts.start.list_unconfirmed;
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
        spread_moves: parts.start.spread_moves,
        resync_after: parts.start.resync_after,
        dial_limits: parts.start.dial_limits(site.settings.fleet_size),
        site,
        warnings: parts.warnings,
        log: parts.log,
        gearman: parts.gearman,
        ipfix: parts.ipfix,
    })
}
