//! The connections that a listener accepts: how many there may be, and which of them are shed beyond that.

use super::socket::Socket;
use may::net::{TcpListener, TcpStream};
use parking_lot::Mutex;
use roselock::{Micros, SECOND};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// How long a connection may take from its start to its first complete message, in microseconds: more than
/// the 2 s over which slow clients write, less than the 3 s within which a client that stops sending is owed
/// an error or a close, with a margin on both sides. A client that has sent nothing, or part of a message,
/// gets an error or a close after it.
pub const FIRST_REQUEST_TIMEOUT: Micros = SECOND * 27 / 10;
/// How long a further message may take to arrive, from its first byte, in microseconds.
pub const REQUEST_READ_TIMEOUT: Micros = SECOND * 27 / 10;
/// Connections beyond the limit that are accepted while others are being shed.
const MAX_EXCESS_CONNECTIONS: usize = 8;
/// How often the number of connections is polled while it is above that.
const SHED_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Polls in which only unidentified or closing connections are shed; after them, idle ones are shed too.
const POLLS_BEFORE_IDLE_SHED: u32 = 4;
/// Most bytes that are read and discarded before a connection is shed.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(2);

/// Which connections are shed first; among equals the oldest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedPriority {
    /// Its last message has been sent: it is closing.
    Closing,
    /// It has not sent a valid message yet.
    Unidentified,
    /// It is between requests.
    Idle,
}

/// The place of a sheddable connection in the order of shedding.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ShedKey {
    priority: ShedPriority,
    sequence: u64,
}

/// The connections of a listener.
pub struct ConnectionLimiter {
    /// Most connections.
    pub max_connections: usize,
    open: AtomicUsize,
    sheddable: Mutex<BTreeMap<ShedKey, Socket>>,
    next_sequence: AtomicU64,
}

impl ConnectionLimiter {
    /// A limiter without connections.
    pub fn new(max_connections: usize) -> Arc<ConnectionLimiter> {
        Arc::new(ConnectionLimiter {
            max_connections,
            open: AtomicUsize::new(0),
            sheddable: Mutex::default(),
            next_sequence: AtomicU64::new(0),
        })
    }

    /// Marks a connection as sheddable until the result is dropped.
    pub fn mark_sheddable(
        self: &Arc<ConnectionLimiter>,
        priority: ShedPriority,
        socket: &Socket,
    ) -> SheddableConnection {
        let sequence = self.next_sequence.fetch_add(1, Ordering::SeqCst);
        let key = ShedKey { priority, sequence };
        self.sheddable.lock().insert(key, socket.clone());
        SheddableConnection { limiter: self.clone(), key }
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Shuts down the writing direction of all sheddable connections. Requests that arrive on them from now
    /// on are not accepted.
    pub fn finish_writes(&self) {
        let sheddable = std::mem::take(&mut *self.sheddable.lock());
        for socket in sheddable.values() {
            socket.shut_down_writes();
        }
    }

    /// Accepts connections as long as `may_accept` holds, which is checked before each one. Each is served by
    /// a coroutine of its own.
    pub fn accept<G, S>(self: &Arc<ConnectionLimiter>, listener: &TcpListener, may_accept: G, serve: S)
    where
        G: Fn() -> bool,
        S: Fn(TcpStream, SocketAddr) + Clone + Send + 'static,
    {
        while may_accept() {
            let Ok((stream, peer)) = listener.accept() else {
                // Out of descriptors for a moment.
                may::coroutine::sleep(ACCEPT_RETRY_PAUSE);
                continue;
            };
            let open_before = self.open.fetch_add(1, Ordering::SeqCst);
            let limiter = self.clone();
            let serve = serve.clone();
            may::go!(move || {
                serve(stream, peer);
                limiter.open.fetch_sub(1, Ordering::SeqCst);
            });
            // It may read what has arrived with it before the next one is accepted.
            may::coroutine::yield_now();
            if open_before >= self.max_connections {
                self.shed_one();
            }
        }
    }

    /// Sheds one connection for one that was accepted. A shed connection ends on an event of its socket,
    /// which the runtime polls for when nothing else runs, and counts as open until then. Others may soon
    /// turn out to be unidentified, so connections between requests are shed a little later.
    fn shed_one(&self) {
        let mut must_shed = !self.shed(ShedPriority::Unidentified);
        let mut polls = 0;
        while self.open() >= self.max_connections + MAX_EXCESS_CONNECTIONS {
            may::coroutine::sleep(SHED_POLL_INTERVAL);
            polls += 1;
            let last_priority =
                if polls < POLLS_BEFORE_IDLE_SHED { ShedPriority::Unidentified } else { ShedPriority::Idle };
            must_shed = must_shed && !self.shed(last_priority);
        }
    }

    /// Closes the first sheddable connection with a priority up to this one; false if there is none.
    fn shed(&self, last_priority: ShedPriority) -> bool {
        let Some(socket) = self.take_first(last_priority) else { return false };
        socket.shut_down_writes();
        socket.discard_received(MAX_DISCARDED_BYTES);
        socket.close();
        true
    }

    fn take_first(&self, last_priority: ShedPriority) -> Option<Socket> {
        let mut sheddable = self.sheddable.lock();
        let first = sheddable.first_entry()?;
        (first.key().priority <= last_priority).then(|| first.remove())
    }
}

/// A connection that may be shed until this is dropped.
pub struct SheddableConnection {
    limiter: Arc<ConnectionLimiter>,
    key: ShedKey,
}

impl SheddableConnection {
    /// Protects the connection from being shed. False if it has been shed: what it sent is not accepted, and
    /// may be sent again.
    #[must_use]
    pub fn reclaim(self) -> bool {
        self.remove()
    }

    fn remove(&self) -> bool {
        self.limiter.sheddable.lock().remove(&self.key).is_some()
    }
}

impl Drop for SheddableConnection {
    fn drop(&mut self) {
        self.remove();
    }
}
