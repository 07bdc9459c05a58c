//! Range checks and unit conversions for numeric settings.

use crate::lifecycle::settings_error::ConfigError;
use roselock::{Micros, SECOND};
use toml::Spanned;

/// The allowed values of a setting, both ends inclusive.
#[derive(Clone, Copy)]
pub struct AllowedRange {
    /// The minimum.
    pub min: f64,
    /// The maximum.
    pub max: f64,
}

/// Converts seconds to microseconds.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}

/// The value of a setting, or its default if the setting is absent.
///
/// # Errors
/// If the value is out of range.
pub fn number_in_range(
    key: &str,
    value: Option<&Spanned<f64>>,
    default: f64,
    allowed: AllowedRange,
) -> Result<f64, ConfigError> {
    let Some(spanned) = value else { return Ok(default) };
    let number = *spanned.get_ref();
    let AllowedRange { min, max } = allowed;
    if number >= min && number <= max {
        return Ok(number);
    }
    let problem = format!("{number} is out of range");
    Err(ConfigError::new(spanned.span(), key, problem, format!("between {min} and {max}")))
}

/// Converts a setting in KiB, or its default if the setting is absent, to bytes.
///
/// # Errors
/// If the value is 0 or more than `max_kib`.
pub fn bytes_from_kib(
    key: &str,
    value: Option<&Spanned<usize>>,
    default_kib: usize,
    max_kib: usize,
) -> Result<usize, ConfigError> {
    let Some(spanned) = value else { return Ok(default_kib << 10) };
    let kib = *spanned.get_ref();
    if (1..=max_kib).contains(&kib) {
        return Ok(kib << 10);
    }
    let problem = format!("{kib} is out of range");
    Err(ConfigError::new(spanned.span(), key, problem, format!("between 1 and {max_kib} KiB")))
}
