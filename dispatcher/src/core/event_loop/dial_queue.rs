//! The dial queues of upstream hosts. An attempt that finds no pooled connection and may not dial yet waits until a
//! connection becomes free or the dial limiter allows a new one. Nothing of it has been sent, so it may be cancelled at
//! any time.

use super::Core;
use super::deadlines::Deadline;
use super::fleets::{Host, HostId};
use super::idle_connections::connection_use;
use super::upstream_requests::PendingRequest;
use crate::core::pool::ConnectionUse;
use crate::core::{FleetId, RequestKind, UpstreamId, UpstreamRequest, clock};
use roselock::settings::fnv1a;
use roselock::{LoadReport, Micros, Outcome};
use roselock_dial_limiter::{DialLimits, rejected_recently};
use std::collections::BTreeSet;

/// Maximum number of attempts in the dial queue of one host. A further one is not sent, and the decision logic
/// schedules it again.
const MAX_QUEUED_ATTEMPTS: usize = 16;
/// Maximum time that an attempt is queued, in microseconds.
const MAX_QUEUE_TIME: Micros = 500_000;
/// How long after a dial failed for lack of a file descriptor it is retried, in microseconds.
const NO_CAPACITY_RETRY_DELAY: Micros = 20_000;
/// How many ticks before its deadline an attempt leaves the dial queue, so that the decision logic can schedule it
/// again while there is still time to answer that it never ran.
const TICKS_BEFORE_DEADLINE: Micros = 4;

/// The hosts whose dial queues are not empty.
pub(super) struct DialQueues {
    hosts: BTreeSet<HostId>,
    /// State of the random number generator for the jitter of the backoff after a rejection.
    jitter_state: u64,
}

impl DialQueues {
    pub(super) fn new(seed: u64) -> DialQueues {
        DialQueues { hosts: BTreeSet::new(), jitter_state: seed }
    }
    pub(super) fn hosts(&self) -> impl Iterator<Item = HostId> + '_ {
        self.hosts.iter().copied()
    }
    /// A random number in [0, 1).
    fn next_jitter(&mut self, now: Micros) -> f64 {
        self.jitter_state = fnv1a(&(self.jitter_state ^ now as u64).to_le_bytes());
        (self.jitter_state >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl Core {
    /// Limits new connections to the hosts of a fleet.
    pub fn set_dial_limits(&mut self, fleet: FleetId, limits: DialLimits) {
        self.fleets[fleet].dial_limits = Some(limits);
    }

    /// When a host with queued attempts may be dialled next; `None` while a connection is being opened in advance.
    pub(super) fn next_dial_at(&self, id: HostId) -> Option<Micros> {
        let fleet = &self.fleets[id.fleet];
        let now = clock::now();
        let host = fleet.hosts.get(&id.worker).filter(|host| !host.preconnecting)?;
        let first = host.dial_queue.front()?;
        let limits = fleet.dial_limits?;
        if fleet.has_dial_capacity(&first.kind) {
            Some(host.dial_limiter.next_dial_at(limits, now))
        } else {
            // Retried with the next input, or after this delay.
            Some(now + NO_CAPACITY_RETRY_DELAY)
        }
    }

    /// Puts an attempt into the dial queue of its host. Returns `None` if the queue is full.
    pub(super) fn join_dial_queue(
        &mut self,
        pending: PendingRequest,
        request: UpstreamRequest,
    ) -> Option<UpstreamId> {
        let host_id = pending.host;
        let fleet = &mut self.fleets[host_id.fleet];
        let host = fleet.hosts.get_mut(&host_id.worker)?;
        if host.dial_queue.len() >= MAX_QUEUED_ATTEMPTS {
            return None;
        }
        let latest = request.deadline - TICKS_BEFORE_DEADLINE * fleet.settings.tick;
        let leaves_at = (clock::now() + MAX_QUEUE_TIME).min(latest);
        self.deadlines.add(leaves_at, Deadline::DialQueue(request.id));
        host.dial_queue.push_back(request);
        self.dial_queues.hosts.insert(host_id);
        Some(self.upstreams.insert(PendingRequest { in_dial_queue: true, ..pending }))
    }

    /// Removes an attempt from its dial queue, if it is in one, and ends it. It never ran.
    pub(super) fn leave_dial_queue(&mut self, id: UpstreamId) {
        let Some(pending) = self.upstreams.get_mut(id) else { return };
        if !pending.in_dial_queue {
            return;
        }
        pending.in_dial_queue = false;
        if let Some(host) = self.fleets.host_mut(pending.host) {
            host.dial_queue.retain(|request| request.id != id);
        }
        self.end_attempt_without_report(id, Outcome::NotStarted);
        self.upstreams.remove_if_done(id);
    }

    /// Empties the dial queues of the hosts that meet the condition.
    pub(super) fn clear_dial_queues(&mut self, condition: impl Fn(&Host) -> bool) {
        let mut ids = Vec::new();
        for host in self.dial_queues.hosts().filter_map(|id| self.fleets.host(id)) {
            if condition(host) {
                ids.extend(host.dial_queue.iter().map(|request| request.id));
            }
        }
        for id in ids {
            self.leave_dial_queue(id);
        }
    }

    /// Starts the first attempts of a dial queue on pooled connections to its host.
    pub(super) fn assign_idle_connections(&mut self, host_id: HostId) {
        let now = clock::now();
        while let Some(first) = self.fleets.host(host_id).and_then(|host| host.dial_queue.front()) {
            let connection_use = connection_use(&self.fleets[host_id.fleet].settings, first.class);
            let Some(idle) = self.take_idle_connection(host_id, now, connection_use) else { return };
            let Some(host) = self.fleets.host_mut(host_id) else { return };
            let Some(request) = host.dial_queue.pop_front() else { return };
            let id = request.id;
            if !idle.connection.start(request.clone()) {
                host.dial_queue.push_front(request);
            } else if let Some(pending) = self.upstreams.get_mut(id) {
                pending.connection = Some(idle.connection);
                pending.reused_idle = Some(now - idle.idle_since);
                pending.in_dial_queue = false;
            }
        }
    }

    /// Dials for the queued attempts, as far as the dial limiters allow it.
    pub(super) fn serve_dial_queues(&mut self, now: Micros) {
        let hosts: Vec<HostId> = self.dial_queues.hosts().collect();
        for host_id in hosts {
            for _ in 0..MAX_QUEUED_ATTEMPTS {
                if self.next_dial_at(host_id).is_none_or(|at| at > now) {
                    break;
                }
                self.dial_for_first(host_id, now);
            }
            if self.fleets.host(host_id).is_none_or(|host| host.dial_queue.is_empty()) {
                self.dial_queues.hosts.remove(&host_id);
            }
        }
    }

    /// Dials for the first attempt in a dial queue. If the attempt must not run twice and connections were rejected
    /// recently, only a connection is opened, and the attempt stays queued until the host has accepted the connection.
    fn dial_for_first(&mut self, host_id: HostId, now: Micros) {
        let fleet = &mut self.fleets[host_id.fleet];
        let connect_by = now + fleet.settings.limits.connect_timeout;
        let Some(host) = fleet.hosts.get_mut(&host_id.worker) else { return };
        let Some(dialer) = &fleet.dialer else { return };
        let Some(limits) = fleet.dial_limits else { return };
        let Some(address) = host.address else { return };
        let Some(first) = host.dial_queue.front() else { return };
        host.dial_limiter.record_dial(limits, now);
        let must_not_run_twice = connection_use(&fleet.settings, first.class) == ConnectionUse::Once;
        if must_not_run_twice && rejected_recently(fleet.last_rejection, now) {
            host.preconnecting = true;
            return self.send_control(host_id, RequestKind::Preconnect, None, None);
        }
        let Some(request) = host.dial_queue.pop_front() else { return };
        let id = request.id;
        let connection = dialer.dial(address, UpstreamRequest { connect_by, ..request });
        if let Some(pending) = self.upstreams.get_mut(id) {
            pending.connection = Some(connection);
            pending.in_dial_queue = false;
        }
    }

    /// Handles the end of opening a connection in advance: it was accepted, it was rejected, or connecting failed. In
    /// the last case the attempt for which it was opened ends as if it had dialled itself.
    pub(super) fn finish_preconnect(&mut self, host_id: HostId, connect_failed: bool) {
        let Some(host) = self.fleets.host_mut(host_id) else { return };
        host.preconnecting = false;
        if !connect_failed {
            return;
        }
        let Some(request) = host.dial_queue.pop_front() else { return };
        if let Some(pending) = self.upstreams.get_mut(request.id) {
            pending.in_dial_queue = false;
        }
        self.end_attempt_without_report(request.id, Outcome::ConnectFailed);
        self.upstreams.remove_if_done(request.id);
    }

    /// Handles the rejection of a new connection: the host is alive, but has no capacity for another connection. An
    /// attempt of which nothing was written is queued again.
    pub(super) fn handle_connection_rejected(&mut self, id: UpstreamId, request_written: bool) {
        let jitter = self.dial_queues.next_jitter(clock::now());
        let Some(pending) = self.upstreams.get_mut(id) else { return };
        let host_id = pending.host;
        let fleet = &mut self.fleets[host_id.fleet];
        fleet.last_rejection = Some(clock::now());
        let Some(host) = fleet.hosts.get_mut(&host_id.worker) else { return };
        host.dial_limiter.record_rejected(clock::now(), jitter);
        if let Some(kind) = pending.control_kind.take() {
            if matches!(kind, RequestKind::HealthCheck) {
                self.report_health(host_id, false, LoadReport::default());
            }
            return;
        }
        if pending.concluded {
            return;
        }
        let is_limited = fleet.dial_limits.is_some();
        let is_available = host.is_ready() && !self.suspensions.workers.contains(&host_id.worker);
        let may_rejoin = is_limited && !request_written && !pending.withdrawal_requested && is_available;
        if !may_rejoin || !self.rejoin_dial_queue(id) {
            self.end_rejected_attempt(id, request_written, is_limited);
        }
    }

    /// Puts an attempt whose connection was rejected at the head of the dial queue of its host. Returns false if the
    /// queue is full or the stream needs no answer any more.
    fn rejoin_dial_queue(&mut self, id: UpstreamId) -> bool {
        let Some(pending) = self.upstreams.get_mut(id) else { return false };
        let Some(stream) = self.streams.get_unanswered(pending.stream) else { return false };
        let Some(host) = self.fleets.host_mut(pending.host) else { return false };
        if host.dial_queue.len() >= MAX_QUEUED_ATTEMPTS {
            return false;
        }
        pending.in_dial_queue = true;
        self.deadlines.add(clock::now() + MAX_QUEUE_TIME, Deadline::DialQueue(id));
        host.dial_queue.push_front(UpstreamRequest {
            id,
            kind: RequestKind::Run(stream.payload.clone()),
            decided_at: pending.sent_at,
            // Set when the attempt dials.
            connect_by: 0,
            begin_by: stream.begin_by,
            deadline: stream.deadline,
            class: Some(stream.class.0 as usize),
        });
        self.dial_queues.hosts.insert(pending.host);
        true
    }

    fn end_rejected_attempt(&mut self, id: UpstreamId, request_written: bool, is_limited: bool) {
        let outcome = match (request_written, is_limited) {
            (true, true) => Outcome::Cancelled,
            (true, false) => Outcome::Reset,
            (false, true) => Outcome::NotStarted,
            (false, false) => Outcome::ConnectFailed,
        };
        if outcome == Outcome::Reset {
            self.mark_late_report_possible(id);
        }
        self.end_attempt_without_report(id, outcome);
    }
}

#[cfg(test)]
#[path = "dial_queue_tests.rs"]
mod tests;
