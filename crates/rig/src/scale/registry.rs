//! The list service of a measurement: one listener for each dispatcher, so that what passes is counted for each.

use crate::http::{CHUNKED_HEAD, Connection, answer, chunk};
use crate::list::{EndpointList, ListEntry, WatchEvent, list_json};
use crate::time::{Clock, Micros, SECOND};
use crate::traffic::{Traffic, TrafficCount};
use may::net::TcpListener;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// An empty line goes out after so long without a change.
pub const KEEP_ALIVE: Micros = 2 * SECOND;
/// How often a watch looks whether the service has ended.
const LOOK: Duration = Duration::from_millis(200);

/// What the service keeps of one dispatcher.
struct Subscriber {
    address: SocketAddr,
    /// Where it is after it has moved.
    moved: SocketAddr,
    /// Whether a watch was opened there.
    watched_moved: AtomicBool,
    traffic: Arc<Traffic>,
    /// Lists written whole, and what was counted up to the end of the first one.
    lists: AtomicUsize,
    first: Mutex<Option<TrafficCount>>,
}

/// The service.
pub struct Registry {
    clock: Clock,
    list: EndpointList,
    subscribers: Vec<Subscriber>,
    end: AtomicBool,
}

impl Registry {
    /// Serves these lines from now on.
    pub fn start(lines: Vec<ListEntry>, dispatchers: usize, clock: Clock) -> io::Result<Arc<Registry>> {
        let bound =
            || (0..dispatchers).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<Vec<_>>>();
        let (listeners, moved) = (bound()?, bound()?);
        let subscriber = |(listener, moved): (&TcpListener, &TcpListener)| {
            Ok(Subscriber {
                address: listener.local_addr()?,
                moved: moved.local_addr()?,
                watched_moved: AtomicBool::new(false),
                traffic: Arc::default(),
                lists: AtomicUsize::new(0),
                first: Mutex::default(),
            })
        };
        let subscribers = listeners.iter().zip(&moved).map(subscriber).collect::<io::Result<_>>()?;
        let list = EndpointList::new(lines, dispatchers);
        let registry = Arc::new(Registry { clock, list, subscribers, end: AtomicBool::new(false) });
        for (number, (listener, moved)) in listeners.into_iter().zip(moved).enumerate() {
            let (first, second) = (registry.clone(), registry.clone());
            may::go!(move || first.serve(number, &listener, false));
            may::go!(move || second.serve(number, &moved, true));
        }
        Ok(registry)
    }

    /// Where a dispatcher finds it.
    pub fn address(&self, dispatcher: usize) -> SocketAddr {
        self.subscribers[dispatcher].address
    }

    /// Where a dispatcher finds it after it has moved.
    pub fn moved(&self, dispatcher: usize) -> SocketAddr {
        self.subscribers[dispatcher].moved
    }

    /// Whether a dispatcher watches there.
    pub fn has_moved(&self, dispatcher: usize) -> bool {
        self.subscribers[dispatcher].watched_moved.load(Ordering::SeqCst)
    }

    /// What has passed to and from a dispatcher.
    pub fn traffic(&self, dispatcher: usize) -> TrafficCount {
        self.subscribers[dispatcher].traffic.count()
    }

    /// What had passed when a dispatcher's first list was written whole, since the last [`Registry::forget`].
    pub fn first_list(&self, dispatcher: usize) -> Option<TrafficCount> {
        *self.subscribers[dispatcher].first.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How often a list was sent to a dispatcher since then, whether or not it was read.
    pub fn lists_sent(&self, dispatcher: usize) -> usize {
        self.subscribers[dispatcher].lists.load(Ordering::SeqCst)
    }

    /// A dispatcher starts again: its first list counts anew.
    pub fn reset_first_list(&self, dispatcher: usize) {
        let subscriber = &self.subscribers[dispatcher];
        subscriber.lists.store(0, Ordering::SeqCst);
        *subscriber.first.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Bytes of the whole list as it is now, without what frames them.
    pub fn list_bytes(&self) -> usize {
        let (rev, lines) = self.list.lines();
        list_json(rev, true, &lines).len()
    }

    /// Changes the state of workers, and tells all watches.
    pub fn change(&self, state: &'static str, workers: Range<usize>) {
        self.list.change(|_, line| line.state = state, workers);
    }

    /// Ends it: nobody is served any more.
    pub fn finish(&self) {
        self.end.store(true, Ordering::SeqCst);
        // Whoever accepts is woken, and sees the end.
        self.subscribers.iter().flat_map(|s| [s.address, s.moved]).for_each(|a| drop(TcpStream::connect(a)));
    }

    fn ended(&self) -> bool {
        self.end.load(Ordering::SeqCst)
    }

    fn serve(self: &Arc<Registry>, dispatcher: usize, listener: &TcpListener, moved: bool) {
        for stream in listener.incoming() {
            if self.ended() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let registry = self.clone();
            let connection = Connection::new(stream).counted(&self.subscribers[dispatcher].traffic);
            may::go!(move || _ = registry.talk(dispatcher, connection, moved));
        }
    }

    fn talk(&self, dispatcher: usize, mut connection: Connection, moved: bool) -> io::Result<()> {
        while let Some(request) = connection.read()? {
            let path = &request.start[1];
            let after = path.split_once("after=").and_then(|(_, rev)| rev.parse().ok());
            if path.contains("watch=1") {
                self.subscribers[dispatcher].watched_moved.fetch_or(moved, Ordering::SeqCst);
                return self.watch(dispatcher, connection, after.unwrap_or(0));
            }
            let (rev, lines) = self.list.lines();
            self.subscribers[dispatcher].lists.fetch_add(1, Ordering::SeqCst);
            connection.write(&answer(200, "", &list_json(rev, true, &lines)))?;
            self.listed(dispatcher);
        }
        Ok(())
    }

    fn watch(&self, dispatcher: usize, mut connection: Connection, after: u64) -> io::Result<()> {
        let opened = self.list.watch(dispatcher, after);
        self.subscribers[dispatcher].lists.fetch_add(1, Ordering::SeqCst);
        connection.write(CHUNKED_HEAD)?;
        connection.write(&chunk(&opened.first))?;
        self.listed(dispatcher);
        let mut said = self.clock.now();
        while !self.ended() {
            match opened.changes.recv_timeout(LOOK) {
                Ok(WatchEvent::Text(text, _)) => connection.write(&chunk(&text))?,
                Err(RecvTimeoutError::Timeout) if self.clock.now() - said < KEEP_ALIVE => continue,
                Err(RecvTimeoutError::Timeout) => connection.write(&chunk(""))?,
                Ok(WatchEvent::End) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            said = self.clock.now();
        }
        Ok(())
    }

    /// Notes what had passed when the first list was out.
    fn listed(&self, dispatcher: usize) {
        let subscriber = &self.subscribers[dispatcher];
        let mut first = subscriber.first.lock().unwrap_or_else(PoisonError::into_inner);
        first.get_or_insert_with(|| subscriber.traffic.count());
    }
}
