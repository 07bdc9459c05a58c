//! Settings that are numbers: bounds checked, and converted to the units of the code.

use crate::lifecycle::settings_error::ConfigError;
use roselock::{Micros, SECOND};
use toml::Spanned;

/// The values that a setting may have, ends included.
#[derive(Clone, Copy)]
pub struct AllowedRange {
    /// The least one.
    pub least: f64,
    /// The largest one.
    pub most: f64,
}

/// A duration in seconds as microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}

/// The value of a setting, or its default.
///
/// # Errors
/// The value is out of its range.
pub fn number_in_range(
    key: &str,
    value: Option<&Spanned<f64>>,
    default: f64,
    allowed: AllowedRange,
) -> Result<f64, ConfigError> {
    let Some(spanned) = value else { return Ok(default) };
    let number = *spanned.get_ref();
    let AllowedRange { least, most } = allowed;
    if number >= least && number <= most {
        return Ok(number);
    }
    let problem = format!("{number} is out of range");
    Err(ConfigError::new(spanned.span(), key, problem, format!("between {least} and {most}")))
}

/// The value of a setting in KiB, or its default in KiB, as bytes.
///
/// # Errors
/// The value is 0 or more than `most_kib`.
pub fn bytes_of_kib(
    key: &str,
    value: Option<&Spanned<usize>>,
    default_kib: usize,
    most_kib: usize,
) -> Result<usize, ConfigError> {
    let Some(spanned) = value else { return Ok(default_kib << 10) };
    let kib = *spanned.get_ref();
    if (1..=most_kib).contains(&kib) {
        return Ok(kib << 10);
    }
    let problem = format!("{kib} is out of range");
    Err(ConfigError::new(spanned.span(), key, problem, format!("between 1 and {most_kib} KiB")))
}
