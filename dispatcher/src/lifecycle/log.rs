//! The log: lines of text or of JSON on standard error, written by a thread of its own.
//!
//! Whoever logs never waits. Lines that find the queue to that thread full are dropped and counted; the count is
//! logged at the end.

use serde::Deserialize;
use std::str::FromStr;
use std::sync::OnceLock;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::prelude::*;
use tracing_subscriber::{Registry, fmt, reload};

/// Most lines that wait to be written.
const LINES: usize = 4096;

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// What keeps the process from its work.
    Error,
    /// What somebody should look at.
    Warn,
    /// What changes: start, stop, reload, hosts put off.
    #[default]
    Info,
    /// A line for each stream's end, too.
    Debug,
    /// Everything.
    Trace,
}

/// In which form.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// A line of text each.
    #[default]
    Text,
    /// A JSON object a line.
    Json,
}

/// `[log]` in the operators' file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    /// How much.
    pub level: Level,
    /// In which form.
    pub form: Form,
}

impl FromStr for Level {
    type Err = String;
    fn from_str(s: &str) -> Result<Level, String> {
        Ok(match s {
            "error" => Level::Error,
            "warn" => Level::Warn,
            "info" => Level::Info,
            "debug" => Level::Debug,
            "trace" => Level::Trace,
            _ => return Err("one of: error, warn, info, debug, trace".into()),
        })
    }
}

impl FromStr for Form {
    type Err = String;
    fn from_str(s: &str) -> Result<Form, String> {
        match s {
            "text" => Ok(Form::Text),
            "json" => Ok(Form::Json),
            _ => Err("one of: text, json".into()),
        }
    }
}

impl Level {
    fn filter(self) -> LevelFilter {
        match self {
            Level::Error => LevelFilter::ERROR,
            Level::Warn => LevelFilter::WARN,
            Level::Info => LevelFilter::INFO,
            Level::Debug => LevelFilter::DEBUG,
            Level::Trace => LevelFilter::TRACE,
        }
    }
}

static FILTER: OnceLock<reload::Handle<LevelFilter, Registry>> = OnceLock::new();

/// Writes out what waits when it is dropped.
pub struct Guard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let lines = self.dropped.dropped_lines();
        if lines > 0 {
            tracing::warn!(
                lines,
                "lines of the log were dropped: they came faster than they could be written"
            );
        }
    }
}

/// Starts the log.
pub fn start(file: File) -> Guard {
    let (lines, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stderr());
    let dropped = lines.error_counter();
    let (filter, handle) = reload::Layer::new(file.level.filter());
    let form = fmt::layer().with_writer(lines).with_ansi(false).with_target(false);
    let registry = tracing_subscriber::registry().with(filter);
    let started = match file.form {
        Form::Text => registry.with(form).try_init(),
        Form::Json => registry.with(form.json().flatten_event(true)).try_init(),
    };
    if started.is_ok() {
        let _ = FILTER.set(handle);
    }
    Guard { _worker: worker, dropped }
}

/// Logs so much from now on.
pub fn set_level(level: Level) {
    if let Some(handle) = FILTER.get() {
        let _ = handle.reload(level.filter());
    }
}
