//! What the machine grants the process, and how it is divided.

use serde::Deserialize;

/// Most file descriptors, and most MiB of memory, that are divided.
const MAX_DIVIDED: usize = 1 << 16;

/// What the machine grants the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory, in MiB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// The parts of [`Limits`] that go to each user.
pub struct ResourceShares {
    /// Connections to upstream hosts.
    pub upstream_connections: usize,
    /// Connections of the HTTP front.
    pub http_connections: usize,
    /// Connections of the Gearman front.
    pub gearman_connections: usize,
    /// Bytes of messages at the HTTP front that are received or cached, beyond the first few of each.
    pub http_bytes: usize,
    /// Bytes of the Gearman front's jobs.
    pub gearman_bytes: usize,
}

impl Limits {
    /// Divides the limits. The listener, discovery, the runtime and connections that open or close get some descriptors;
    /// connections and the decisions get half of the memory.
    pub fn shares(&self, has_gearman: bool) -> ResourceShares {
        let other_fronts = usize::from(has_gearman);
        let sockets = self.sockets.min(MAX_DIVIDED);
        let reserved = (sockets / 8).clamp(16, 64);
        let part = sockets.saturating_sub(reserved) / (3 + other_fronts);
        let memory = self.memory_mb.clamp(1, MAX_DIVIDED) * (1 << 20);
        ResourceShares {
            upstream_connections: part,
            http_connections: 2 * part,
            gearman_connections: part,
            http_bytes: memory / 2 / (1 + other_fronts),
            gearman_bytes: memory / 4,
        }
    }
}

#[cfg(test)]
#[path = "limits_tests.rs"]
mod tests;
