//! The node configuration, written by the platform (`$NODE_CONFIG`), with environment variables for missing
//! values.

use super::limits::Limits;
use crate::lifecycle::load_error::{FileError, FileProblem, LoadError};
use crate::wire::list::{EndpointList, Target};
use roselock::settings::{Options, Site};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Content of the file.
#[derive(Deserialize)]
struct NodeConfig {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    /// The admin address, which defaults to `$NODE_ADMIN`. The admin interface is off if neither is set.
    admin: Option<String>,
    #[serde(default)]
    seed: serde_json::Value,
    #[serde(default)]
    limits: Limits,
    #[serde(default, rename = "known")]
    cached_list: CachedList,
    settings: serde_json::Value,
}

/// The last known endpoint list.
#[derive(Default, Deserialize)]
#[serde(default)]
struct CachedList {
    #[serde(rename = "rev")]
    revision: u64,
    targets: Vec<Target>,
}

/// The parsed node configuration and its path.
pub struct NodeFile {
    path: PathBuf,
    content: NodeConfig,
}

impl NodeFile {
    /// Reads the file at `path`, which defaults to `$NODE_CONFIG`.
    ///
    /// # Errors
    /// Fails if no file is specified, or if it cannot be read or parsed.
    pub fn read(path: Option<PathBuf>) -> Result<NodeFile, LoadError> {
        let path = path.or_else(|| env_var("NODE_CONFIG").map(PathBuf::from));
        let path = path.ok_or(LoadError::NoFile)?;
        let text = std::fs::read_to_string(&path).map_err(|error| FileError::new(&path, error))?;
        let content = serde_json::from_str(&text).map_err(|error| FileError::new(&path, error))?;
        Ok(NodeFile { path, content })
    }

    /// Takes the scheduling settings, a JSON object or a string that contains one.
    ///
    /// # Errors
    /// Fails if the settings cannot be parsed, contradict each other or have an invalid value.
    pub fn take_site(&mut self) -> Result<Site, FileError> {
        let options: Result<Options, serde_json::Error> = match std::mem::take(&mut self.content.settings) {
            serde_json::Value::String(inner) => serde_json::from_str(&inner),
            inner => serde_json::from_value(inner),
        };
        let options = options.map_err(|error| self.error(FileProblem::SettingsJson(error)))?;
        let site = options.site().map_err(|error| {
            let reason = error.to_string();
            self.error(FileProblem::SettingsConflict { reason })
        })?;
        site.settings.check().map_err(|error| self.error(FileProblem::SettingsValue(error)))?;
        Ok(site)
    }

    /// Seed of the random number generators: a hexadecimal string or a number; 0 by default.
    ///
    /// # Errors
    /// Fails if the string is not a 64-bit hexadecimal number.
    pub fn seed(&self) -> Result<u64, FileError> {
        let serde_json::Value::String(hex) = &self.content.seed else {
            return Ok(self.content.seed.as_u64().unwrap_or(0));
        };
        u64::from_str_radix(hex, 16).map_err(|source| {
            let value = hex.clone();
            self.error(FileProblem::Seed { value, source })
        })
    }

    /// Resource limits of the process.
    pub fn limits(&self) -> Limits {
        self.content.limits
    }

    /// Listen address for clients and callbacks.
    ///
    /// # Errors
    /// Fails if the address is missing or invalid.
    pub fn listen(&self) -> Result<SocketAddr, FileError> {
        self.required_address("listen", self.content.listen.as_ref(), "NODE_LISTEN")
    }

    /// Address of the discovery service.
    ///
    /// # Errors
    /// Fails if the address is missing or invalid.
    pub fn discovery(&self) -> Result<SocketAddr, FileError> {
        self.required_address("discovery", self.content.discovery.as_ref(), "NODE_DISCOVERY")
    }

    /// Listen address of the admin interface, if it is enabled.
    ///
    /// # Errors
    /// Fails if the address is invalid.
    pub fn admin(&self) -> Result<Option<SocketAddr>, FileError> {
        let value = self.content.admin.clone().or_else(|| env_var("NODE_ADMIN"));
        match value.filter(|address| !address.trim().is_empty()) {
            Some(value) => self.parse_address("admin", value).map(Some),
            None => Ok(None),
        }
    }

    /// The dispatcher's name, which defaults to `$NODE_NAME`, and the last known endpoint list.
    pub fn into_name_and_list(self) -> (String, EndpointList) {
        let NodeConfig { name, cached_list, .. } = self.content;
        let name = if name.is_empty() { env_var("NODE_NAME").unwrap_or_default() } else { name };
        (
            name,
            EndpointList { revision: cached_list.revision, is_complete: true, targets: cached_list.targets },
        )
    }

    fn required_address(
        &self,
        key: &'static str,
        value: Option<&String>,
        variable: &str,
    ) -> Result<SocketAddr, FileError> {
        let value = value.cloned().or_else(|| env_var(variable));
        let value = value.ok_or_else(|| self.error(FileProblem::Missing { key }))?;
        self.parse_address(key, value)
    }

    fn parse_address(&self, key: &'static str, value: String) -> Result<SocketAddr, FileError> {
        value.parse().map_err(|source| self.error(FileProblem::Address { key, value, source }))
    }

    fn error(&self, problem: FileProblem) -> FileError {
        FileError::new(&self.path, problem)
    }
}

fn env_var(variable: &str) -> Option<String> {
    std::env::var(variable).ok()
}
