//! Resource limits of the process, and their division among its components.

use serde::Deserialize;

/// Higher limits are treated as this one; applies to file descriptors and to MiB of memory.
const MAX_EFFECTIVE_LIMIT: usize = 1 << 16;

/// Memory of the process without connections, requests and a long endpoint list, in bytes: its program, threads and runtime.
const PROCESS_BYTES: usize = 8 << 20;
/// File descriptors of a process without connections of clients and to upstream hosts.
const PROCESS_DESCRIPTORS: usize = 24;
/// This part (1/N) of the memory stays free for the decision logic, the endpoint list and what the allocator cannot reuse.
const FREE_MEMORY_DIVISOR: usize = 8;
/// Memory of a client's connection, in bytes: two coroutine stacks, its buffers and queues, and its stream in the event loop.
const CLIENT_CONNECTION_BYTES: usize = 32 << 10;
/// Memory of a connection to an upstream host, in bytes: a coroutine stack, its buffer and queues.
const UPSTREAM_CONNECTION_BYTES: usize = 16 << 10;
/// Client connections for each upstream connection.
const CLIENTS_PER_UPSTREAM: usize = 2;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Memory, in MiB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// The share of [`Limits`] that each component gets.
pub struct ResourceShares {
    /// Maximum number of connections to upstream hosts.
    pub upstream_connections: usize,
    /// Maximum number of connections of the HTTP front end.
    pub http_connections: usize,
    /// Maximum number of connections of the Gearman front end.
    pub gearman_connections: usize,
    /// Memory for messages that the HTTP front end receives or caches, in bytes, not counting the first few
    /// bytes of each.
    pub http_bytes: usize,
    /// Memory for the jobs of the Gearman front end, in bytes.
    pub gearman_bytes: usize,
}

impl ResourceShares {
    /// Half of each share, for a process that cannot see what another one uses.
    #[must_use]
    pub fn halved(self) -> ResourceShares {
        ResourceShares {
            upstream_connections: self.upstream_connections.div_ceil(2),
            http_connections: self.http_connections.div_ceil(2),
            gearman_connections: self.gearman_connections.div_ceil(2),
            http_bytes: self.http_bytes / 2,
            gearman_bytes: self.gearman_bytes,
        }
    }
}

impl Limits {
    /// The memory limit in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb as u64 * (1 << 20)
    }

    /// Divides the limits. Some descriptors are reserved for the listener, discovery, the runtime and connections that are
    /// being opened or closed. Connections take at most half of the memory that the process can use, and what they leave is
    /// for messages, at most half of the whole.
    ///
    /// A process that may be upgraded leaves room for a second one. The connections and the memory for messages are the sum
    /// of both, except the memory for Gearman jobs.
    pub fn shares(&self, has_gearman: bool, may_be_upgraded: bool) -> ResourceShares {
        let processes = 1 + usize::from(may_be_upgraded);
        let extra_front_ends = usize::from(has_gearman);
        let sockets = self.sockets.min(MAX_EFFECTIVE_LIMIT);
        let reserved = (sockets / 8).clamp(16, 64) + (processes - 1) * PROCESS_DESCRIPTORS;
        let by_descriptors = sockets.saturating_sub(reserved) / (1 + CLIENTS_PER_UPSTREAM + extra_front_ends);
        let clients = CLIENTS_PER_UPSTREAM + extra_front_ends;
        let share_bytes = UPSTREAM_CONNECTION_BYTES + clients * CLIENT_CONNECTION_BYTES;
        let memory = self.memory_mb.clamp(1, MAX_EFFECTIVE_LIMIT) * (1 << 20);
        let usable = usable_memory(memory, processes);
        let share = by_descriptors.min(usable / 2 / share_bytes).max(1);
        let message_bytes = usable.saturating_sub(share * share_bytes).min(memory / 2);
        ResourceShares {
            upstream_connections: share,
            http_connections: CLIENTS_PER_UPSTREAM * share,
            gearman_connections: share,
            http_bytes: message_bytes / (1 + extra_front_ends),
            gearman_bytes: message_bytes / 2 / processes,
        }
    }
}

/// The part of the memory limit that connections and messages may use, in bytes. With a limit that is too small for the
/// process it is a small part of the limit.
fn usable_memory(memory: usize, processes: usize) -> usize {
    let free = memory / FREE_MEMORY_DIVISOR;
    memory.saturating_sub(processes * PROCESS_BYTES + free).max(free)
}

#[cfg(test)]
#[path = "limits_tests.rs"]
mod tests;
