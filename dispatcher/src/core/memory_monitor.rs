//! Watches the memory of the process: publishes it as metrics, and logs when it comes close to the limit.

use super::memory_budget::MemoryBudget;
use roselock::Micros;
use roselock_admin::metrics::{MemoryFigures, Metrics};
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::sync::Arc;

/// Interval between two checks, in microseconds.
const CHECK_INTERVAL: Micros = 500_000;
/// Size of the buffer for `/proc/self/status`, in bytes.
const STATUS_BYTES: usize = 4096;
const BYTES_PER_KB: u64 = 1024;
/// The part of the limit, in percent, at which the memory is logged as almost exhausted.
const WARN_PERCENT: u64 = 85;
/// The part of the limit, in percent, below which it may be logged again.
const REARM_PERCENT: u64 = 70;

/// Watches the memory of this process.
pub struct MemoryMonitor {
    /// `/proc/self/status`, kept open so that a lack of descriptors does not hide the figures.
    status: Option<File>,
    limit: u64,
    /// The budget of the HTTP front end.
    budget: Arc<MemoryBudget>,
    checked_at: Micros,
    is_reported: bool,
}

impl MemoryMonitor {
    /// Creates a monitor for a limit in bytes.
    pub fn new(limit: u64, budget: Arc<MemoryBudget>) -> MemoryMonitor {
        let status = File::open("/proc/self/status").ok();
        MemoryMonitor { status, limit, budget, checked_at: 0, is_reported: false }
    }

    /// Publishes and checks the memory, unless that was done a moment ago.
    pub fn check(&mut self, now: Micros, metrics: &Metrics) {
        if now - self.checked_at < CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        let Some(figures) = self.figures() else { return };
        metrics.set_memory(figures);
        self.report(&figures, metrics);
    }

    fn figures(&self) -> Option<MemoryFigures> {
        let mut bytes = [0; STATUS_BYTES];
        let count = self.status.as_ref()?.read_at(&mut bytes, 0).ok()?;
        let status = String::from_utf8_lossy(&bytes[..count]);
        Some(MemoryFigures {
            limit: self.limit,
            resident: status_value(&status, "VmRSS:")?,
            peak: status_value(&status, "VmHWM:")?,
            reserved: self.budget.reserved() as u64,
            refused: self.budget.refused(),
        })
    }

    /// Logs once when the resident memory rises above a part of the limit.
    fn report(&mut self, figures: &MemoryFigures, metrics: &Metrics) {
        let MemoryFigures { limit, resident, peak, reserved, refused } = *figures;
        let percent = resident * 100 / limit.max(1);
        if percent < REARM_PERCENT {
            self.is_reported = false;
        }
        if percent < WARN_PERCENT || std::mem::replace(&mut self.is_reported, true) {
            return;
        }
        let current = metrics.current();
        tracing::warn!(resident, peak, limit, reserved, refused, current, "memory is almost exhausted");
    }
}

/// A value of `/proc/self/status` in bytes.
fn status_value(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * BYTES_PER_KB)
}
