//! The log: lines of text or of JSON on standard error, written by a thread of its own.
//!
//! Logging never blocks. Lines that find the queue to that thread full are dropped and counted; the count is logged
//! when the process ends.

use super::log_settings::{LogFormat, LogLevel, LogSettings};
use std::sync::OnceLock;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::prelude::*;
use tracing_subscriber::{Registry, fmt, reload};

/// Most lines that wait to be written.
const QUEUE_CAPACITY: usize = 4096;

/// Changes the level of the log that was started.
static LEVEL: OnceLock<reload::Handle<LevelFilter, Registry>> = OnceLock::new();

/// Writes out the queued lines when it is dropped.
pub struct LogGuard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let count = self.dropped.dropped_lines();
        if count > 0 {
            tracing::warn!(count, "log queue was full, lines were dropped");
        }
    }
}

/// Starts the log.
#[must_use = "the log ends when the guard is dropped"]
pub fn start(settings: LogSettings) -> LogGuard {
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_CAPACITY)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stderr());
    let dropped = writer.error_counter();
    let (filter, handle) = reload::Layer::new(LevelFilter::from(settings.level));
    let layer = fmt::layer().with_writer(writer).with_ansi(false).with_target(false);
    let registry = tracing_subscriber::registry().with(filter);
    let started = match settings.format {
        LogFormat::Text => registry.with(layer).try_init(),
        LogFormat::Json => registry.with(layer.json().flatten_event(true)).try_init(),
    };
    if started.is_ok() {
        let _ = LEVEL.set(handle);
    }
    LogGuard { _worker: worker, dropped }
}

/// Changes the level of the running log.
pub fn set_level(level: LogLevel) {
    if let Some(handle) = LEVEL.get() {
        let _ = handle.reload(LevelFilter::from(level));
    }
}
