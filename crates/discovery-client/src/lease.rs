//! How long the list of workers may be acted on without a word of the list service: a lease in the sense of C. Gray and
//! D. Cheriton (*Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency*, 1989), with the
//! open watch as its renewal.
//!
//! What changes while the list service can be reached counts as told after a fixed time, heard or not. A dispatcher that
//! has not heard for that long may be about to send to a worker that drains or is gone. So nothing new is sent while the
//! lease has run out, and it is renewed by a word of the service, or by a call that shows that the service cannot be
//! reached: a service that is down must not stop the work.

use crate::poll_schedule::{ANSWER, EndReason, Micros, SILENCE, TOLD, WatchEnd};

/// After the operators have moved the list service, what it knows counts as told so soon.
const TOLD_AFTER_MOVE: Micros = 4_000_000;
/// A connection may come up so long after the decision to send: what counts as told has to be heeded 0.5 s later, less the
/// 0.15 s by which a dispatcher may be held up before it writes, and a little.
const CONNECT_SLACK: Micros = 300_000;
/// How much a failed call weighs as a proof that the service cannot be reached: one that it refused or that no connection
/// came up for, and one that stayed silent.
const REFUSED_WEIGHT: u8 = 2;
const SILENT_WEIGHT: u8 = 1;
/// The proof that is wanted before a list that was never confirmed, or not since a move, is acted on.
const PROOF_AT_START: u8 = 2;
const PROOF_AFTER_MOVE: u8 = 4;

/// The lease on the list of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLease {
    /// How long the list may be acted on after it was in step; none, and it always may.
    term: Option<Micros>,
    /// Runs out then: at the latest moment of all while the watch is open, at the earliest before the first word.
    until: Micros,
    /// The proof that is still wanted before failed calls renew it.
    wanted: u8,
    /// The list was in step with the service up to then, if the watch has ended since.
    ended_at: Option<Micros>,
}

/// How long a list may be acted on after it was in step, where connections take up to `connect` to come up.
fn term(connect: Micros) -> Micros {
    TOLD - (connect - CONNECT_SLACK).clamp(0, TOLD / 2)
}

impl ListLease {
    /// A lease that never runs out, where nothing counts as told unheard.
    pub fn unlimited() -> ListLease {
        ListLease { term: None, until: Micros::MAX, wanted: 0, ended_at: None }
    }

    /// The lease of a process that has only a list of before its start. Connections that take up to `connect` to come up
    /// shorten its term.
    pub fn unconfirmed(connect: Micros) -> ListLease {
        ListLease { term: Some(term(connect)), until: Micros::MIN, wanted: PROOF_AT_START, ended_at: None }
    }

    /// The same where a list of before the start is acted on with care until the list service has answered.
    pub fn trusted(connect: Micros) -> ListLease {
        ListLease { until: Micros::MAX, wanted: 0, ..ListLease::unconfirmed(connect) }
    }

    /// Connections take up to `connect` to come up from now on.
    pub fn set_connect_timeout(&mut self, connect: Micros) {
        self.term = self.term.map(|_| term(connect));
    }

    /// Whether the list may be acted on.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.until
    }

    /// The list service has told something on a watch, which is open now.
    pub fn renewed(&mut self) {
        self.until = Micros::MAX;
        self.wanted = 0;
        self.ended_at = None;
    }

    /// A moment up to which the list was in step with the service: an open watch that falls silent is noticed within a
    /// bounded time, and one that has ended tells up to when it was. A list that nobody else's clock speaks in always was.
    pub fn in_step_at(&self, now: Micros) -> Micros {
        match self.term {
            None => Micros::MIN,
            Some(_) => self.ended_at.unwrap_or(now - SILENCE),
        }
    }

    /// The watch, or the call for one, ended; the next call is made at `next_call`.
    pub fn watch_ended(&mut self, end: WatchEnd, next_call: Micros) {
        self.ended_at.get_or_insert(end.as_of);
        let Some(term) = self.term else { return };
        if end.reason == EndReason::Local {
            // No sign of the service: the list is as old as it was.
            self.until = self.until.min(end.as_of + term);
            return;
        }
        let weight = if end.reason == EndReason::Silent { SILENT_WEIGHT } else { REFUSED_WEIGHT };
        self.wanted = self.wanted.saturating_sub(weight);
        if self.wanted > 0 {
            return;
        }
        let renewed = end.as_of + term;
        let before = if self.until == Micros::MAX { renewed } else { self.until.max(renewed) };
        // A service with too many callers is given time on purpose: the list is kept in use until the next call.
        self.until = if next_call > renewed { before.max(next_call + ANSWER) } else { before };
    }

    /// The operators have moved the list service.
    pub fn moved(&mut self, now: Micros) {
        if self.term.is_some() {
            self.until = self.until.min(now + TOLD_AFTER_MOVE);
            self.wanted = PROOF_AFTER_MOVE;
        }
    }
}
