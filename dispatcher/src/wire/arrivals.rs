//! When the bytes of a buffer were read: a request counts from its last byte, which may have come long before its turn does.

use roselock::Micros;
use std::collections::VecDeque;

/// Bytes that were read within this span count as read together, at the time of the first of them.
const TOGETHER: Micros = 10_000;
/// Most times that are kept; where there are more, neighbours are merged.
const MOST: usize = 1024;

/// The bytes up to an offset were read by a time, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    end: usize,
    at: Micros,
}

/// The times at which the bytes of a buffer were read, oldest first.
#[derive(Debug, Default)]
pub struct Arrivals {
    times: VecDeque<Arrival>,
    /// When the last byte that was consumed had been read.
    consumed: Micros,
}

impl Arrivals {
    /// The buffer is `len` bytes long now; those that are new were read at `now`.
    pub fn extend(&mut self, len: usize, now: Micros) {
        let known = self.times.back().map_or(0, |last| last.end);
        if len <= known {
            return;
        }
        match self.times.back_mut().filter(|last| now - last.at < TOGETHER) {
            Some(last) => last.end = len,
            None => self.times.push_back(Arrival { end: len, at: now }),
        }
        if self.times.len() > MOST {
            self.merge();
        }
    }

    /// The first `bytes` leave the buffer.
    pub fn consume(&mut self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        while let Some(first) = self.times.front_mut() {
            self.consumed = first.at;
            if first.end > bytes {
                break;
            }
            let end = first.end;
            self.times.pop_front();
            if end == bytes {
                break;
            }
        }
        self.times.iter_mut().for_each(|arrival| arrival.end -= bytes);
    }

    /// When the last byte that left the buffer had been read.
    pub fn consumed(&self) -> Micros {
        self.consumed
    }

    /// When the first byte of the buffer was read, if there is one.
    pub fn first(&self) -> Option<Micros> {
        self.times.front().map(|first| first.at)
    }

    /// Merges neighbours, at the earlier time of both: nothing counts as read later than it was.
    fn merge(&mut self) {
        let merged = self.times.make_contiguous().chunks(2);
        self.times = merged.map(|pair| Arrival { end: pair[pair.len() - 1].end, at: pair[0].at }).collect();
    }
}

#[cfg(test)]
#[path = "arrivals_tests.rs"]
mod tests;
