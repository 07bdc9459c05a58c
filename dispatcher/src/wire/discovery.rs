//! The list of upstream hosts, and the watch on its changes.

use super::http::{HttpError, Reader, by};
use super::list::{List, Lists, hosts};
use super::list_history::ListHistory;
use super::socket::{ConnectError, LocalRetry, Socket};
use crate::core::{FleetId, Inbox, Input, clock};
use may::sync::mpsc::{Receiver, Sender};
use parking_lot::{Mutex, MutexGuard};
use roselock::settings::Site;
use roselock::{ListMode, Micros, SECOND};
use roselock_admin::metrics::Metrics;
use roselock_discovery_client::poll_schedule::{GOLDEN_RATIO, WATCH_TIMEOUT, WatchEnd, WatchEndReason};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// How long a connection may take to come up and a request to be written, and how long an answer, which may wait for its
/// turn.
const CONNECT: Micros = SECOND;
const ANSWER: Micros = 3 * SECOND;
/// Between calls where lists are pushed: the agent is the machine's own, and what it has counts as told at once.
const PUSHED: std::time::Duration = std::time::Duration::from_millis(100);
/// A whole list of nobody is hardly ever true: it is asked for again after so long, each time twice as long, at most
/// [`DOUBLED`] times.
const NOBODY: Micros = SECOND;
const DOUBLED: u32 = 3;
/// Longest line of a watch, and the longest whole list, in bytes: 3,200 workers with 1,300 bytes each.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Where discovery is, for the watch that asks there and for whoever moves it.
#[derive(Clone)]
pub struct DiscoveryEndpoint {
    place: Arc<Mutex<Place>>,
    /// Lists are pushed: the watch is kept from the first moment on, whether or not it is asked for.
    pushed: Arc<AtomicBool>,
    ask: Sender<()>,
}

struct Place {
    at: SocketAddr,
    /// Counts the moves, and when the latest was.
    moves: u64,
    moved_at: Micros,
    /// The connection that the watch reads from.
    socket: Option<Socket>,
}

impl DiscoveryEndpoint {
    /// Discovery at an address; `ask` wakes the watch.
    pub fn new(at: SocketAddr, ask: Sender<()>, pushed: bool) -> DiscoveryEndpoint {
        let place = Place { at, moves: 0, moved_at: 0, socket: None };
        DiscoveryEndpoint {
            place: Arc::new(Mutex::new(place)),
            pushed: Arc::new(AtomicBool::new(pushed)),
            ask,
        }
    }
    fn pushed(&self) -> bool {
        self.pushed.load(Ordering::SeqCst)
    }
    /// Whether lists are pushed from now on.
    pub fn set_pushed(&self, pushed: bool) {
        if self.pushed.swap(pushed, Ordering::SeqCst) != pushed {
            let _ = self.ask.send(());
        }
    }
    fn place(&self) -> MutexGuard<'_, Place> {
        self.place.lock()
    }
    /// Discovery is elsewhere from now on: ends the watch at the former address and wakes it. False if it is not.
    pub fn move_to(&self, at: SocketAddr) -> bool {
        let mut place = self.place();
        if place.at == at {
            return false;
        }
        (place.at, place.moves, place.moved_at) = (at, place.moves + 1, clock::now());
        place.socket.take().iter().for_each(Socket::close);
        drop(place);
        let _ = self.ask.send(());
        true
    }
}

/// Keeps the watch.
pub struct Watch {
    /// Where discovery is.
    pub endpoint: DiscoveryEndpoint,
    /// The version last heard of there; none where discovery has not been heard yet.
    pub rev: Option<u64>,
    /// The latest word of who is there was a whole list of nobody.
    pub empty_list: bool,
    /// Watches in a row that ended with that.
    pub consecutive_empty_lists: u32,
    /// Names met in lists get numbers of their own here.
    pub site: Site,
    /// The way to the decisions.
    pub inbox: Inbox,
    /// Whose hosts these are.
    pub fleet: FleetId,
    /// Where spoilt lists are counted.
    pub metrics: Arc<Metrics>,
    /// How long after a move the whole list is asked for, and when it will be, unless it is told by then.
    pub resync_after: Micros,
    /// See [`Watch::resync_after`].
    pub resync: Option<Micros>,
    /// How far the present watch has come.
    pub progress: Progress,
    /// What the service at the present address has told.
    pub history: ListHistory,
}

/// How far a watch has come.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// There was a connection.
    reached: bool,
    /// There was none, for want of something on this machine.
    short: bool,
    /// The latest word on it.
    word: Option<Micros>,
}

impl Watch {
    /// Watches whenever it is asked to, until the watch breaks; where lists are pushed, always. When to ask again is not
    /// decided here; but a watch that was moved goes on at the new address at once.
    pub fn run(mut self, asked: &Receiver<()>) {
        let mut watched = 0;
        while self.endpoint.pushed() || asked.recv().is_ok() {
            let end = loop {
                // One watch answers all who asked until now.
                while asked.try_recv().is_ok() {}
                let (at, moves, moved_at) = {
                    let place = self.endpoint.place();
                    (place.at, place.moves, place.moved_at)
                };
                if moves != watched {
                    watched = moves;
                    self.moved(moved_at);
                }
                let end = self.watch_once(at, moves);
                // Who asked while it was open has been answered by it. Before the look at the moves: one that comes
                // later asks anew.
                while asked.try_recv().is_ok() {}
                if self.endpoint.place().moves == moves {
                    break end;
                }
            };
            self.inbox.post(Input::WatchEnded { fleet: self.fleet, end });
            if self.endpoint.pushed() {
                may::coroutine::sleep(PUSHED);
            }
        }
    }

    /// Discovery is at another address. Only what changed is asked for there, which costs it little when all dispatchers
    /// move at once. Should its versions be others, that tells too little: the whole list follows later, for each
    /// dispatcher at a place of its own.
    fn moved(&mut self, moved_at: Micros) {
        self.inbox.post(Input::DiscoveryMoved { fleet: self.fleet, at: moved_at });
        // Versions there may be others.
        self.history = ListHistory::default();
        let place = (f64::from(self.site.settings.instance_index) * GOLDEN_RATIO).fract();
        let spread = (self.resync_after as f64 * place) as Micros;
        self.resync = Some(clock::now() + self.resync_after + spread);
    }

    /// One watch, or the call for it, up to its end.
    fn watch_once(&mut self, at: SocketAddr, moves: u64) -> WatchEnd {
        let began = clock::now();
        self.progress = Progress::default();
        let ended = self.watch(at, moves);
        self.consecutive_empty_lists =
            if self.empty_list { self.consecutive_empty_lists.saturating_add(1) } else { 0 };
        if self.empty_list {
            // The version of such a list says nothing.
            self.rev = None;
        }
        tracing::warn!("discovery at {at}: the watch ended: {ended:?}");
        let reason = match ended {
            _ if self.progress.short => WatchEndReason::LocalFailure,
            _ if !self.progress.reached => WatchEndReason::Unreachable,
            Err(HttpError::Late) => WatchEndReason::Silent,
            _ => WatchEndReason::Refused,
        };
        // What comes before the first word of a watch says that the service does not answer: when it says so itself.
        let seen = if reason == WatchEndReason::Refused { clock::now() } else { began };
        WatchEnd { reason, in_sync_until: self.progress.word.unwrap_or(seen) }
    }

    /// Opens a connection; it is ended by a move. Where this machine is short of something for it, it tries again.
    fn connect(&mut self, at: SocketAddr, moves: u64) -> Result<Socket, HttpError> {
        let last = by(CONNECT);
        let mut retry = LocalRetry::default();
        let socket = loop {
            match Socket::connect(at, last) {
                Ok(socket) => break socket,
                Err(ConnectError::Peer(_)) => return Err(HttpError::Broken),
                Err(ConnectError::Local(why)) => {
                    tracing::debug!("no connection for discovery yet: {why}");
                    if !retry.wait(last) {
                        self.progress.short = true;
                        return Err(HttpError::Broken);
                    }
                }
            }
        };
        let mut place = self.endpoint.place();
        if place.moves != moves {
            return Err(HttpError::Ended);
        }
        place.socket = Some(socket.clone());
        Ok(socket)
    }

    fn watch(&mut self, at: SocketAddr, moves: u64) -> Result<(), HttpError> {
        let mut socket = self.connect(at, moves)?;
        self.progress.reached = true;
        let call = |query: &str| format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {at}\r\n\r\n");
        let mut reader = Reader::with_body_bound(socket.clone(), MAX_LIST_BYTES);
        if self.rev.is_none() {
            socket.write(&[call("").as_bytes()], by(CONNECT)).map_err(|_| HttpError::Broken)?;
            let answer = reader.response(by(ANSWER))?;
            if answer.status != 200 {
                return Err(HttpError::Status(answer.status));
            }
            match serde_json::from_slice(answer.body()) {
                Ok(list) => self.take(list)?,
                Err(e) => self.malformed(&e.to_string()),
            }
            if answer.close {
                socket = self.connect(at, moves)?;
                reader = Reader::with_body_bound(socket.clone(), MAX_LIST_BYTES);
            }
        }
        let Some(rev) = self.rev else { return Err(HttpError::Status(400)) };
        let query = format!("?watch=1&after={rev}");
        socket.write(&[call(&query).as_bytes()], by(CONNECT)).map_err(|_| HttpError::Broken)?;
        let head = reader.stream_head(by(ANSWER))?;
        if head.status != 200 {
            return Err(HttpError::Status(head.status));
        }
        let mut lists = Lists::default();
        let mut again = None;
        let mut silent = by(WATCH_TIMEOUT);
        loop {
            let ask_again = || by(NOBODY << self.consecutive_empty_lists.min(DOUBLED));
            again = self.empty_list.then(|| again.unwrap_or_else(ask_again));
            let (mut chunk, begun) = (Vec::new(), lists.held() > 0);
            let due = [again, self.resync].into_iter().flatten().fold(silent, Micros::min);
            match reader.chunk(&mut chunk, MAX_LIST_BYTES, due) {
                Err(HttpError::Late) if self.resync == Some(due) => {
                    self.rev = None;
                    return Ok(());
                }
                ended if !ended? => return Ok(()),
                _ => {}
            }
            lists.push(&chunk);
            let mut whole = false;
            while let Some(found) = lists.next() {
                whole = true;
                match found {
                    Ok(list) => self.take(list)?,
                    Err(why) => self.malformed(&why),
                }
            }
            // A list that trickles in has no longer than silence has: it tells as little.
            if whole || !begun || lists.held() == 0 {
                silent = by(WATCH_TIMEOUT);
            }
            if lists.held() == 0 {
                self.heard();
            }
            if lists.held() > MAX_LIST_BYTES {
                return Err(HttpError::Status(413));
            }
        }
    }

    /// A word on the watch, and no part of another. The first one says that nothing is missing, be it an empty line.
    fn heard(&mut self) {
        if self.progress.word.replace(clock::now()).is_none() {
            self.inbox.post(Input::Hosts { fleet: self.fleet, mode: ListMode::Changes, hosts: Vec::new() });
        }
    }

    /// A list that makes no sense is dropped; the last good one stays.
    fn malformed(&self, why: &str) {
        let count = self.metrics.count_malformed_list();
        tracing::warn!("discovery: not a list, dropped ({count} so far): {why}");
    }

    fn take(&mut self, mut list: List) -> Result<(), HttpError> {
        if !list.all && self.rev.is_some_and(|rev| list.rev < rev) {
            // Changes of what is not known here, or of long ago: the whole list is asked for.
            tracing::warn!("discovery: changes go back to version {}; the whole list is asked for", list.rev);
            self.rev = None;
            return Err(HttpError::Status(409));
        }
        self.rev = Some(list.rev);
        self.progress.word = Some(clock::now());
        self.resync.take_if(|_| list.all);
        // Changes of nothing say nothing of who is there.
        self.empty_list = list.targets.is_empty() && (list.all || self.empty_list);
        if self.empty_list {
            tracing::warn!("discovery: a list without any host; it is asked for again");
        }
        self.history.admit(&mut list);
        let mode = if list.all { ListMode::Complete } else { ListMode::Changes };
        let hosts = hosts(&list, &mut self.site);
        self.inbox.post(Input::Hosts { fleet: self.fleet, mode, hosts });
        Ok(())
    }
}
