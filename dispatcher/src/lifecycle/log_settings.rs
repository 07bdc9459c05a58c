//! `[log]` of the operators' file: how much is logged, and in which format.

use serde::Deserialize;
use std::str::FromStr;
use thiserror::Error;
use tracing::level_filters::LevelFilter;

/// `[log]` of the operators' file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// How much is logged.
    pub level: LogLevel,
    /// In which format.
    #[serde(rename = "form")]
    pub format: LogFormat,
}

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// What keeps the process from its work.
    Error,
    /// What somebody should look at.
    Warn,
    /// What changes: start, stop, reload, ejected hosts.
    #[default]
    Info,
    /// A line for each stream's end, too.
    Debug,
    /// Everything.
    Trace,
}

/// In which format it is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Lines of text.
    #[default]
    Text,
    /// A JSON object a line.
    Json,
}

/// The text is no [`LogLevel`].
#[derive(Debug, Error)]
#[error("one of: error, warn, info, debug, trace")]
pub struct UnknownLogLevel;

/// The text is no [`LogFormat`].
#[derive(Debug, Error)]
#[error("one of: text, json")]
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
