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
            let Some((since, link)) = host.pool.take(fleet.trust.since(now, need), need) else { return };
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
        host.line.push_front(UpstreamRequest { id, ask, connect_by: 0, deadline: stream.deadline, class });
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
mod tests {
    use super::*;
    use roselock::{CellId, KindId, ZoneId};
    use rstest::{fixture, rstest};
    use std::sync::Mutex;

    /// A connection that takes all and does nothing; a dialler that writes down whom it dials for.
    struct Line_;
    impl Link for Line_ {
        fn start(&self, _: UpstreamRequest) -> bool {
            true
        }
        fn abort(&self, _: UpstreamId) {}
    }
    struct Dials(Arc<Mutex<Vec<UpstreamRequest>>>);
    impl Dialer for Dials {
        fn dial(&self, _: SocketAddr, request: UpstreamRequest) -> Arc<dyn Link> {
            self.0.lock().expect("not poisoned").push(request);
            Arc::new(Line_)
        }
        fn room(&self, _: &Ask) -> bool {
            true
        }
        fn watch(&self) {}
    }
    struct Nobody;
    impl Downstream for Nobody {
        fn answer(&self, _: Answer, _: u32) {}
    }

    struct World {
        core: Core,
        inbox: Inbox,
        dialled: Arc<Mutex<Vec<UpstreamRequest>>>,
        now: Micros,
    }

    impl World {
        fn list(&mut self, state: Listed) {
            let (zone, cell, kind) = (ZoneId(0), CellId(0), KindId(0));
            let entry =
                FleetEntry { worker: WorkerId(1), state, zone, cell, kind, units: 1.0, up_since: None };
            let endpoint = Some(([127, 0, 0, 1], 9).into());
            let host = ListedHost { uid: "s-1".into(), endpoint, entry, link: None };
            self.core.list(0, ListMode::Changes, vec![host]);
        }
        /// A stream comes in, and the decisions have their steps.
        fn ask(&mut self) -> StreamId {
            let id = self.inbox.stream_id();
            let payload = Payload { given: Some(format!("c{id}")), ..Payload::default() };
            self.core.handle(Input::Arrived(Box::new(NewStream {
                id,
                fleet: 0,
                class: ClassId(0),
                tenant: None,
                key: None,
                slots: 0.1,
                memory: 0.0,
                hint: None,
                deadline: clock::now() + 60_000_000,
                ran: 0,
                peer: ([127, 0, 0, 1], 1).into(),
                payload: Arc::new(payload),
                downstream: Box::new(Nobody),
            })));
            self.steps();
            id
        }
        fn steps(&mut self) {
            for _ in 0..4 {
                self.now += 5_000;
                self.core.step(0, self.now);
            }
        }
        fn dialled(&self) -> usize {
            self.dialled.lock().expect("not poisoned").len()
        }
        /// The latest dial is closed at the door, before anything was written.
        fn closed(&mut self) {
            let id = self.dialled.lock().expect("not poisoned").last().expect("a dial").id;
            self.core.handle(Input::Upstream(id, Heard::TurnedAway(false), LinkIs::Closed));
        }
        fn waiting(&self) -> usize {
            self.core.fleets[0].hosts[&WorkerId(1)].line.len()
        }
    }

    #[fixture]
    fn world() -> World {
        let options = r#"{"fleetSize":1,"lanes":[{"name":"look","promiseS":9,"giveUpS":60,"effect":"safe"}],
            "tickS":0.005,"limits":{"sendCap":4,"connectTimeoutS":0.5,"connIdleS":15}}"#;
        let options: roselock::settings::Options = serde_json::from_str(options).expect("options");
        let (set, (inbox, outlet)) = (options.site().expect("settings").settings, Inbox::new());
        let mut core = Core::new(inbox.clone(), outlet, None, Operation::new(vec!["look".into()]));
        let dialled: Arc<Mutex<Vec<UpstreamRequest>>> = Arc::default();
        core.add_fleet(set, 7, Some(Box::new(Dials(dialled.clone())))).expect("settings");
        core.set_doors(0, Terms::default());
        let mut world = World { core, inbox, dialled, now: clock::now() };
        world.list(Listed::Ready);
        world
    }

    /// Guards against dials that go on at a closed door, and against one that stays shut.
    #[rstest]
    fn who_was_turned_away_waits_for_the_door(mut world: World) {
        world.ask();
        assert_eq!((world.dialled(), world.waiting()), (1, 0));
        world.closed();
        world.core.serve_lines(clock::now());
        assert_eq!((world.dialled(), world.waiting()), (1, 1));
        let later = clock::now() + 3_000_000;
        world.core.fleets[0].hosts.get_mut(&WorkerId(1)).expect("a host").door = Door::new(0);
        world.core.serve_lines(later);
        assert_eq!((world.dialled(), world.waiting()), (2, 0));
    }

    /// Guards against a line that outlives the word of a drain, and against a dial there.
    #[rstest]
    fn nobody_waits_at_a_host_that_drains(mut world: World) {
        let stream = world.ask();
        world.closed();
        world.list(Listed::Draining);
        assert_eq!((world.waiting(), world.core.streams[&stream].out), (0, None));
        world.core.serve_lines(clock::now() + 3_000_000);
        world.list(Listed::Ready);
        world.steps();
        assert_eq!(world.core.streams[&stream].ran, 0, "it never ran");
        assert_eq!(world.core.streams[&stream].rounds, 2, "and was sent anew");
    }

    /// Guards against a connection that falls free while others wait for one, and a line without a bound.
    #[rstest]
    fn a_connection_that_falls_free_is_taken_by_who_waits(mut world: World) {
        world.ask();
        let first = world.dialled.lock().expect("not poisoned")[0].id;
        world.core.fleets[0].hosts.get_mut(&WorkerId(1)).expect("a host").door.turned_away(clock::now(), 1.0);
        for _ in 0..3 * LINE {
            world.core.fleets[0].events.clear();
            let request = UpstreamRequest {
                id: world.core.next_upstream,
                ask: Ask::Run(Arc::default()),
                connect_by: 0,
                deadline: clock::now() + 9_000_000,
                class: Some(0),
            };
            world.core.join_line(Upstream::new(0, WorkerId(1)), request);
        }
        assert_eq!(world.waiting(), LINE);
        world.core.handle(Input::Upstream(first, Heard::Taken, LinkIs::Free));
        assert_eq!((world.waiting(), world.dialled()), (LINE - 1, 1));
    }
}
