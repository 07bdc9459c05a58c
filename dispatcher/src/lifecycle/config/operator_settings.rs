//! Settings supplied by the operator: the operator file, which has a section for each component, and the
//! files of single components.

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

/// Content of the operator file. The Gearman front end and the flow export are off without their section.
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

/// Validated settings of all components.
#[derive(Default)]
pub struct OperatorSettings {
    /// Log level and format.
    pub log: LogSettings,
    /// Settings of the Gearman front end, if it is enabled.
    pub gearman: Option<gearman::GearmanSettings>,
    /// Settings of the IPFIX flow export, if it is enabled.
    pub ipfix: Option<IpfixSettings>,
    /// Startup parameters, which limit the load of many dispatchers on the discovery service and on
    /// workers.
    pub start: StartupParameters,
    /// Warnings about deprecated keys.
    pub warnings: Vec<FileError>,
}

impl OperatorSettings {
    /// Reads and validates the files, and applies the command-line options that override them.
    ///
    /// # Errors
    /// Fails if a file is invalid, or if two files configure the same component.
    pub fn load(sources: &ConfigSources, limits: Limits, site: &Site) -> Result<OperatorSettings, LoadError> {
        let mut settings = match &sources.operator {
            Some(path) => OperatorSettings::read_operator_file(path, limits, site)?,
            None => OperatorSettings::default(),
        };
        if let Some(path) = &sources.gearman {
            let gearman = read_gearman_file(path, limits, site)?;
            if settings.gearman.replace(gearman).is_some() {
                return Err(LoadError::DuplicateSection { section: "gearman" });
            }
        }
        if let Some(path) = &sources.ipfix {
            let ipfix = read_ipfix_file(path)?;
            if settings.ipfix.replace(ipfix).is_some() {
                return Err(LoadError::DuplicateSection { section: "ipfix" });
            }
        }
        settings.log.level = sources.log_level.unwrap_or(settings.log.level);
        settings.log.format = sources.log_format.unwrap_or(settings.log.format);
        Ok(settings)
    }

    fn read_operator_file(path: &Path, limits: Limits, site: &Site) -> Result<OperatorSettings, FileError> {
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
        Ok(OperatorSettings {
            log: sections.log,
            gearman: sections.gearman,
            ipfix: sections.ipfix,
            start,
            warnings,
        })
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

fn check_gearman(
    settings: &gearman::GearmanSettings,
    limits: Limits,
    site: &Site,
) -> Result<(), ConfigError> {
    gearman::ResolvedSettings::resolve(settings, limits.shares(true, false).gearman_bytes)?;
    gearman::resolve_functions(settings, site)?;
    Ok(())
}
