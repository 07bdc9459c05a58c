//! Settings of the IPFIX export.

use crate::lifecycle::settings_error::ConfigError;
use serde::Deserialize;
use std::net::SocketAddr;

/// The settings of the IPFIX export, whose presence enables it.
#[derive(Clone, Debug, Deserialize)]
// `check-config` prints this text if the section is not a table.
#[serde(deny_unknown_fields, expecting = "struct File")]
pub struct IpfixSettings {
    /// The address of the collector.
    pub collector: SocketAddr,
    /// The observation domain of the records.
    #[serde(default)]
    pub observation_domain: u32,
    /// Interval at which the templates are sent again, in seconds.
    #[serde(default = "default_template_refresh_s")]
    pub template_refresh_s: f64,
}

fn default_template_refresh_s() -> f64 {
    60.0
}

impl IpfixSettings {
    /// Validates the values.
    ///
    /// # Errors
    /// A value is out of range.
    pub fn check(&self) -> Result<(), ConfigError> {
        if !self.template_refresh_s.is_finite() || self.template_refresh_s <= 0.0 {
            return Err(ConfigError::new(None, "template_refresh_s", "is not a valid duration", "above 0"));
        }
        Ok(())
    }
}
