//! The queue of deadlines of streams and attempts.

use super::Core;
use crate::core::{Answer, StreamId, UpstreamId};
use roselock::{Event, JobId, Micros, Outcome};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Queues up to this length are not searched for entries of what has ended.
const MIN_SEARCHED_LENGTH: usize = 1024;
/// Longer ones are searched when they have more than this many entries for each stream and attempt.
const MAX_ENTRIES_EACH: usize = 8;

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
    /// Removes the deadlines that are not live, if they are most of the queue. A client may wait for an hour, so the deadlines of
    /// requests that ended at once would pile up until then.
    fn remove_ended(&mut self, live_count: usize, is_live: impl Fn(Deadline) -> bool) {
        if is_mostly_ended(self.heap.len(), live_count) {
            self.heap.retain(|Reverse((_, deadline))| is_live(*deadline));
        }
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

/// Whether most entries of a queue are of streams and attempts that have ended, of which `live_count` have not.
fn is_mostly_ended(length: usize, live_count: usize) -> bool {
    length > MIN_SEARCHED_LENGTH.max(live_count * MAX_ENTRIES_EACH)
}

impl Core {
    /// Removes deadlines, and timers of the decision logic, of streams and attempts that have ended, if there are many.
    pub(super) fn remove_ended_deadlines(&mut self) {
        let (streams, upstreams) = (&self.streams, &self.upstreams);
        let live_count = streams.by_id.len() + upstreams.by_id.len();
        self.deadlines.remove_ended(live_count, |deadline| match deadline {
            Deadline::Attempt(id) | Deadline::DialQueue(id) => upstreams.open_attempt(id).is_some(),
            Deadline::Stream(id) => streams.get_unanswered(id).is_some(),
        });
        for fleet in self.fleets.iter_mut() {
            if is_mostly_ended(fleet.timers.len(), live_count) {
                // The timer of a job has the job's id as its token; the decision logic's own ones are larger.
                let is_ended =
                    |token| StreamId::try_from(token).is_ok_and(|stream| streams.get(stream).is_none());
                fleet.timers.retain(|Reverse((_, token))| !is_ended(*token));
            }
        }
    }

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
