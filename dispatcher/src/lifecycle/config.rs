//! The configuration that a dispatcher is started with.

use super::settings_error::{ConfigError, SourceLocation, parse};
use super::{log, startup_settings};
use crate::wire::list::{EndpointList, Target};
use crate::wire::{gearman, ipfix};
use roselock::settings::{Options, Site};
use roselock_dial_limiter::DialLimits;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What the platform tells in `$NODE_CONFIG`.
#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    /// The admin address; else `$NODE_ADMIN`; neither, none.
    admin: Option<String>,
    #[serde(default)]
    seed: serde_json::Value,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Known,
    settings: serde_json::Value,
}

/// The list as last known; what is missing is empty.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Known {
    rev: u64,
    targets: Vec<Target>,
}

/// What the machine grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// How the limits are divided.
pub struct Shares {
    /// Connections to upstream hosts.
    pub upstream: usize,
    /// Connections of the platform's front, and of a further one.
    pub downstream: usize,
    pub further: usize,
    /// Bytes of messages that come in or are held, beyond the first few of each: of the platform's front, and of a
    /// further one.
    pub bytes: usize,
    pub further_bytes: usize,
}

impl Limits {
    /// Divides them, with so many fronts beside the platform's. The listener, discovery, the runtime and what
    /// starts or ends keep some descriptors, connections and the decisions half of the memory.
    pub fn shares(&self, further_fronts: usize) -> Shares {
        let sockets = self.sockets.min(1 << 16);
        let spare = sockets.saturating_sub((sockets / 8).clamp(16, 64));
        let part = spare / (3 + further_fronts);
        let memory = self.memory_mb.clamp(1, 1 << 16) * (1 << 20);
        Shares {
            upstream: part,
            downstream: 2 * part,
            further: part,
            bytes: memory / 2 / (1 + further_fronts),
            further_bytes: memory / 4,
        }
    }
}

/// A configuration that makes sense.
pub struct Config {
    /// The files it was read from, to be read again on SIGHUP.
    pub files: Files,
    /// This dispatcher's name.
    pub name: String,
    /// Where clients and call-backs come in.
    pub listen: SocketAddr,
    /// Where the list of upstream hosts is to be had.
    pub discovery: SocketAddr,
    /// Where the admin address listens, if anywhere.
    pub admin: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// What the machine grants.
    pub limits: Limits,
    /// The list as last known.
    pub known: EndpointList,
    /// The settings of the decisions.
    pub site: Site,
    /// Whether moves of discovery are followed at one's place in a round.
    pub spread_moves: bool,
    /// How long after a move of discovery the whole list is asked for.
    pub resync_after: roselock::Micros,
    /// Limits of new connections to workers, if there are any.
    pub dial_limits: Option<DialLimits>,
    /// What to change in the files, though they are accepted as they are.
    pub warnings: Vec<String>,
    /// The log.
    pub log: log::File,
    /// The Gearman front, if it is on.
    pub gearman: Option<gearman::File>,
    /// The export of flows, if it is on.
    pub ipfix: Option<ipfix::File>,
}

/// The operators' file: a section for each part, and a part without one is off.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Operator {
    #[serde(default)]
    log: log::File,
    #[serde(default)]
    gearman: Option<gearman::File>,
    #[serde(default)]
    ipfix: Option<ipfix::File>,
    #[serde(default)]
    start: startup_settings::File,
}

/// A file of settings that was read: its path, its text, and what its keys begin with.
struct Text<'a> {
    path: &'a Path,
    text: String,
}

impl<'a> Text<'a> {
    fn read(path: &'a Path) -> Result<Text<'a>, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Text { path, text })
    }
    fn parse<T: serde::de::DeserializeOwned>(&self) -> Result<T, String> {
        parse(self.path, &self.text)
    }
    fn at(&self, prefix: &str, problem: &ConfigError) -> String {
        problem.at(&SourceLocation { path: self.path, text: &self.text, prefix })
    }
}

/// The files on the command line.
#[derive(Clone, Default)]
pub struct Files {
    /// The configuration; else `$NODE_CONFIG` names it.
    pub config: Option<PathBuf>,
    /// Turns the Gearman front on.
    pub gearman: Option<PathBuf>,
    /// Turns the export of flows on.
    pub ipfix: Option<PathBuf>,
    /// Has a section for each part.
    pub operator: Option<PathBuf>,
    /// What the command line says of the log goes before the file.
    pub log_level: Option<log::Level>,
    pub log_form: Option<log::Form>,
}

/// Reads the files; `$NODE_NAME`, `$NODE_LISTEN`, `$NODE_DISCOVERY` and `$NODE_ADMIN` fill its gaps.
pub fn load(files: Files) -> Result<Config, String> {
    let env = |name: &str| std::env::var(name).ok();
    let path = files.config.clone().or_else(|| env("NODE_CONFIG").map(PathBuf::from));
    let path = path.ok_or("no configuration: name one with --config or in NODE_CONFIG")?;
    let at = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(&path).map_err(|e| at(&e))?;
    let file: File = serde_json::from_str(&text).map_err(|e| at(&e))?;
    let address = |name: &str, told: Option<String>, var: &str| {
        let told = told.or_else(|| env(var)).ok_or_else(|| at(&format!("{name} is missing")))?;
        told.parse().map_err(|e| at(&format!("{name} {told:?}: {e}")))
    };
    let options: Options = match file.settings {
        serde_json::Value::String(inner) => serde_json::from_str(&inner),
        inner => serde_json::from_value(inner),
    }
    .map_err(|e| at(&format!("settings: {e}")))?;
    let mut site = options.site().map_err(|e| at(&format!("settings: {e}")))?;
    site.settings.check().map_err(|e| at(&format!("settings: {e}")))?;
    let seed = match &file.seed {
        serde_json::Value::String(hex) => {
            u64::from_str_radix(hex, 16).map_err(|e| at(&format!("seed {hex:?}: {e}")))?
        }
        number => number.as_u64().unwrap_or(0),
    };
    let (parts, warnings) = parts(&files, file.limits, &site)?;
    // What was checked with its file.
    let told = parts.start.list_call().ok().flatten();
    site.settings.list_call_time = told.unwrap_or(site.settings.list_call_time);
    site.settings.list_unconfirmed = parts.start.careful;
    let resync_after = parts.start.resync_after().map_err(|problem| problem.to_string())?;
    Ok(Config {
        listen: address("listen", file.listen, "NODE_LISTEN")?,
        discovery: address("discovery", file.discovery, "NODE_DISCOVERY")?,
        admin: match file.admin.clone().or_else(|| env("NODE_ADMIN")).filter(|a| !a.trim().is_empty()) {
            None => None,
            told => Some(address("admin", told, "NODE_ADMIN")?),
        },
        name: if file.name.is_empty() { env("NODE_NAME").unwrap_or_default() } else { file.name },
        seed,
        limits: file.limits,
        known: EndpointList { revision: file.known.rev, is_complete: true, targets: file.known.targets },
        spread_moves: parts.start.spread_moves,
        resync_after,
        dial_limits: parts.start.dial_limits(site.settings.fleet_size),
        warnings,
        log: parts.log,
        gearman: parts.gearman,
        ipfix: parts.ipfix,
        site,
        files,
    })
}

/// Reads the files that turn parts on: the operators' own, and those of single parts; with warnings.
fn parts(files: &Files, limits: Limits, site: &Site) -> Result<(Operator, Vec<String>), String> {
    let operator = files.operator.as_deref().map(Text::read).transpose()?;
    let mut parts: Operator = operator.as_ref().map_or(Ok(Operator::default()), Text::parse)?;
    if let (Some(text), Some(file)) = (&operator, &parts.gearman) {
        check_gearman(file, limits, site).map_err(|e| text.at("gearman.", &e))?;
    }
    if let (Some(text), Some(file)) = (&operator, &parts.ipfix) {
        ipfix::check(file).map_err(|e| text.at("ipfix.", &e))?;
    }
    if let (Some(text), Err(problem)) = (&operator, parts.start.check()) {
        return Err(text.at("start.", &problem));
    }
    let deprecated = operator.as_ref().zip(parts.start.deprecated());
    let warnings = deprecated.map(|(text, problem)| text.at("start.", &problem)).into_iter().collect();
    let twice = |part: &str| {
        format!("--{part}: the operators' file has a section [{part}], too; leave one of the two out")
    };
    if let Some(path) = &files.gearman {
        let text = Text::read(path)?;
        let file = text.parse()?;
        check_gearman(&file, limits, site).map_err(|e| text.at("", &e))?;
        if parts.gearman.replace(file).is_some() {
            return Err(twice("gearman"));
        }
    }
    if let Some(path) = &files.ipfix {
        let text = Text::read(path)?;
        let file = text.parse()?;
        ipfix::check(&file).map_err(|e| text.at("", &e))?;
        if parts.ipfix.replace(file).is_some() {
            return Err(twice("ipfix"));
        }
    }
    parts.log.level = files.log_level.unwrap_or(parts.log.level);
    parts.log.form = files.log_form.unwrap_or(parts.log.form);
    Ok((parts, warnings))
}

fn check_gearman(file: &gearman::File, limits: Limits, site: &Site) -> Result<(), ConfigError> {
    gearman::file::figures(file, limits.shares(1).further_bytes)?;
    gearman::file::functions(file, site).map(|_| ())
}

#[cfg(test)]
#[path = "config_tests.rs"]
mod tests;
