//! For how long the endpoint list may be acted on without hearing from the list service: a lease in the sense of C. Gray and
//! D. Cheriton (*Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency*, 1989), with the
//! open watch as its renewal.
//!
//! A change that the list service knows while it can be reached counts as notified after a fixed time, received or not. A
//! dispatcher that has heard nothing for that long may be about to send to a worker that is draining or gone. So nothing new is
//! sent while the lease is expired. It is renewed by a watch event, or by a call that shows that the list service cannot be
//! reached: a list service that is down must not stop the work.

use crate::poll_schedule::{
    EXPECTED_CALL_TIME, Micros, NOTIFICATION_DEADLINE, WATCH_TIMEOUT, WatchEnd, WatchEndReason,
};

/// Time after a move of the list service after which the changes that it knows count as notified, in microseconds.
const NOTIFICATION_DEADLINE_AFTER_MOVE: Micros = 4_000_000;
/// A connection may be established this long after the decision to send, in microseconds, without shortening the term: a
/// change that counts as notified must be respected 0.5 s later, less the 0.15 s by which a dispatcher may be delayed before
/// it writes, and a margin.
const CONNECT_SLACK: Micros = 300_000;
/// Evidence that the list service cannot be reached: of a call that it refused or that no connection was established for.
const REFUSED_WEIGHT: u8 = 2;
/// The same: of a call that got no response.
const SILENT_WEIGHT: u8 = 1;
/// Evidence required before a list that was never confirmed is acted on.
const EVIDENCE_AT_START: u8 = 2;
/// Evidence required before a list that was not confirmed since a move of the list service is acted on.
const EVIDENCE_AFTER_MOVE: u8 = 4;

/// The lease on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLease {
    /// How long the list may be acted on after it was in sync; `None`: for ever.
    term: Option<Micros>,
    /// When it expires: [`Micros::MAX`] while the watch is open, [`Micros::MIN`] before the first watch event.
    expires_at: Micros,
    /// The evidence that is still required before failed calls renew it.
    required_evidence: u8,
    /// The time up to which the list was in sync with the service, if the watch has ended since.
    watch_ended_at: Option<Micros>,
}

/// How long a list may be acted on after it was in sync, where connections take up to `connect_timeout` to be established.
fn term(connect_timeout: Micros) -> Micros {
    NOTIFICATION_DEADLINE - (connect_timeout - CONNECT_SLACK).clamp(0, NOTIFICATION_DEADLINE / 2)
}

impl ListLease {
    /// A lease that never expires, for sites where no change counts as notified unless it was received.
    #[must_use]
    pub fn unlimited() -> ListLease {
        ListLease { term: None, expires_at: Micros::MAX, required_evidence: 0, watch_ended_at: None }
    }

    /// The lease of a process that has only a list cached before its start. Connections that take up to `connect_timeout`
    /// microseconds to be established shorten its term.
    #[must_use]
    pub fn unconfirmed(connect_timeout: Micros) -> ListLease {
        ListLease {
            term: Some(term(connect_timeout)),
            expires_at: Micros::MIN,
            required_evidence: EVIDENCE_AT_START,
            watch_ended_at: None,
        }
    }

    /// The same where a cached list may be acted on, with care, until the list service has answered.
    #[must_use]
    pub fn trusted(connect_timeout: Micros) -> ListLease {
        ListLease { expires_at: Micros::MAX, required_evidence: 0, ..ListLease::unconfirmed(connect_timeout) }
    }

    /// Sets the time that connections may take to be established from now on, in microseconds.
    pub fn set_connect_timeout(&mut self, connect_timeout: Micros) {
        self.term = self.term.map(|_| term(connect_timeout));
    }

    /// Whether the list may be acted on at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.expires_at
    }

    /// Records a watch event: the watch is open.
    pub fn renew(&mut self) {
        self.expires_at = Micros::MAX;
        self.required_evidence = 0;
        self.watch_ended_at = None;
    }

    /// The latest time up to which the list is known to have been in sync with the service. An open watch that falls silent is
    /// detected within a bounded time, and the end of a watch says up to when it was in sync. A list under an unlimited lease
    /// depends on no other clock: it always was.
    #[must_use]
    pub fn in_sync_at(&self, now: Micros) -> Micros {
        match self.term {
            None => Micros::MIN,
            Some(_) => self.watch_ended_at.unwrap_or(now - WATCH_TIMEOUT),
        }
    }

    /// Records the end of the watch, or of the call for one; the next call is made at `next_call`.
    pub fn watch_ended(&mut self, end: WatchEnd, next_call: Micros) {
        self.watch_ended_at.get_or_insert(end.in_sync_until);
        let Some(term) = self.term else { return };
        let renewed = end.in_sync_until + term;
        if end.reason == WatchEndReason::LocalFailure {
            // It is no evidence about the service: the list is as old as it was.
            self.expires_at = self.expires_at.min(renewed);
            return;
        }
        let weight = if end.reason == WatchEndReason::Silent { SILENT_WEIGHT } else { REFUSED_WEIGHT };
        self.required_evidence = self.required_evidence.saturating_sub(weight);
        if self.required_evidence > 0 {
            return;
        }
        let watch_was_open = self.expires_at == Micros::MAX;
        self.expires_at = if watch_was_open { renewed } else { self.expires_at.max(renewed) };
        // An overloaded service is called late on purpose: the list stays in use until that call is answered.
        if next_call > renewed {
            self.expires_at = self.expires_at.max(next_call + EXPECTED_CALL_TIME);
        }
    }

    /// Records that the operators moved the list service at `now`.
    pub fn discovery_moved(&mut self, now: Micros) {
        if self.term.is_some() {
            self.expires_at = self.expires_at.min(now + NOTIFICATION_DEADLINE_AFTER_MOVE);
            self.required_evidence = EVIDENCE_AFTER_MOVE;
        }
    }
}
