//! The `[log]` section of the operator file: log level and format.

use serde::Deserialize;
use std::str::FromStr;
use thiserror::Error;
use tracing::level_filters::LevelFilter;

/// The `[log]` section of the operator file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Lowest severity that is logged.
    pub level: LogLevel,
    /// Format of the log lines.
    #[serde(rename = "form")]
    pub format: LogFormat,
}

/// Log level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that prevent the process from working.
    Error,
    /// Conditions that need an operator's attention.
    Warn,
    /// State changes: start, shutdown, reload, ejected hosts.
    #[default]
    Info,
    /// Additionally a line at the end of each stream.
    Debug,
    /// All log lines.
    Trace,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The text is not a [`LogLevel`].
#[derive(Debug, Error)]
#[error("expected one of: error, warn, info, debug, trace")]
pub struct UnknownLogLevel;

/// The text is not a [`LogFormat`].
#[derive(Debug, Error)]
#[error("expected one of: text, json")]
pub struct UnknownLogFormat;

impl FromStr for LogLevel {
    type Err = UnknownLogLevel;
    fn from_str(text: &str) -> Result<LogLevel, UnknownLogLevel> {
        match text {
            "error" => Ok(LogLevel::Error),
            "warn" => Ok(LogLevel::Warn),
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            "trace" => Ok(LogLevel::Trace),
            _ => Err(UnknownLogLevel),
        }
    }
}

impl FromStr for LogFormat {
    type Err = UnknownLogFormat;
    fn from_str(text: &str) -> Result<LogFormat, UnknownLogFormat> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(UnknownLogFormat),
        }
    }
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> LevelFilter {
        match level {
            LogLevel::Error => LevelFilter::ERROR,
            LogLevel::Warn => LevelFilter::WARN,
            LogLevel::Info => LevelFilter::INFO,
            LogLevel::Debug => LevelFilter::DEBUG,
            LogLevel::Trace => LevelFilter::TRACE,
        }
    }
}
