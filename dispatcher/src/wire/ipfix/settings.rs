//! The settings of the export.

use crate::lifecycle::settings_error::ConfigError;
use serde::Deserialize;
use std::net::SocketAddr;

/// The settings that turn the export on.
#[derive(Clone, Debug, Deserialize)]
// `check-config` prints this text where the section is not a table.
#[serde(deny_unknown_fields, expecting = "struct File")]
pub struct IpfixSettings {
    /// The address of the collector.
    pub collector: SocketAddr,
    /// The observation domain of the records.
    #[serde(default)]
    pub observation_domain: u32,
    /// How often the templates are sent again, in seconds.
    #[serde(default = "default_template_refresh_s")]
    pub template_refresh_s: f64,
}

fn default_template_refresh_s() -> f64 {
    60.0
}

impl IpfixSettings {
    /// Checks the values.
    ///
    /// # Errors
    /// A value is out of its range.
    pub fn check(&self) -> Result<(), ConfigError> {
        if !self.template_refresh_s.is_finite() || self.template_refresh_s <= 0.0 {
            return Err(ConfigError::new(None, "template_refresh_s", "is no span of time", "above 0"));
        }
        Ok(())
    }
}
