//! The log: lines of text or JSON, written to standard error by a background thread.
//!
//! Logging never blocks. Lines are dropped and counted while the queue to the background thread is full; the
//! count is logged when the process exits.

use super::log_settings::{LogFormat, LogLevel, LogSettings};
use std::sync::OnceLock;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::prelude::*;
use tracing_subscriber::{Registry, fmt, reload};

/// Maximum number of queued lines.
const QUEUE_CAPACITY: usize = 4096;

/// Handle that changes the level of the running log.
static LEVEL_HANDLE: OnceLock<reload::Handle<LevelFilter, Registry>> = OnceLock::new();

/// Flushes the queued lines when it is dropped.
pub struct LogGuard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let count = self.dropped.dropped_lines();
        if count > 0 {
            tracing::warn!(count, "log lines dropped because the log queue was full");
        }
    }
}

/// Starts the log.
#[must_use = "logging stops when the guard is dropped"]
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
        let _ = LEVEL_HANDLE.set(handle);
    }
    LogGuard { _worker: worker, dropped }
}

/// Writes the lines that `write` logs to standard error before it returns, past the queue.
pub fn write_immediately(format: LogFormat, write: impl FnOnce()) {
    let layer = fmt::layer().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    match format {
        LogFormat::Text => tracing::subscriber::with_default(Registry::default().with(layer), write),
        LogFormat::Json => {
            let layer = layer.json().flatten_event(true);
            tracing::subscriber::with_default(Registry::default().with(layer), write);
        }
    }
}

/// Changes the level of the running log.
pub fn set_level(level: LogLevel) {
    if let Some(handle) = LEVEL_HANDLE.get() {
        let _ = handle.reload(LevelFilter::from(level));
    }
}
