//! When the bytes of a buffer were read. The time of a request counts from its last byte, which may be read
//! long before the request is processed.

use roselock::Micros;
use std::collections::VecDeque;

/// Bytes that are read within this span (in microseconds) count as one arrival, at the time of the first of
/// them.
const MERGE_SPAN: Micros = 10_000;
/// Most arrivals that are kept; beyond that, neighbours are merged.
const MAX_ARRIVALS: usize = 1024;

/// Bytes that were read together.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Where they end in the buffer.
    end: usize,
    /// When they were read.
    at: Micros,
}

/// The times at which the bytes of a buffer were read, oldest first.
#[derive(Debug, Default)]
pub struct Arrivals {
    arrivals: VecDeque<Arrival>,
    /// When the last consumed byte had been read.
    last_consumed_at: Micros,
}

impl Arrivals {
    /// Records that the buffer is `length` bytes long now; the new ones were read at `now`.
    pub fn extend(&mut self, length: usize, now: Micros) {
        let known_length = self.arrivals.back().map_or(0, |last| last.end);
        if length <= known_length {
            return;
        }
        match self.arrivals.back_mut().filter(|last| now - last.at < MERGE_SPAN) {
            Some(last) => last.end = length,
            None => self.arrivals.push_back(Arrival { end: length, at: now }),
        }
        if self.arrivals.len() > MAX_ARRIVALS {
            self.merge_neighbours();
        }
    }

    /// Records that the first `count` bytes leave the buffer.
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

    /// When the last byte that left the buffer had been read.
    pub fn last_consumed_at(&self) -> Micros {
        self.last_consumed_at
    }

    /// When the first byte of the buffer was read, if there is one.
    pub fn first(&self) -> Option<Micros> {
        self.arrivals.front().map(|first| first.at)
    }

    /// Merges neighbours, at the earlier time of both: no byte counts as read later than it was.
    fn merge_neighbours(&mut self) {
        let pairs = self.arrivals.make_contiguous().chunks(2);
        let merged = pairs.map(|pair| Arrival { end: pair[pair.len() - 1].end, at: pair[0].at });
        self.arrivals = merged.collect();
    }
}

#[cfg(test)]
#[path = "arrivals_tests.rs"]
mod tests;
