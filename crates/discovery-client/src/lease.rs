//! How long the list of workers may be acted on without a word of the list service: a lease in the sense of C. Gray and
//! D. Cheriton (*Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency*, 1989), with the
//! open watch as its renewal.
//!
//! What changes while the list service can be reached counts as told after a fixed time, heard or not. A dispatcher that
//! has not heard for that long may be about to send to a worker that drains or is gone. So nothing new is sent while the
//! lease has run out, and it is renewed by a word of the service, or by a call that shows that the service cannot be
//! reached: a service that is down must not stop the work.

use crate::poll_schedule::{
    EXPECTED_CALL_TIME, Micros, NOTIFICATION_DEADLINE, WATCH_TIMEOUT, WatchEnd, WatchEndReason,
};

/// After the operators have moved the list service, what it knows counts as told so soon.
const NOTIFICATION_DEADLINE_AFTER_MOVE: Micros = 4_000_000;
/// A connection may come up so long after the decision to send: what counts as told has to be heeded 0.5 s later, less the
/// 0.15 s by which a dispatcher may be held up before it writes, and a little.
const CONNECT_SLACK: Micros = 300_000;
/// How much a failed call weighs as a proof that the service cannot be reached: one that it refused or that no connection
/// came up for, and one that stayed silent.
const REFUSED_WEIGHT: u8 = 2;
const SILENT_WEIGHT: u8 = 1;
/// The proof that is wanted before a list that was never confirmed, or not since a move, is acted on.
const EVIDENCE_AT_START: u8 = 2;
const EVIDENCE_AFTER_MOVE: u8 = 4;

/// The lease on the list of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLease {
    /// How long the list may be acted on after it was in step; none, and it always may.
    term: Option<Micros>,
    /// Runs out then: at the latest moment of all while the watch is open, at the earliest before the first word.
    expires_at: Micros,
    /// The proof that is still wanted before failed calls renew it.
    required_evidence: u8,
    /// The list was in step with the service up to then, if the watch has ended since.
    watch_ended_at: Option<Micros>,
}

/// How long a list may be acted on after it was in step, where connections take up to `connect` to come up.
fn term(connect: Micros) -> Micros {
    NOTIFICATION_DEADLINE - (connect - CONNECT_SLACK).clamp(0, NOTIFICATION_DEADLINE / 2)
}

impl ListLease {
    /// A lease that never runs out, where nothing counts as told unheard.
    pub fn unlimited() -> ListLease {
        ListLease { term: None, expires_at: Micros::MAX, required_evidence: 0, watch_ended_at: None }
    }

    /// The lease of a process that has only a list of before its start. Connections that take up to `connect` to come up
    /// shorten its term.
    pub fn unconfirmed(connect: Micros) -> ListLease {
        ListLease {
            term: Some(term(connect)),
            expires_at: Micros::MIN,
            required_evidence: EVIDENCE_AT_START,
            watch_ended_at: None,
        }
    }

    /// The same where a list of before the start is acted on with care until the list service has answered.
    pub fn trusted(connect: Micros) -> ListLease {
        ListLease { expires_at: Micros::MAX, required_evidence: 0, ..ListLease::unconfirmed(connect) }
    }

    /// Connections take up to `connect` to come up from now on.
    pub fn set_connect_timeout(&mut self, connect: Micros) {
        self.term = self.term.map(|_| term(connect));
    }

    /// Whether the list may be acted on.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.expires_at
    }

    /// The list service has told something on a watch, which is open now.
    pub fn renew(&mut self) {
        self.expires_at = Micros::MAX;
        self.required_evidence = 0;
        self.watch_ended_at = None;
    }

    /// A moment up to which the list was in step with the service: an open watch that falls silent is noticed within a
    /// bounded time, and one that has ended tells up to when it was. A list that nobody else's clock speaks in always was.
    pub fn in_sync_at(&self, now: Micros) -> Micros {
        match self.term {
            None => Micros::MIN,
            Some(_) => self.watch_ended_at.unwrap_or(now - WATCH_TIMEOUT),
        }
    }

    /// The watch, or the call for one, ended; the next call is made at `next_call`.
    pub fn watch_ended(&mut self, end: WatchEnd, next_call: Micros) {
        self.watch_ended_at.get_or_insert(end.in_sync_until);
        let Some(term) = self.term else { return };
        if end.reason == WatchEndReason::LocalFailure {
            // No sign of the service: the list is as old as it was.
            self.expires_at = self.expires_at.min(end.in_sync_until + term);
            return;
        }
        let weight = if end.reason == WatchEndReason::Silent { SILENT_WEIGHT } else { REFUSED_WEIGHT };
        self.required_evidence = self.required_evidence.saturating_sub(weight);
        if self.required_evidence > 0 {
            return;
        }
        let renewed = end.in_sync_until + term;
        let before = if self.expires_at == Micros::MAX { renewed } else { self.expires_at.max(renewed) };
        // A service with too many callers is given time on purpose: the list is kept in use until the next call.
        self.expires_at =
            if next_call > renewed { before.max(next_call + EXPECTED_CALL_TIME) } else { before };
    }

    /// The operators have moved the list service.
    pub fn discovery_moved(&mut self, now: Micros) {
        if self.term.is_some() {
            self.expires_at = self.expires_at.min(now + NOTIFICATION_DEADLINE_AFTER_MOVE);
            self.required_evidence = EVIDENCE_AFTER_MOVE;
        }
    }
}
