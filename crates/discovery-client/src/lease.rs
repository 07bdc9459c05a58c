//! The lease on the endpoint list: how long the list may be acted on without contact with the discovery service (C. Gray and
//! D. Cheriton, *Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency*, 1989). An open
//! watch renews it.
//!
//! While the discovery service can be reached, a change that it knows counts as notified after a fixed time, received or not.
//! A dispatcher that was out of contact for that long might send to a worker that is draining or gone, so it sends no new
//! requests while the lease is expired. The lease is renewed by a watch event, or by a call that shows that the discovery
//! service cannot be reached: an outage of the discovery service must not stop the work.

use crate::poll_schedule::{
    EXPECTED_CALL_TIME, Micros, NOTIFICATION_DEADLINE, WATCH_TIMEOUT, WatchEnd, WatchEndReason,
};

/// Time from a move of the discovery service until the changes that it knows count as notified, in microseconds.
const NOTIFICATION_DEADLINE_AFTER_MOVE: Micros = 4_000_000;
/// Connect timeouts up to this long, in microseconds, don't shorten the lease term. A change that counts as notified must be
/// respected 0.5 s later; this is less by the 0.15 s for which a dispatcher may be delayed before it writes, and by a margin.
const CONNECT_SLACK: Micros = 300_000;
/// Weight of a refused call, or of a failed connection attempt, as evidence that the discovery service cannot be reached.
const REFUSAL_EVIDENCE: u8 = 2;
/// Weight of a call without a response, as evidence that the discovery service cannot be reached.
const TIMEOUT_EVIDENCE: u8 = 1;
/// Evidence required before a list that was never confirmed is acted on.
const REQUIRED_EVIDENCE_AT_START: u8 = 2;
/// Evidence required before a list that was not confirmed since a move of the discovery service is acted on.
const REQUIRED_EVIDENCE_AFTER_MOVE: u8 = 4;

/// The lease on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLease {
    /// How long the list may be acted on after it was in sync; `None`: without limit.
    term: Option<Micros>,
    /// When the lease expires: [`Micros::MAX`] while the watch is open, [`Micros::MIN`] before the first watch event.
    expires_at: Micros,
    /// The evidence that is still required before failed calls renew the lease.
    required_evidence: u8,
    /// The time up to which the list was in sync with the service, if the watch has ended since.
    watch_ended_at: Option<Micros>,
}

/// How long a list may be acted on after it was in sync. Connections take up to `connect_timeout` microseconds to be
/// established.
fn lease_term(connect_timeout: Micros) -> Micros {
    NOTIFICATION_DEADLINE - (connect_timeout - CONNECT_SLACK).clamp(0, NOTIFICATION_DEADLINE / 2)
}

impl ListLease {
    /// A lease that never expires, for sites where a change counts as notified only if it was received.
    #[must_use]
    pub fn unlimited() -> ListLease {
        ListLease { term: None, expires_at: Micros::MAX, required_evidence: 0, watch_ended_at: None }
    }

    /// The lease of a process whose only list was cached before its start. A long `connect_timeout`, in microseconds,
    /// shortens its term.
    #[must_use]
    pub fn unconfirmed(connect_timeout: Micros) -> ListLease {
        ListLease {
            term: Some(lease_term(connect_timeout)),
            expires_at: Micros::MIN,
            required_evidence: REQUIRED_EVIDENCE_AT_START,
            watch_ended_at: None,
        }
    }

    /// The same, but the cached list may be acted on, with care, until the discovery service has answered.
    #[must_use]
    pub fn trusted(connect_timeout: Micros) -> ListLease {
        ListLease { expires_at: Micros::MAX, required_evidence: 0, ..ListLease::unconfirmed(connect_timeout) }
    }

    /// Sets the longest time that connections take to be established from now on, in microseconds.
    pub fn set_connect_timeout(&mut self, connect_timeout: Micros) {
        self.term = self.term.map(|_| lease_term(connect_timeout));
    }

    /// Whether the list may be acted on at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.expires_at
    }

    /// When the lease expires, or has expired; `None` while it has no end, and before it was first valid.
    #[must_use]
    pub fn expires_at(&self) -> Option<Micros> {
        let has_end = self.expires_at > Micros::MIN && self.expires_at < Micros::MAX;
        has_end.then_some(self.expires_at)
    }

    /// Records a watch event: the watch is open.
    pub fn renew(&mut self) {
        self.expires_at = Micros::MAX;
        self.required_evidence = 0;
        self.watch_ended_at = None;
    }

    /// The latest time at which the list is known to have been in sync with the service. While the watch is open, this is
    /// [`WATCH_TIMEOUT`] ago, as a silent watch is detected within that time; afterwards, it is the time that the end of the
    /// watch reported. A list under an unlimited lease depends on no other clock: it counts as always in sync, so there is no
    /// lower bound ([`Micros::MIN`]).
    #[must_use]
    pub fn in_sync_at(&self, now: Micros) -> Micros {
        match self.term {
            None => Micros::MIN,
            Some(_) => self.watch_ended_at.unwrap_or(now - WATCH_TIMEOUT),
        }
    }

    /// Records the end of the watch, or of the call that opens one; the next call is made at `next_call`.
    pub fn watch_ended(&mut self, end: WatchEnd, next_call: Micros) {
        self.watch_ended_at.get_or_insert(end.in_sync_until);
        let Some(term) = self.term else { return };
        let renewed = end.in_sync_until + term;
        if end.reason == WatchEndReason::LocalFailure {
            // A local failure is no evidence about the service, so it doesn't renew the lease.
            self.expires_at = self.expires_at.min(renewed);
            return;
        }
        let evidence =
            if end.reason == WatchEndReason::TimedOut { TIMEOUT_EVIDENCE } else { REFUSAL_EVIDENCE };
        self.required_evidence = self.required_evidence.saturating_sub(evidence);
        if self.required_evidence > 0 {
            return;
        }
        let watch_was_open = self.expires_at == Micros::MAX;
        self.expires_at = if watch_was_open { renewed } else { self.expires_at.max(renewed) };
        // The next call to an overloaded service is delayed on purpose: the list stays in use until that call is answered.
        if next_call > renewed {
            self.expires_at = self.expires_at.max(next_call + EXPECTED_CALL_TIME);
        }
    }

    /// Records that the operators moved the discovery service at `now`.
    pub fn discovery_moved(&mut self, now: Micros) {
        if self.term.is_some() {
            self.expires_at = self.expires_at.min(now + NOTIFICATION_DEADLINE_AFTER_MOVE);
            self.required_evidence = REQUIRED_EVIDENCE_AFTER_MOVE;
        }
    }
}
