//! The address of the discovery service, shared by the watcher and the code that reloads the
//! configuration.

use crate::core::clock;
use crate::wire::socket::Socket;
use may::sync::mpsc::Sender;
use parking_lot::Mutex;
use roselock::Micros;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Controls a [`DiscoveryWatcher`](super::DiscoveryWatcher): its address, and whether it watches
/// continuously.
#[derive(Clone)]
pub struct DiscoveryHandle {
    current: Arc<Mutex<HandleState>>,
    /// Whether the watch is kept open continuously instead of only after a poll request.
    always_watch: Arc<AtomicBool>,
    /// Number of times that the watcher has handled what it had read.
    reads: Arc<AtomicU64>,
    poll_requests: Sender<()>,
}

/// The current location, and the connection to it.
struct HandleState {
    location: Location,
    /// When the first of the moves was made that the watcher has not taken.
    first_untaken_move_at: Option<Micros>,
    /// The connection that the watcher reads from, if any.
    connection: Option<Socket>,
}

/// An address of the discovery service, with the number of moves that led to it.
#[derive(Clone, Copy)]
pub(super) struct Location {
    /// The address of the service.
    pub address: SocketAddr,
    /// Number of moves so far.
    pub generation: u64,
}

impl DiscoveryHandle {
    /// Creates a handle for the discovery service at `address`. `poll_requests` wakes the watcher.
    pub fn new(address: SocketAddr, poll_requests: Sender<()>, always_watch: bool) -> DiscoveryHandle {
        let location = Location { address, generation: 0 };
        let state = HandleState { location, first_untaken_move_at: None, connection: None };
        DiscoveryHandle {
            current: Arc::new(Mutex::new(state)),
            always_watch: Arc::new(AtomicBool::new(always_watch)),
            reads: Arc::default(),
            poll_requests,
        }
    }

    /// Whether the watch is kept open continuously.
    pub(super) fn always_watches(&self) -> bool {
        self.always_watch.load(Ordering::SeqCst)
    }

    /// Sets whether the watch is kept open continuously, as is needed when lists are pushed.
    pub fn set_always_watch(&self, always_watch: bool) {
        if self.always_watch.swap(always_watch, Ordering::SeqCst) != always_watch {
            self.wake_watcher();
        }
    }

    /// Moves the discovery service to `address`: closes the watch at the former address and wakes the
    /// watcher. Returns false if `address` is the current one.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        let mut current = self.current.lock();
        if current.location.address == address {
            return false;
        }
        current.location = Location { address, generation: current.location.generation + 1 };
        current.first_untaken_move_at.get_or_insert_with(clock::now);
        if let Some(connection) = current.connection.take() {
            connection.close();
        }
        drop(current);
        self.wake_watcher();
        true
    }

    /// The current location, and when the first of the moves since the last call was made, if there were any.
    pub(super) fn take_moves(&self) -> (Location, Option<Micros>) {
        let mut current = self.current.lock();
        (current.location, current.first_untaken_move_at.take())
    }

    /// The current location of the discovery service.
    pub(super) fn location(&self) -> Location {
        self.current.lock().location
    }

    /// Registers the watcher's connection, so that a move closes it. Returns false if the discovery service
    /// was moved after `location` was read.
    pub(super) fn register_connection(&self, location: Location, connection: &Socket) -> bool {
        let mut current = self.current.lock();
        if current.location.generation != location.generation {
            return false;
        }
        current.connection = Some(connection.clone());
        true
    }

    /// Records that the watcher's connection has ended.
    pub(super) fn forget_connection(&self) {
        self.current.lock().connection = None;
    }

    /// Records that the watcher has handled what it had read.
    pub(super) fn record_read(&self) {
        self.reads.fetch_add(1, Ordering::SeqCst);
    }

    /// The number of times that the watcher has handled what it had read.
    pub(super) fn reads(&self) -> u64 {
        self.reads.load(Ordering::SeqCst)
    }

    /// Whether bytes from the discovery service wait to be read.
    pub(super) fn has_unread_bytes(&self) -> bool {
        self.current.lock().connection.as_ref().is_some_and(Socket::has_unread_bytes)
    }

    fn wake_watcher(&self) {
        let _ = self.poll_requests.send(());
    }
}

#[cfg(test)]
#[path = "handle_tests.rs"]
mod tests;
