//! Counts the traffic on the connections of a stand-in, as the stand-in reads and writes it.

use serde::{Deserialize, Serialize};
use std::ops::Sub;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters that the connections of one stand-in share.
#[derive(Debug, Default)]
pub struct Traffic {
    read: AtomicU64,
    written: AtomicU64,
    connections: AtomicU64,
    messages: AtomicU64,
}

/// The counts up to a point in time, or between two points in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficCount {
    /// Bytes read by the stand-in.
    pub read: u64,
    /// Bytes written by the stand-in.
    pub written: u64,
    /// Connections accepted or opened by the stand-in.
    pub connections: u64,
    /// Complete messages read by the stand-in.
    pub messages: u64,
}

impl Traffic {
    /// Counts an established connection.
    pub fn count_connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }
    /// Counts bytes read.
    pub fn count_read(&self, bytes: usize) {
        self.read.fetch_add(bytes as u64, Ordering::Relaxed);
    }
    /// Counts bytes written.
    pub fn count_written(&self, bytes: usize) {
        self.written.fetch_add(bytes as u64, Ordering::Relaxed);
    }
    /// Counts a complete message read.
    pub fn count_message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
    /// Returns the current counts.
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
