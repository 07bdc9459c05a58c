//! The address of discovery, shared by the watcher and whoever moves it.

use crate::core::clock;
use crate::wire::socket::Socket;
use may::sync::mpsc::Sender;
use parking_lot::Mutex;
use roselock::Micros;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Moves a [`DiscoveryWatcher`](super::DiscoveryWatcher) to another address, and says when it watches.
#[derive(Clone)]
pub struct DiscoveryHandle {
    current: Arc<Mutex<Current>>,
    /// The watch is kept open all the time, not only after a poll request.
    always_watch: Arc<AtomicBool>,
    poll_requests: Sender<()>,
}

/// Where discovery is at present.
struct Current {
    location: Location,
    /// The connection that the watcher reads from.
    connection: Option<Socket>,
}

/// The address of discovery after so many moves.
#[derive(Clone, Copy)]
pub(super) struct Location {
    /// The address.
    pub address: SocketAddr,
    /// How often it was moved.
    pub generation: u64,
    /// When it was moved here; 0 where it never was.
    pub moved_at: Micros,
}

impl DiscoveryHandle {
    /// Discovery at an address. `poll_requests` wakes the watcher.
    pub fn new(address: SocketAddr, poll_requests: Sender<()>, always_watch: bool) -> DiscoveryHandle {
        let location = Location { address, generation: 0, moved_at: 0 };
        DiscoveryHandle {
            current: Arc::new(Mutex::new(Current { location, connection: None })),
            always_watch: Arc::new(AtomicBool::new(always_watch)),
            poll_requests,
        }
    }

    /// Whether the watch is kept open all the time.
    pub(super) fn always_watches(&self) -> bool {
        self.always_watch.load(Ordering::SeqCst)
    }

    /// Sets whether the watch is kept open all the time, as lists are pushed.
    pub fn set_always_watch(&self, always_watch: bool) {
        if self.always_watch.swap(always_watch, Ordering::SeqCst) != always_watch {
            self.wake_watcher();
        }
    }

    /// Moves discovery to an address: closes the watch at the former one and wakes the watcher. False if it is there
    /// already.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        let mut current = self.current.lock();
        if current.location.address == address {
            return false;
        }
        current.location =
            Location { address, generation: current.location.generation + 1, moved_at: clock::now() };
        if let Some(connection) = current.connection.take() {
            connection.close();
        }
        drop(current);
        self.wake_watcher();
        true
    }

    /// Where discovery is at present.
    pub(super) fn location(&self) -> Location {
        self.current.lock().location
    }

    /// Registers the watcher's connection, so that a move closes it; false if there was a move since `location`.
    pub(super) fn register_connection(&self, location: Location, connection: &Socket) -> bool {
        let mut current = self.current.lock();
        if current.location.generation != location.generation {
            return false;
        }
        current.connection = Some(connection.clone());
        true
    }

    fn wake_watcher(&self) {
        let _ = self.poll_requests.send(());
    }
}
