//! The queue of deadlines of streams and attempts.

use super::Core;
use crate::core::{Answer, StreamId, UpstreamId};
use roselock::{Event, JobId, Micros, Outcome};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A deadline. Deadlines that are due at the same time fire in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// An attempt times out.
    Attempt(UpstreamId),
    /// An attempt has to leave the dial queue of its host.
    DialQueue(UpstreamId),
    /// A stream that the decision logic has not answered times out.
    Stream(StreamId),
}

/// The pending deadlines, earliest first. A deadline has no effect if its stream or attempt has ended by then.
#[derive(Default)]
pub(super) struct Deadlines {
    heap: BinaryHeap<Reverse<(Micros, Deadline)>>,
}

impl Deadlines {
    pub(super) fn add(&mut self, at: Micros, deadline: Deadline) {
        self.heap.push(Reverse((at, deadline)));
    }
    /// When the next deadline is due.
    pub(super) fn next_at(&self) -> Option<Micros> {
        let Reverse((at, _)) = self.heap.peek()?;
        Some(*at)
    }
    /// Removes the next deadline, if it is due.
    fn pop_due(&mut self, now: Micros) -> Option<Deadline> {
        if self.next_at()? > now {
            return None;
        }
        let Reverse((_, deadline)) = self.heap.pop()?;
        Some(deadline)
    }
}

impl Core {
    /// Ends the attempts and streams whose deadlines are due.
    pub(super) fn fire_deadlines(&mut self, now: Micros) {
        while let Some(deadline) = self.deadlines.pop_due(now) {
            match deadline {
                Deadline::Attempt(id) => self.abandon_attempt(id, Outcome::Timeout),
                Deadline::DialQueue(id) => self.leave_dial_queue(id),
                Deadline::Stream(id) => self.time_out_stream(id),
            }
        }
    }

    fn time_out_stream(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get_unanswered(id) else { return };
        let fleet = stream.fleet;
        self.answer(id, Answer::TimedOut);
        self.fleets[fleet].events.push(Event::ClientDisconnected(JobId(id)));
    }
}

#[cfg(test)]
#[path = "deadlines_tests.rs"]
mod tests;
