//! Limits the connections that a listener accepts, and selects the ones that are shed (closed to make room)
//! above the limit.

use super::socket::Socket;
use crate::core::{ResourceLimit, clock};
use may::net::{TcpListener, TcpStream};
use parking_lot::Mutex;
use roselock::{Micros, SECOND};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time limit from the start of a connection to its first complete message. A client that has sent nothing or
/// only a part of a message by then gets an error or a close. The limit lies between the 2 s that slow
/// clients take to write a request and the 3 s within which a client that stops sending must get an error or
/// a close, with a margin on both sides.
pub const FIRST_REQUEST_TIMEOUT: Micros = SECOND * 27 / 10;
/// Time limit for receiving each later message, from its first byte.
pub const REQUEST_READ_TIMEOUT: Micros = SECOND * 27 / 10;
/// Maximum number of connections above the limit that are accepted while others are being shed.
const MAX_EXCESS_CONNECTIONS: usize = 8;
/// Interval at which the number of connections is polled while it is above that maximum.
const SHED_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Number of polls in which only unidentified and closing connections are shed. After that, idle connections
/// are shed as well.
const POLLS_BEFORE_IDLE_SHED: u32 = 4;
/// Maximum number of bytes that are read and discarded before a connection is shed.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(2);

/// The order in which connections are shed: lowest value first, and the oldest first among equals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedPriority {
    /// The last response has been sent and the connection is closing.
    Closing,
    /// The client has not sent a valid message yet.
    Unidentified,
    /// The connection is between requests.
    Idle,
}

/// The sort key of a sheddable connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ShedKey {
    priority: ShedPriority,
    sequence: u64,
}

/// The connections of a listener.
pub struct ConnectionLimiter {
    limit: ResourceLimit,
    sheddable: Mutex<BTreeMap<ShedKey, Socket>>,
    next_sequence: AtomicU64,
}

impl ConnectionLimiter {
    /// Creates a limiter without connections.
    pub fn new(limit: ResourceLimit) -> Arc<ConnectionLimiter> {
        Arc::new(ConnectionLimiter { limit, sheddable: Mutex::default(), next_sequence: AtomicU64::new(0) })
    }

    /// Marks a connection as sheddable until the returned guard is dropped.
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
        self.limit.used()
    }

    /// Maximum number of open connections at this time.
    pub fn max_connections(&self) -> usize {
        self.limit.current()
    }

    /// Shuts down the write side of all sheddable connections. Requests that arrive on them later are not
    /// accepted.
    pub fn shut_down_sheddable_writes(&self) {
        let sheddable = std::mem::take(&mut *self.sheddable.lock());
        for socket in sheddable.values() {
            socket.shut_down_writes();
        }
    }

    /// Accepts connections while `may_accept` returns true; it is checked before each accept. Each connection
    /// is served by its own coroutine.
    pub fn accept<G, S>(self: &Arc<ConnectionLimiter>, listener: &TcpListener, may_accept: G, serve: S)
    where
        G: Fn() -> bool,
        S: Fn(TcpStream, SocketAddr) + Clone + Send + 'static,
    {
        while may_accept() {
            let Ok((stream, peer)) = listener.accept() else {
                // Typically a temporary lack of file descriptors.
                clock::sleep(ACCEPT_RETRY_DELAY);
                continue;
            };
            let open_before = self.limit.add(1);
            let limiter = self.clone();
            let serve = serve.clone();
            may::go!(move || {
                serve(stream, peer);
                limiter.limit.remove(1);
            });
            // Lets the coroutine read what has arrived with the connection before the next one is accepted.
            may::coroutine::yield_now();
            if open_before >= self.max_connections() {
                self.shed_one();
            }
        }
    }

    /// Sheds one connection to make room for one that was accepted. The coroutine of a shed connection ends
    /// on a socket event, and the connection counts as open until then; the runtime polls for socket events
    /// only when no coroutine is runnable. Idle connections are shed only after a few polls, because another
    /// connection may turn out to be unidentified in the meantime.
    fn shed_one(&self) {
        let mut must_shed = !self.shed_first(ShedPriority::Unidentified);
        let mut polls = 0;
        while self.open() >= self.max_connections() + MAX_EXCESS_CONNECTIONS {
            clock::sleep(SHED_POLL_INTERVAL);
            polls += 1;
            let last_priority =
                if polls < POLLS_BEFORE_IDLE_SHED { ShedPriority::Unidentified } else { ShedPriority::Idle };
            must_shed = must_shed && !self.shed_first(last_priority);
        }
    }

    /// Sheds the first sheddable connection whose priority is at most `last_priority`. Returns false if there is none. The
    /// reader of a connection without an answer yet ends it, since a request that has arrived must be answered.
    fn shed_first(&self, last_priority: ShedPriority) -> bool {
        let Some((priority, socket)) = self.take_first(last_priority) else { return false };
        tracing::debug!(
            ?priority,
            open = self.open(),
            max = self.max_connections(),
            "client connection shed"
        );
        if priority == ShedPriority::Closing {
            socket.shut_down_writes();
            socket.discard_received(MAX_DISCARDED_BYTES);
            socket.close();
        } else {
            socket.shut_down_reads();
        }
        true
    }

    /// Sheds connections beyond the limit, which falls when another process of an upgrade starts. Connections whose request
    /// is being served stay.
    pub fn shed_excess(&self) {
        for _ in 0..self.limit.excess() {
            if !self.shed_first(ShedPriority::Idle) {
                return;
            }
        }
    }

    fn take_first(&self, last_priority: ShedPriority) -> Option<(ShedPriority, Socket)> {
        let mut sheddable = self.sheddable.lock();
        let first = sheddable.first_entry()?;
        let priority = first.key().priority;
        (priority <= last_priority).then(|| (priority, first.remove()))
    }
}

/// Guard of a sheddable connection, which may be shed until the guard is dropped.
pub struct SheddableConnection {
    limiter: Arc<ConnectionLimiter>,
    key: ShedKey,
}

impl SheddableConnection {
    /// Whether the connection has been shed.
    pub fn is_shed(&self) -> bool {
        !self.limiter.sheddable.lock().contains_key(&self.key)
    }

    /// Makes the connection no longer sheddable. Returns false if it has already been shed: it ends after the answer to
    /// what has been read.
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
