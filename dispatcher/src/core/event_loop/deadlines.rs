//! Deadlines of streams and attempts, earliest first.

use super::Core;
use crate::core::{Answer, StreamId, UpstreamId};
use roselock::{Event, JobId, Micros, Outcome};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is due at some time. Of those that are due at the same time the variants come in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// An attempt times out.
    Attempt(UpstreamId),
    /// An attempt has waited long enough in the dial queue of its host.
    DialQueue(UpstreamId),
    /// A stream times out that the decisions have not answered.
    Stream(StreamId),
}

/// The deadlines to come. One whose stream or attempt has ended by then has no effect.
#[derive(Default)]
pub(super) struct Deadlines {
    heap: BinaryHeap<Reverse<(Micros, Deadline)>>,
}

impl Deadlines {
    pub(super) fn add(&mut self, at: Micros, deadline: Deadline) {
        self.heap.push(Reverse((at, deadline)));
    }
    /// When the next one is due.
    pub(super) fn next_at(&self) -> Option<Micros> {
        let Reverse((at, _)) = self.heap.peek()?;
        Some(*at)
    }
    /// Removes the next one, if it is due.
    fn pop_due(&mut self, now: Micros) -> Option<Deadline> {
        if self.next_at()? > now {
            return None;
        }
        let Reverse((_, deadline)) = self.heap.pop()?;
        Some(deadline)
    }
}

impl Core {
    /// Ends what is due.
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
