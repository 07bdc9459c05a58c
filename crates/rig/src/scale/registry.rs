//! Discovery service of a measurement. It has its own listeners for each dispatcher, so that traffic is counted by dispatcher.

use crate::http::{CHUNKED_HEAD, Connection, chunk, response};
use crate::list::{EndpointList, ListEntry, WatchEvent};
use crate::list_service::{KEEP_ALIVE_INTERVAL, WATCH_CHECK_INTERVAL, is_watch_request, known_revision};
use crate::time::Clock;
use crate::traffic::{Traffic, TrafficCount};
use may::net::TcpListener;
use parking_lot::Mutex;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::RecvTimeoutError;

/// State of the service for one dispatcher.
struct Subscriber {
    address: SocketAddr,
    /// Address of the service after it has moved.
    moved_address: SocketAddr,
    /// Whether the dispatcher has opened a watch at `moved_address`.
    has_moved: AtomicBool,
    traffic: Arc<Traffic>,
    /// Number of complete lists sent.
    lists_sent: AtomicUsize,
    /// Traffic up to the end of the first complete list.
    first_list: Mutex<Option<TrafficCount>>,
}

impl Subscriber {
    fn new(listener: &TcpListener, moved_listener: &TcpListener) -> io::Result<Subscriber> {
        Ok(Subscriber {
            address: listener.local_addr()?,
            moved_address: moved_listener.local_addr()?,
            has_moved: AtomicBool::new(false),
            traffic: Arc::default(),
            lists_sent: AtomicUsize::new(0),
            first_list: Mutex::default(),
        })
    }

    /// Records the traffic up to here, if this was the first list.
    fn record_first_list(&self) {
        self.first_list.lock().get_or_insert_with(|| self.traffic.count());
    }
}

/// The discovery service.
pub struct Registry {
    clock: Clock,
    list: EndpointList,
    subscribers: Vec<Subscriber>,
    stopped: AtomicBool,
}

impl Registry {
    /// Starts to serve a list of these entries.
    ///
    /// # Errors
    ///
    /// No listener can be bound.
    pub fn start(entries: Vec<ListEntry>, dispatchers: usize, clock: Clock) -> io::Result<Arc<Registry>> {
        let listeners = bind(dispatchers)?;
        let moved_listeners = bind(dispatchers)?;
        let mut subscribers = Vec::new();
        for (listener, moved_listener) in listeners.iter().zip(&moved_listeners) {
            subscribers.push(Subscriber::new(listener, moved_listener)?);
        }
        let list = EndpointList::new(entries, dispatchers);
        let registry = Arc::new(Registry { clock, list, subscribers, stopped: AtomicBool::new(false) });
        for (number, (listener, moved_listener)) in listeners.into_iter().zip(moved_listeners).enumerate() {
            let present = registry.clone();
            may::go!(move || present.serve(number, &listener, false));
            let moved = registry.clone();
            may::go!(move || moved.serve(number, &moved_listener, true));
        }
        Ok(registry)
    }

    /// Address of the service for a dispatcher.
    #[must_use]
    pub fn address(&self, dispatcher: usize) -> SocketAddr {
        self.subscribers[dispatcher].address
    }

    /// Address of the service for a dispatcher after it has moved.
    #[must_use]
    pub fn moved_address(&self, dispatcher: usize) -> SocketAddr {
        self.subscribers[dispatcher].moved_address
    }

    /// Whether a dispatcher has opened a watch at the address to which the service has moved.
    #[must_use]
    pub fn has_moved(&self, dispatcher: usize) -> bool {
        self.subscribers[dispatcher].has_moved.load(Ordering::SeqCst)
    }

    /// Traffic with a dispatcher.
    #[must_use]
    pub fn traffic(&self, dispatcher: usize) -> TrafficCount {
        self.subscribers[dispatcher].traffic.count()
    }

    /// Traffic up to the end of a dispatcher's first list since the last [`Registry::reset_first_list`]. The count of bytes
    /// itself is not reset.
    #[must_use]
    pub fn first_list(&self, dispatcher: usize) -> Option<TrafficCount> {
        *self.subscribers[dispatcher].first_list.lock()
    }

    /// Number of complete lists sent to a dispatcher since the last [`Registry::reset_first_list`], whether or not it read them.
    #[must_use]
    pub fn lists_sent(&self, dispatcher: usize) -> usize {
        self.subscribers[dispatcher].lists_sent.load(Ordering::SeqCst)
    }

    /// Resets the first list and the number of lists of a dispatcher, before it starts again or the service moves.
    pub fn reset_first_list(&self, dispatcher: usize) {
        let subscriber = &self.subscribers[dispatcher];
        subscriber.lists_sent.store(0, Ordering::SeqCst);
        *subscriber.first_list.lock() = None;
    }

    /// Size of the current list in bytes, without framing.
    #[must_use]
    pub fn list_bytes(&self) -> usize {
        self.list.full_list().0.len()
    }

    /// Sets the state of a range of workers and notifies all watches.
    pub fn set_state(&self, state: &'static str, workers: Range<usize>) {
        self.list.update_entries(|_, entry| entry.state = state, workers);
    }

    /// Stops the service.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // A connection wakes the accepting coroutine, which then ends.
        for subscriber in &self.subscribers {
            drop(TcpStream::connect(subscriber.address));
            drop(TcpStream::connect(subscriber.moved_address));
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn serve(self: &Arc<Registry>, dispatcher: usize, listener: &TcpListener, moved: bool) {
        for stream in listener.incoming() {
            if self.is_stopped() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let registry = self.clone();
            let connection =
                Connection::new(stream).with_traffic_counters(&self.subscribers[dispatcher].traffic);
            may::go!(move || {
                let _ = registry.serve_connection(dispatcher, connection, moved);
            });
        }
    }

    fn serve_connection(&self, dispatcher: usize, mut connection: Connection, moved: bool) -> io::Result<()> {
        let subscriber = &self.subscribers[dispatcher];
        while let Some(request) = connection.read()? {
            if is_watch_request(&request) {
                subscriber.has_moved.fetch_or(moved, Ordering::SeqCst);
                return self.watch(subscriber, connection, known_revision(&request));
            }
            let (list, _) = self.list.full_list();
            subscriber.lists_sent.fetch_add(1, Ordering::SeqCst);
            connection.write(&response(200, "", &list))?;
            subscriber.record_first_list();
        }
        Ok(())
    }

    fn watch(&self, subscriber: &Subscriber, mut connection: Connection, after: u64) -> io::Result<()> {
        let opened = self.list.open_watch(after);
        subscriber.lists_sent.fetch_add(1, Ordering::SeqCst);
        connection.write(CHUNKED_HEAD)?;
        connection.write(&chunk(&opened.first_event))?;
        subscriber.record_first_list();
        let mut last_written = self.clock.now();
        while !self.is_stopped() {
            match opened.changes.recv_timeout(WATCH_CHECK_INTERVAL) {
                Ok(WatchEvent::Change { text, .. }) => connection.write(&chunk(&text))?,
                Err(RecvTimeoutError::Timeout) if self.clock.now() - last_written < KEEP_ALIVE_INTERVAL => {
                    continue;
                }
                Err(RecvTimeoutError::Timeout) => connection.write(&chunk(""))?,
                Ok(WatchEvent::End) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            last_written = self.clock.now();
        }
        Ok(())
    }
}

fn bind(count: usize) -> io::Result<Vec<TcpListener>> {
    (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect()
}
