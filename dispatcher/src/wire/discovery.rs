//! The list of upstream hosts, and the watch on its changes.

use super::http::{Bad, Reader, by};
use super::socket::Socket;
use crate::memory::{FleetId, Inbox, Input, ListedHost};
use may::sync::mpsc::{Receiver, Sender};
use roselock::settings::{Site, fnv};
use roselock::{CellId, FleetEntry, KindId, ListMode, Listed, Micros, SECOND, WorkerId, ZoneId};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How long a call may take, and a watch be silent: an empty line comes every 2 s.
const CALL: Micros = SECOND;
const SILENCE: Micros = 3 * SECOND;
/// A whole list of nobody is hardly ever true: it is asked for again after so long, each time twice as long, at most
/// [`DOUBLED`] times.
const NOBODY: Micros = SECOND;
const DOUBLED: u32 = 3;
/// Longest line.
const LINE: usize = 1 << 20;

/// A list or its changes, as on the wire.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct List {
    /// Its version.
    pub rev: u64,
    /// Whether it is complete.
    pub all: bool,
    /// Its lines.
    pub targets: Vec<Target>,
}

/// An upstream host, as on the wire.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    uid: String,
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u32,
    state: String,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: f64,
}

/// What a list says of the hosts. Lines that make no sense are left out.
pub fn hosts(list: &List, site: &mut Site) -> Vec<ListedHost> {
    let host = |t: &Target| {
        let state = match t.state.as_str() {
            "ready" => Listed::Ready,
            "draining" => Listed::Draining,
            "gone" => Listed::Gone,
            _ => return None,
        };
        let endpoint = t.endpoint.parse().ok();
        if endpoint.is_none() && state == Listed::Ready {
            return None;
        }
        let entry = FleetEntry {
            worker: WorkerId(fnv(t.uid.as_bytes())),
            state,
            zone: ZoneId(site.zones.id(&t.az) as u16),
            cell: CellId(t.pod_group),
            kind: KindId(site.kinds.id(&t.model) as u16),
            units: t.capacity_hint,
            up_since: (t.boot_ms > 0.0).then_some((t.boot_ms * 1e3) as Micros),
        };
        Some(ListedHost { uid: t.uid.clone(), endpoint, entry, link: None })
    };
    list.targets.iter().filter_map(host).collect()
}

/// Where discovery is, for the watch that asks there and for whoever moves it.
#[derive(Clone)]
pub struct Registry {
    place: Arc<Mutex<Place>>,
    ask: Sender<()>,
}

struct Place {
    at: SocketAddr,
    /// Counts the moves.
    moves: u64,
    /// The connection that the watch reads from.
    socket: Option<Socket>,
}

impl Registry {
    /// Discovery at an address; `ask` wakes the watch.
    pub fn new(at: SocketAddr, ask: Sender<()>) -> Registry {
        Registry { place: Arc::new(Mutex::new(Place { at, moves: 0, socket: None })), ask }
    }
    fn place(&self) -> MutexGuard<'_, Place> {
        self.place.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Discovery is elsewhere from now on: ends the watch at the former address and wakes it. False if it is not.
    pub fn move_to(&self, at: SocketAddr) -> bool {
        let mut place = self.place();
        if place.at == at {
            return false;
        }
        (place.at, place.moves) = (at, place.moves + 1);
        place.socket.take().iter().for_each(Socket::close);
        drop(place);
        let _ = self.ask.send(());
        true
    }
}

/// Keeps the watch.
pub struct Watch {
    /// Where discovery is.
    pub registry: Registry,
    /// The version last heard of there; none where discovery has not been heard yet.
    pub rev: Option<u64>,
    /// The latest word of who is there was a whole list of nobody.
    pub nobody: bool,
    /// Watches in a row that ended with that.
    pub in_vain: u32,
    /// Names met in lists get numbers of their own here.
    pub site: Site,
    /// The way to the decisions.
    pub inbox: Inbox,
    /// Whose hosts these are.
    pub fleet: FleetId,
}

impl Watch {
    /// Watches whenever it is asked to, until the watch breaks. When to ask again is not decided here; but
    /// a watch that was moved goes on at the new address at once.
    pub fn run(mut self, asked: &Receiver<()>) {
        let mut watched = 0;
        while asked.recv().is_ok() {
            loop {
                // One watch answers all who asked until now.
                while asked.try_recv().is_ok() {}
                let (at, moves) = {
                    let place = self.registry.place();
                    (place.at, place.moves)
                };
                if moves != watched {
                    // Its versions are its own: the whole list first.
                    (watched, self.rev) = (moves, None);
                }
                let ended = self.watch(at, moves);
                self.in_vain = if self.nobody { self.in_vain.saturating_add(1) } else { 0 };
                if self.nobody {
                    // The version of such a list says nothing.
                    self.rev = None;
                }
                tracing::warn!("discovery at {at}: the watch ended: {ended:?}");
                if self.registry.place().moves == moves {
                    break;
                }
            }
            self.inbox.post(Input::WatchBroken(self.fleet));
        }
    }

    /// Opens a connection; it is ended by a move.
    fn connect(&self, at: SocketAddr, moves: u64) -> Result<Socket, Bad> {
        let socket = Socket::connect(at, by(CALL)).map_err(|_| Bad::Broken)?;
        let mut place = self.registry.place();
        if place.moves != moves {
            return Err(Bad::Ended);
        }
        place.socket = Some(socket.clone());
        Ok(socket)
    }

    fn watch(&mut self, at: SocketAddr, moves: u64) -> Result<(), Bad> {
        let mut socket = self.connect(at, moves)?;
        let call = |query: &str| format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {at}\r\n\r\n");
        let mut reader = Reader::new(socket.clone());
        if self.rev.is_none() {
            socket.write(&[call("").as_bytes()], by(CALL)).map_err(|_| Bad::Broken)?;
            let answer = reader.response(by(CALL))?;
            if answer.status != 200 {
                return Err(Bad::Status(answer.status));
            }
            self.take(answer.body());
            if answer.close {
                socket = self.connect(at, moves)?;
                reader = Reader::new(socket.clone());
            }
        }
        let Some(rev) = self.rev else { return Err(Bad::Status(400)) };
        let query = format!("?watch=1&after={rev}");
        socket.write(&[call(&query).as_bytes()], by(CALL)).map_err(|_| Bad::Broken)?;
        let head = reader.stream_head(by(SILENCE))?;
        if head.status != 200 {
            return Err(Bad::Status(head.status));
        }
        let mut lines = Vec::new();
        let mut again = None;
        loop {
            let ask_again = || by(NOBODY << self.in_vain.min(DOUBLED));
            again = self.nobody.then(|| again.unwrap_or_else(ask_again));
            if !reader.chunk(&mut lines, LINE, again.unwrap_or_else(|| by(SILENCE)))? {
                return Ok(());
            }
            while let Some(end) = lines.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = lines.drain(..=end).collect();
                self.take(line.trim_ascii());
            }
            if lines.len() > LINE {
                return Err(Bad::Status(413));
            }
        }
    }

    fn take(&mut self, line: &[u8]) {
        if line.is_empty() {
            return;
        }
        match serde_json::from_slice::<List>(line) {
            Ok(list) => {
                self.rev = Some(list.rev);
                // Changes of nothing say nothing of who is there.
                self.nobody = list.targets.is_empty() && (list.all || self.nobody);
                if self.nobody {
                    tracing::warn!("discovery: a list without any host; it is asked for again");
                }
                let mode = if list.all { ListMode::Complete } else { ListMode::Changes };
                let hosts = hosts(&list, &mut self.site);
                self.inbox.post(Input::Hosts(self.fleet, mode, hosts));
            }
            Err(e) => tracing::warn!("discovery: not a list: {e}"),
        }
    }
}
