//! The doors of upstream hosts: attempts that find no kept connection and a closed door wait in a line of their host's,
//! for a connection that falls free or for the door. Nothing of them has left, so they may be called off at any time.

use super::*;
use roselock_startup::door::wary;

/// Most attempts that wait at one host; one more is not sent, and the decisions place it anew.
const LINE: usize = 16;
/// How long one waits there.
const WAIT: Micros = 500_000;
/// A door for which no descriptor is to spare is looked at again after so long.
const LOOK: Micros = 20_000;

impl Core {
    /// Heeds the doors of a fleet's hosts.
    pub fn set_doors(&mut self, f: FleetId, terms: Terms) {
        self.fleets[f].doors = Some(terms);
    }

    /// When the door of a host with a line may be looked at again; never while a connection is made ready there.
    pub(super) fn door_opens(&self, (f, worker): (FleetId, WorkerId)) -> Option<Micros> {
        let (fleet, now) = (&self.fleets[f], clock::now());
        let host = fleet.hosts.get(&worker).filter(|h| !h.knocking && !h.line.is_empty())?;
        let opens = host.door.opens(fleet.doors?, now);
        // Without a descriptor to spare it is looked at again with the next news, or after a while.
        Some(if fleet.dialer.as_ref().is_some_and(|d| d.room(&host.line[0].ask)) {
            opens
        } else {
            now + LOOK
        })
    }

    /// An attempt waits at its host; false if too many do.
    pub(super) fn join_line(&mut self, up: Upstream, request: UpstreamRequest) -> bool {
        let fleet = &mut self.fleets[up.fleet];
        let Some(host) = fleet.hosts.get_mut(&up.host).filter(|h| h.line.len() < LINE) else {
            return false;
        };
        // The decisions place it anew while there is time to answer that it never ran.
        let leaves = (clock::now() + WAIT).min(request.deadline - 4 * fleet.set.tick);
        self.due.push(Reverse((leaves, Due::Line(request.id))));
        host.line.push_back(request);
        self.lines.insert((up.fleet, up.host));
        self.upstreams.insert(self.next_upstream, Upstream { waits: true, ..up });
        self.next_upstream += 1;
        true
    }

    /// An attempt leaves its line: it never ran.
    pub(super) fn leave_line(&mut self, id: UpstreamId) {
        let Some(up) = self.upstreams.get_mut(&id).filter(|u| u.waits) else { return };
        let (f, worker) = (up.fleet, up.host);
        up.waits = false;
        self.fleets[f].hosts.get_mut(&worker).iter_mut().for_each(|h| h.line.retain(|r| r.id != id));
        self.end(id, Outcome::Moot, Gauge::default(), Vec::new());
        self.drop_upstream(id);
    }

    /// All that wait at such hosts leave their lines.
    pub(super) fn clear_lines(&mut self, of: impl Fn(&Host) -> bool) {
        let hosts = self.lines.iter().filter_map(|(f, w)| self.fleets[*f].hosts.get(w)).filter(|h| of(h));
        let ids: Vec<UpstreamId> = hosts.flat_map(|h| h.line.iter().map(|r| r.id)).collect();
        ids.into_iter().for_each(|id| self.leave_line(id));
    }

    /// Puts the first who wait at a host on the connections that are kept to it.
    pub(super) fn seat(&mut self, f: FleetId, worker: WorkerId) {
        let now = clock::now();
        loop {
            let fleet = &mut self.fleets[f];
            let Some(host) = fleet.hosts.get_mut(&worker).filter(|h| !h.line.is_empty()) else { return };
            let need = need(&fleet.set, host.line[0].class);
            let Some((since, link)) = host.pool.take(now, fleet.trust.since(now, need), need) else { return };
            let Some(request) = host.line.pop_front() else { return };
            let id = request.id;
            let started = link.start(request.clone());
            if !started {
                host.line.push_front(request);
            } else if let Some(up) = self.upstreams.get_mut(&id) {
                (up.link, up.idle, up.waits) = (Some(link), Some(now - since), false);
            }
        }
    }

    /// Dials for those who wait, where doors have opened.
    pub(super) fn serve_lines(&mut self, now: Micros) {
        let lines: Vec<_> = self.lines.iter().copied().collect();
        for (f, worker) in lines {
            for _ in 0..LINE {
                if self.door_opens((f, worker)).is_none_or(|at| at > now) {
                    break;
                }
                self.dial_next(f, worker, now);
            }
            if self.fleets[f].hosts.get(&worker).is_none_or(|h| h.line.is_empty()) {
                self.lines.remove(&(f, worker));
            }
        }
    }

    /// Dials for the first who waits. For what must not run twice a connection is made ready first, where some were
    /// closed at the door.
    fn dial_next(&mut self, f: FleetId, worker: WorkerId, now: Micros) {
        let fleet = &mut self.fleets[f];
        let connect_by = now + fleet.set.limits.connect_timeout;
        let parts = (fleet.hosts.get_mut(&worker), &fleet.dialer, fleet.doors);
        let (Some(host), Some(dialer), Some(terms)) = parts else { return };
        let (Some(endpoint), Some(first)) = (host.endpoint, host.line.front()) else { return };
        host.door.dialled(terms, now);
        if wary(fleet.closed, now) && need(&fleet.set, first.class) == Need::Once {
            host.knocking = true;
            return self.errand(f, worker, Ask::Knock, None, None);
        }
        let Some(mut request) = host.line.pop_front() else { return };
        request.connect_by = connect_by;
        let id = request.id;
        let link = dialer.dial(endpoint, request);
        if let Some(up) = self.upstreams.get_mut(&id) {
            (up.link, up.waits) = (Some(link), false);
        }
    }

    /// A connection that was to be made ready is there, or was closed at the door, or never came up: then whoever it
    /// was for ends as if it had dialled.
    pub(super) fn knocked(&mut self, f: FleetId, worker: WorkerId, refused: bool) {
        let Some(host) = self.fleets[f].hosts.get_mut(&worker) else { return };
        host.knocking = false;
        let first = if refused { host.line.pop_front() } else { None };
        let Some(request) = first else { return };
        self.upstreams.entry(request.id).and_modify(|u| u.waits = false);
        self.end(request.id, Outcome::ConnectFailed, Gauge::default(), Vec::new());
        self.drop_upstream(request.id);
    }

    /// A new connection was closed at the door: the host lives and is full. What was not written waits on.
    pub(super) fn turned_away(&mut self, id: UpstreamId, written: bool) {
        self.drawn = roselock::settings::fnv(&(self.drawn ^ clock::now() as u64).to_le_bytes());
        let draw = (self.drawn >> 11) as f64 / (1_u64 << 53) as f64;
        let Some(up) = self.upstreams.get_mut(&id) else { return };
        let (f, worker, stream) = (up.fleet, up.host, up.stream);
        let heeds = self.fleets[f].doors.is_some();
        self.fleets[f].closed = Some(clock::now());
        let Some(host) = self.fleets[f].hosts.get_mut(&worker) else { return };
        host.door.turned_away(clock::now(), draw);
        if let Some(ask) = up.errand.take() {
            if matches!(ask, Ask::Probe) {
                self.unanswered(f, worker);
            }
            return;
        }
        if up.ended {
            return;
        }
        let waits = heeds && !written && !up.quit && host.entry.state == Listed::Ready;
        let asked = self.streams.get(&stream).filter(|s| waits && !s.answered && host.line.len() < LINE);
        let Some(stream) = asked else {
            let outcome = match (written, heeds) {
                (true, true) => Outcome::Cancelled,
                (true, false) => Outcome::Reset,
                (false, true) => Outcome::Moot,
                (false, false) => Outcome::ConnectFailed,
            };
            return self.end(id, outcome, Gauge::default(), Vec::new());
        };
        let (ask, class) = (Ask::Run(stream.payload.clone()), Some(stream.class.0 as usize));
        up.waits = true;
        self.due.push(Reverse((clock::now() + WAIT, Due::Line(id))));
        let (begin_by, deadline) = (stream.begin_by, stream.deadline);
        host.line.push_front(UpstreamRequest { id, ask, connect_by: 0, begin_by, deadline, class });
        self.lines.insert((f, worker));
    }
}

/// What a connection is wanted for.
pub(super) fn need(set: &Settings, class: Option<usize>) -> Need {
    match class.map(|c| set.classes[c].effect) {
        Some(Effect::Safe) => Need::Repeatable,
        Some(_) => Need::Once,
        None => Need::Errand,
    }
}

#[cfg(test)]
#[path = "door_tests.rs"]
mod tests;
