//! Records when the bytes of a buffer were read. The time budget of a request starts when its last byte is
//! read, which may be long before the request is processed.

use roselock::Micros;
use std::collections::VecDeque;

/// Bytes that are read within this time of each other are recorded as one arrival, at the time of the first
/// byte.
const MERGE_WINDOW: Micros = 10_000;
/// Maximum number of arrivals; above it, adjacent arrivals are merged.
const MAX_ARRIVALS: usize = 1024;

/// A range of bytes that were read at the same time.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// The end offset of the bytes in the buffer.
    end: usize,
    /// When the bytes were read.
    at: Micros,
}

/// The times at which the bytes of a buffer were read, in the order of the bytes.
#[derive(Debug, Default)]
pub struct Arrivals {
    arrivals: VecDeque<Arrival>,
    /// When the last byte that left the buffer was read.
    last_consumed_at: Micros,
}

impl Arrivals {
    /// Records that the buffer has grown to `length` bytes, the new ones read at `now`.
    pub fn extend(&mut self, length: usize, now: Micros) {
        let known_length = self.arrivals.back().map_or(0, |last| last.end);
        if length <= known_length {
            return;
        }
        match self.arrivals.back_mut().filter(|last| now - last.at < MERGE_WINDOW) {
            Some(last) => last.end = length,
            None => self.arrivals.push_back(Arrival { end: length, at: now }),
        }
        if self.arrivals.len() > MAX_ARRIVALS {
            self.merge_neighbours();
        }
    }

    /// Records that the first `count` bytes are removed from the buffer.
    pub fn consume(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        while let Some(first) = self.arrivals.front() {
            self.last_consumed_at = first.at;
            let end = first.end;
            if end <= count {
                self.arrivals.pop_front();
            }
            if end >= count {
                break;
            }
        }
        for arrival in &mut self.arrivals {
            arrival.end -= count;
        }
    }

    /// When the last byte that left the buffer was read.
    pub fn last_consumed_at(&self) -> Micros {
        self.last_consumed_at
    }

    /// When the first byte of the buffer was read; `None` if the buffer is empty.
    pub fn first(&self) -> Option<Micros> {
        self.arrivals.front().map(|first| first.at)
    }

    /// Merges pairs of adjacent arrivals and keeps the earlier time, so that no byte is recorded as read
    /// later than it was.
    fn merge_neighbours(&mut self) {
        let pairs = self.arrivals.make_contiguous().chunks(2);
        let merged = pairs.map(|pair| Arrival { end: pair[pair.len() - 1].end, at: pair[0].at });
        self.arrivals = merged.collect();
    }
}

#[cfg(test)]
#[path = "arrivals_tests.rs"]
mod tests;
