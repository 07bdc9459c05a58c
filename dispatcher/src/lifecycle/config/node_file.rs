//! The node's configuration, which the platform writes (`$NODE_CONFIG`), and the environment that fills its gaps.

use super::limits::Limits;
use crate::lifecycle::load_error::{FileError, FileProblem, LoadError};
use crate::wire::list::{EndpointList, Target};
use roselock::settings::{Options, Site};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The file's content.
#[derive(Deserialize)]
struct NodeConfig {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    /// The admin address; else `$NODE_ADMIN`; neither: it is off.
    admin: Option<String>,
    #[serde(default)]
    seed: serde_json::Value,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: CachedList,
    settings: serde_json::Value,
}

/// The endpoint list as last known.
#[derive(Default, Deserialize)]
#[serde(default)]
struct CachedList {
    #[serde(rename = "rev")]
    revision: u64,
    targets: Vec<Target>,
}

/// The node's configuration as it was read.
pub struct NodeFile {
    path: PathBuf,
    content: NodeConfig,
}

impl NodeFile {
    /// Reads the file, else the one that `$NODE_CONFIG` names.
    ///
    /// # Errors
    /// No file is named, or it cannot be read or parsed.
    pub fn read(path: Option<PathBuf>) -> Result<NodeFile, LoadError> {
        let path = path.or_else(|| environment("NODE_CONFIG").map(PathBuf::from));
        let path = path.ok_or(LoadError::NoFile)?;
        let text = std::fs::read_to_string(&path).map_err(|error| FileError::new(&path, error))?;
        let content = serde_json::from_str(&text).map_err(|error| FileError::new(&path, error))?;
        Ok(NodeFile { path, content })
    }

    /// Takes the settings of the decisions, which may be JSON, or JSON within a string.
    ///
    /// # Errors
    /// They cannot be parsed, or have a value that is not allowed.
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

    /// The seed of random numbers: a hexadecimal string or a number, else 0.
    ///
    /// # Errors
    /// The string is no hexadecimal number of 64 bits.
    pub fn seed(&self) -> Result<u64, FileError> {
        let serde_json::Value::String(hex) = &self.content.seed else {
            return Ok(self.content.seed.as_u64().unwrap_or(0));
        };
        u64::from_str_radix(hex, 16).map_err(|source| {
            let value = hex.clone();
            self.error(FileProblem::Seed { value, source })
        })
    }

    /// What the machine grants.
    pub fn limits(&self) -> Limits {
        self.content.limits
    }

    /// Where clients and call-backs connect.
    ///
    /// # Errors
    /// It is missing, or no address.
    pub fn listen(&self) -> Result<SocketAddr, FileError> {
        self.required_address("listen", self.content.listen.as_ref(), "NODE_LISTEN")
    }

    /// Where discovery is.
    ///
    /// # Errors
    /// It is missing, or no address.
    pub fn discovery(&self) -> Result<SocketAddr, FileError> {
        self.required_address("discovery", self.content.discovery.as_ref(), "NODE_DISCOVERY")
    }

    /// The admin address, unless it is off.
    ///
    /// # Errors
    /// It is no address.
    pub fn admin(&self) -> Result<Option<SocketAddr>, FileError> {
        let value = self.content.admin.clone().or_else(|| environment("NODE_ADMIN"));
        match value.filter(|address| !address.trim().is_empty()) {
            Some(value) => self.parse_address("admin", value).map(Some),
            None => Ok(None),
        }
    }

    /// The dispatcher's name, else `$NODE_NAME`, and the endpoint list as last known.
    pub fn into_name_and_list(self) -> (String, EndpointList) {
        let NodeConfig { name, known, .. } = self.content;
        let name = if name.is_empty() { environment("NODE_NAME").unwrap_or_default() } else { name };
        (name, EndpointList { revision: known.revision, is_complete: true, targets: known.targets })
    }

    fn required_address(
        &self,
        key: &'static str,
        value: Option<&String>,
        variable: &str,
    ) -> Result<SocketAddr, FileError> {
        let value = value.cloned().or_else(|| environment(variable));
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

fn environment(variable: &str) -> Option<String> {
    std::env::var(variable).ok()
}
