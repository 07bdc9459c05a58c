//! The files that turn parts on: the operators' own, with a section for each part, and those of single parts.

use super::ConfigSources;
use super::limits::Limits;
use super::settings_file::SettingsFile;
use crate::lifecycle::load_error::{FileError, LoadError};
use crate::lifecycle::log_settings::LogSettings;
use crate::lifecycle::settings_error::ConfigError;
use crate::lifecycle::startup_settings::{StartupParameters, StartupSettings};
use crate::wire::gearman;
use crate::wire::ipfix::IpfixSettings;
use roselock::settings::Site;
use serde::Deserialize;
use std::path::Path;

/// The operators' file: a section for each part, and a part without one is off.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorFile {
    #[serde(default)]
    log: LogSettings,
    #[serde(default)]
    gearman: Option<gearman::GearmanSettings>,
    #[serde(default)]
    ipfix: Option<IpfixSettings>,
    #[serde(default)]
    start: StartupSettings,
}

/// The settings of all parts, checked.
#[derive(Default)]
pub struct Parts {
    /// The log.
    pub log: LogSettings,
    /// The Gearman front, if it is on.
    pub gearman: Option<gearman::GearmanSettings>,
    /// The export of flows, if it is on.
    pub ipfix: Option<IpfixSettings>,
    /// How the process starts beside others.
    pub start: StartupParameters,
    /// Keys that are accepted and should be changed.
    pub warnings: Vec<FileError>,
}

impl Parts {
    /// Reads and checks the files; options of the command line take precedence over them.
    ///
    /// # Errors
    /// A file is rejected, or a part is set in two of them.
    pub fn load(sources: &ConfigSources, limits: Limits, site: &Site) -> Result<Parts, LoadError> {
        let mut parts = match &sources.operator {
            Some(path) => Parts::read_operator_file(path, limits, site)?,
            None => Parts::default(),
        };
        if let Some(path) = &sources.gearman {
            let gearman = read_gearman_file(path, limits, site)?;
            if parts.gearman.replace(gearman).is_some() {
                return Err(LoadError::DuplicateSection { part: "gearman" });
            }
        }
        if let Some(path) = &sources.ipfix {
            let ipfix = read_ipfix_file(path)?;
            if parts.ipfix.replace(ipfix).is_some() {
                return Err(LoadError::DuplicateSection { part: "ipfix" });
            }
        }
        parts.log.level = sources.log_level.unwrap_or(parts.log.level);
        parts.log.format = sources.log_format.unwrap_or(parts.log.format);
        Ok(parts)
    }

    fn read_operator_file(path: &Path, limits: Limits, site: &Site) -> Result<Parts, FileError> {
        let file = SettingsFile::read(path)?;
        let sections: OperatorFile = file.parse()?;
        if let Some(gearman) = &sections.gearman {
            check_gearman(gearman, limits, site).map_err(|error| file.locate("gearman.", error))?;
        }
        if let Some(ipfix) = &sections.ipfix {
            ipfix.check().map_err(|error| file.locate("ipfix.", error))?;
        }
        let start = sections.start.parameters().map_err(|error| file.locate("start.", error))?;
        let deprecated = sections.start.deprecated_key();
        let warnings = deprecated.into_iter().map(|error| file.locate("start.", error)).collect();
        Ok(Parts { log: sections.log, gearman: sections.gearman, ipfix: sections.ipfix, start, warnings })
    }
}

fn read_gearman_file(
    path: &Path,
    limits: Limits,
    site: &Site,
) -> Result<gearman::GearmanSettings, FileError> {
    let file = SettingsFile::read(path)?;
    let gearman = file.parse()?;
    check_gearman(&gearman, limits, site).map_err(|error| file.locate("", error))?;
    Ok(gearman)
}

fn read_ipfix_file(path: &Path) -> Result<IpfixSettings, FileError> {
    let file = SettingsFile::read(path)?;
    let ipfix: IpfixSettings = file.parse()?;
    ipfix.check().map_err(|error| file.locate("", error))?;
    Ok(ipfix)
}

fn check_gearman(file: &gearman::GearmanSettings, limits: Limits, site: &Site) -> Result<(), ConfigError> {
    gearman::ResolvedSettings::resolve(file, limits.shares(true).gearman_bytes)?;
    gearman::resolve_functions(file, site)?;
    Ok(())
}
