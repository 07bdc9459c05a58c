//! The traffic on connections of a stand-in, counted as the stand-in reads and writes it.

use serde::{Deserialize, Serialize};
use std::ops::Sub;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters shared by the connections of one stand-in.
#[derive(Debug, Default)]
pub struct Traffic {
    read: AtomicU64,
    written: AtomicU64,
    connections: AtomicU64,
    messages: AtomicU64,
}

/// Counts up to a moment, or between two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficCount {
    /// Bytes that the stand-in read.
    pub read: u64,
    /// Bytes that it wrote.
    pub written: u64,
    /// Connections that it accepted or opened.
    pub connections: u64,
    /// Complete messages that it read.
    pub messages: u64,
}

impl Traffic {
    /// Counts a connection that was established.
    pub fn count_connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }
    /// Counts bytes that were read.
    pub fn count_read(&self, bytes: usize) {
        self.read.fetch_add(bytes as u64, Ordering::Relaxed);
    }
    /// Counts bytes that were written.
    pub fn count_written(&self, bytes: usize) {
        self.written.fetch_add(bytes as u64, Ordering::Relaxed);
    }
    /// Counts a complete message that was read.
    pub fn count_message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
    /// The counts as of now.
    #[must_use]
    pub fn count(&self) -> TrafficCount {
        TrafficCount {
            read: self.read.load(Ordering::Relaxed),
            written: self.written.load(Ordering::Relaxed),
            connections: self.connections.load(Ordering::Relaxed),
            messages: self.messages.load(Ordering::Relaxed),
        }
    }
}

impl Sub for TrafficCount {
    type Output = TrafficCount;

    fn sub(self, earlier: TrafficCount) -> TrafficCount {
        TrafficCount {
            read: self.read - earlier.read,
            written: self.written - earlier.written,
            connections: self.connections - earlier.connections,
            messages: self.messages - earlier.messages,
        }
    }
}
