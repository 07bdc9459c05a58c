//! The dial queues of upstream hosts: attempts that find no kept connection, and may not dial yet, wait for a
//! connection that becomes free or for the dial limiter. Nothing of them has been sent, so they may be cancelled at any
//! time.

use super::*;
use roselock_dial_limiter::rejected_recently;

/// Most attempts that wait for one host; one more is not sent, and the decisions place it anew.
const MAX_QUEUED: usize = 16;
/// How long one waits.
const MAX_WAIT: Micros = 500_000;
/// How soon a dial that finds no descriptor to spare is tried again.
const RETRY: Micros = 20_000;

impl Core {
    /// Limits new connections to a fleet's hosts.
    pub fn set_dial_limits(&mut self, f: FleetId, limits: DialLimits) {
        self.fleets[f].dial_limits = Some(limits);
    }

    /// When a host with a dial queue may be dialled next; never while a connection is opened ahead.
    pub(super) fn next_dial_at(&self, (f, worker): (FleetId, WorkerId)) -> Option<Micros> {
        let (fleet, now) = (&self.fleets[f], clock::now());
        let host = fleet.hosts.get(&worker).filter(|h| !h.preconnecting && !h.dial_queue.is_empty())?;
        let next = host.dial_limiter.next_dial_at(fleet.dial_limits?, now);
        // Without a descriptor to spare it is tried again with the next input, or after a while.
        Some(if fleet.dialer.as_ref().is_some_and(|d| d.has_capacity(&host.dial_queue[0].ask)) {
            next
        } else {
            now + RETRY
        })
    }

    /// Puts an attempt into the dial queue of its host; false if that is full.
    pub(super) fn join_dial_queue(&mut self, up: Upstream, request: UpstreamRequest) -> bool {
        let fleet = &mut self.fleets[up.fleet];
        let Some(host) = fleet.hosts.get_mut(&up.host).filter(|h| h.dial_queue.len() < MAX_QUEUED) else {
            return false;
        };
        // The decisions place it anew while there is time to answer that it never ran.
        let leaves_at = (clock::now() + MAX_WAIT).min(request.deadline - 4 * fleet.set.tick);
        self.due.push(Reverse((leaves_at, Due::DialQueue(request.id))));
        host.dial_queue.push_back(request);
        self.dial_queues.insert((up.fleet, up.host));
        self.upstreams.insert(self.next_upstream, Upstream { waits: true, ..up });
        self.next_upstream += 1;
        true
    }

    /// Takes an attempt out of its dial queue: it never ran.
    pub(super) fn leave_dial_queue(&mut self, id: UpstreamId) {
        let Some(up) = self.upstreams.get_mut(&id).filter(|u| u.waits) else { return };
        let (f, worker) = (up.fleet, up.host);
        up.waits = false;
        self.fleets[f].hosts.get_mut(&worker).iter_mut().for_each(|h| h.dial_queue.retain(|r| r.id != id));
        self.end(id, Outcome::NotStarted, LoadReport::default(), Vec::new());
        self.drop_upstream(id);
    }

    /// Empties the dial queues of such hosts.
    pub(super) fn clear_dial_queues(&mut self, of: impl Fn(&Host) -> bool) {
        let hosts =
            self.dial_queues.iter().filter_map(|(f, w)| self.fleets[*f].hosts.get(w)).filter(|h| of(h));
        let ids: Vec<UpstreamId> = hosts.flat_map(|h| h.dial_queue.iter().map(|r| r.id)).collect();
        ids.into_iter().for_each(|id| self.leave_dial_queue(id));
    }

    /// Puts the first attempts of a dial queue on the connections that are kept to its host.
    pub(super) fn assign_idle_connections(&mut self, f: FleetId, worker: WorkerId) {
        let now = clock::now();
        loop {
            let fleet = &mut self.fleets[f];
            let Some(host) = fleet.hosts.get_mut(&worker).filter(|h| !h.dial_queue.is_empty()) else {
                return;
            };
            let need = need(&fleet.set, host.dial_queue[0].class);
            let Some((since, link)) = host.pool.take(now, fleet.trust.since(now, need), need) else { return };
            let Some(request) = host.dial_queue.pop_front() else { return };
            let id = request.id;
            let started = link.start(request.clone());
            if !started {
                host.dial_queue.push_front(request);
            } else if let Some(up) = self.upstreams.get_mut(&id) {
                (up.link, up.idle, up.waits) = (Some(link), Some(now - since), false);
            }
        }
    }

    /// Dials for the attempts that wait, where the dial limiters allow it.
    pub(super) fn serve_dial_queues(&mut self, now: Micros) {
        let queues: Vec<_> = self.dial_queues.iter().copied().collect();
        for (f, worker) in queues {
            for _ in 0..MAX_QUEUED {
                if self.next_dial_at((f, worker)).is_none_or(|at| at > now) {
                    break;
                }
                self.dial_next(f, worker, now);
            }
            if self.fleets[f].hosts.get(&worker).is_none_or(|h| h.dial_queue.is_empty()) {
                self.dial_queues.remove(&(f, worker));
            }
        }
    }

    /// Dials for the first attempt in a dial queue. For what must not run twice a connection is opened ahead, if some
    /// were rejected recently.
    fn dial_next(&mut self, f: FleetId, worker: WorkerId, now: Micros) {
        let fleet = &mut self.fleets[f];
        let connect_by = now + fleet.set.limits.connect_timeout;
        let parts = (fleet.hosts.get_mut(&worker), &fleet.dialer, fleet.dial_limits);
        let (Some(host), Some(dialer), Some(limits)) = parts else { return };
        let (Some(endpoint), Some(first)) = (host.endpoint, host.dial_queue.front()) else { return };
        host.dial_limiter.record_dial(limits, now);
        if rejected_recently(fleet.closed, now) && need(&fleet.set, first.class) == Need::Once {
            host.preconnecting = true;
            return self.send_control(f, worker, RequestKind::Preconnect, None, None);
        }
        let Some(mut request) = host.dial_queue.pop_front() else { return };
        request.connect_by = connect_by;
        let id = request.id;
        let link = dialer.dial(endpoint, request);
        if let Some(up) = self.upstreams.get_mut(&id) {
            (up.link, up.waits) = (Some(link), false);
        }
    }

    /// A connection that was opened ahead is up or was rejected; or it was `refused`: then the attempt that it was for
    /// ends as if it had dialled.
    pub(super) fn preconnected(&mut self, f: FleetId, worker: WorkerId, refused: bool) {
        let Some(host) = self.fleets[f].hosts.get_mut(&worker) else { return };
        host.preconnecting = false;
        let first = if refused { host.dial_queue.pop_front() } else { None };
        let Some(request) = first else { return };
        self.upstreams.entry(request.id).and_modify(|u| u.waits = false);
        self.end(request.id, Outcome::ConnectFailed, LoadReport::default(), Vec::new());
        self.drop_upstream(request.id);
    }

    /// A host has rejected a new connection: it lives, and has none to spare. What was not written waits on.
    pub(super) fn connection_rejected(&mut self, id: UpstreamId, written: bool) {
        self.drawn = roselock::settings::fnv(&(self.drawn ^ clock::now() as u64).to_le_bytes());
        let jitter = (self.drawn >> 11) as f64 / (1_u64 << 53) as f64;
        let Some(up) = self.upstreams.get_mut(&id) else { return };
        let (f, worker, stream) = (up.fleet, up.host, up.stream);
        let limited = self.fleets[f].dial_limits.is_some();
        self.fleets[f].closed = Some(clock::now());
        let Some(host) = self.fleets[f].hosts.get_mut(&worker) else { return };
        host.dial_limiter.record_rejected(clock::now(), jitter);
        if let Some(ask) = up.control.take() {
            if matches!(ask, RequestKind::HealthCheck) {
                self.probe_failed(f, worker);
            }
            return;
        }
        if up.ended {
            return;
        }
        let waits = limited && !written && !up.quit && host.entry.state == EndpointState::Ready;
        let waiting =
            self.streams.get(&stream).filter(|s| waits && !s.answered && host.dial_queue.len() < MAX_QUEUED);
        let Some(stream) = waiting else {
            let outcome = match (written, limited) {
                (true, true) => Outcome::Cancelled,
                (true, false) => Outcome::Reset,
                (false, true) => Outcome::NotStarted,
                (false, false) => Outcome::ConnectFailed,
            };
            if outcome == Outcome::Reset {
                self.unsettled(id);
            }
            return self.end(id, outcome, LoadReport::default(), Vec::new());
        };
        let (ask, class) = (RequestKind::Run(stream.payload.clone()), Some(stream.class.0 as usize));
        up.waits = true;
        self.due.push(Reverse((clock::now() + MAX_WAIT, Due::DialQueue(id))));
        let (begin_by, deadline) = (stream.begin_by, stream.deadline);
        host.dial_queue.push_front(UpstreamRequest { id, ask, connect_by: 0, begin_by, deadline, class });
        self.dial_queues.insert((f, worker));
    }
}

/// What a connection is wanted for.
pub(super) fn need(set: &Settings, class: Option<usize>) -> Need {
    match class.map(|c| set.classes[c].idempotency) {
        Some(Idempotency::Idempotent) => Need::Repeatable,
        Some(_) => Need::Once,
        None => Need::Control,
    }
}

#[cfg(test)]
#[path = "dial_queue_tests.rs"]
mod tests;
