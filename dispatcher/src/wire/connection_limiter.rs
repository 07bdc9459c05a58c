//! The connections that a front accepts: how many there may be, and which of them go where there are too many.

use super::socket::Socket;
use may::net::{TcpListener, TcpStream};
use parking_lot::{Mutex, MutexGuard};
use roselock::{Micros, SECOND};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// How long a connection may take from its first moment to its first whole message: more than the 2 s over which slow clients
/// write, less than the 3 s within which who stops is owed an error or a close, with room on both sides. Who says nothing, or
/// half of something, is told or closed after it.
pub const FIRST_REQUEST_TIMEOUT: Micros = SECOND * 27 / 10;
/// How long a further message may take to come in, from its first byte.
pub const REQUEST_READ_TIMEOUT: Micros = SECOND * 27 / 10;
/// Connections beyond the most that are accepted while others are being shed.
const OVER: usize = 8;
/// Looks, a millisecond apart, for such as need not be missed before one goes that is between requests.
const PATIENT: u32 = 4;
/// Most bytes that are read and dropped before one goes.
const DRAINED: usize = 64 << 10;

/// Which connections go first where there are too many; of equals the oldest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedPriority {
    /// Its last message has been sent: it is closing.
    Closing,
    /// It has not sent a valid message yet.
    Unidentified,
    /// It is between requests.
    Idle,
}

/// A front's connections.
pub struct ConnectionLimiter {
    /// Most connections.
    pub max_connections: usize,
    open: AtomicUsize,
    spare: Mutex<BTreeMap<(ShedPriority, u64), Socket>>,
    spared: AtomicU64,
}

impl ConnectionLimiter {
    /// An empty one for so many.
    pub fn new(most: usize) -> Arc<ConnectionLimiter> {
        Arc::new(ConnectionLimiter {
            max_connections: most,
            open: AtomicUsize::new(0),
            spare: Mutex::default(),
            spared: AtomicU64::new(0),
        })
    }
    fn spares(&self) -> MutexGuard<'_, BTreeMap<(ShedPriority, u64), Socket>> {
        self.spare.lock()
    }
    /// Notes that a connection may go.
    pub fn spare(self: &Arc<ConnectionLimiter>, rank: ShedPriority, socket: &Socket) -> SheddableConnection {
        let key = (rank, self.spared.fetch_add(1, Ordering::SeqCst));
        self.spares().insert(key, socket.clone());
        SheddableConnection(self.clone(), key)
    }
    /// Ends the connection that is missed least, up to a rank; false if there is none.
    fn shed(&self, up_to: ShedPriority) -> bool {
        let mut spares = self.spares();
        let least = spares.first_entry().filter(|e| e.key().0 <= up_to).map(|e| e.remove());
        drop(spares);
        least.iter().for_each(|socket| {
            socket.finish();
            socket.drain(DRAINED);
            socket.close();
        });
        least.is_some()
    }
    /// Says on all connections that may go that nothing more will be written. What comes on them is not taken any more.
    pub fn finish_writes(&self) {
        std::mem::take(&mut *self.spares()).values().for_each(Socket::finish);
    }
    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Accepts connections, each served by a coroutine of its own, for as long as `go_on` says so after each one.
    pub fn accept<G, S>(self: &Arc<ConnectionLimiter>, listener: &TcpListener, go_on: G, serve: S)
    where
        G: Fn() -> bool,
        S: Fn(TcpStream, SocketAddr) + Clone + Send + 'static,
    {
        while go_on() {
            let Ok((stream, peer)) = listener.accept() else {
                // Out of descriptors for a moment.
                may::coroutine::sleep(Duration::from_millis(2));
                continue;
            };
            let open = self.open.fetch_add(1, Ordering::SeqCst);
            let (table, serve) = (self.clone(), serve.clone());
            may::go!(move || {
                serve(stream, peer);
                table.open.fetch_sub(1, Ordering::SeqCst);
            });
            // It may read what has come with it before the next one is looked at.
            may::coroutine::yield_now();
            if open >= self.max_connections {
                self.shed_one();
            }
        }
    }

    /// One goes for one that came. It ends by an event of its socket, which the runtime looks for when nothing else
    /// runs, and counts until then. Some of them may soon be found not to have identified themselves, so a
    /// connection between requests is kept a little longer.
    fn shed_one(&self) {
        let (mut owed, mut waited) = (!self.shed(ShedPriority::Unidentified), 0);
        while self.open.load(Ordering::SeqCst) >= self.max_connections + OVER {
            may::coroutine::sleep(Duration::from_millis(1));
            waited += 1;
            let up_to = if waited < PATIENT { ShedPriority::Unidentified } else { ShedPriority::Idle };
            owed = owed && !self.shed(up_to);
        }
    }
}

/// A connection that may go, until this is dropped.
pub struct SheddableConnection(Arc<ConnectionLimiter>, (ShedPriority, u64));

impl SheddableConnection {
    /// It is needed from now on; false where it has been ended: what it sent is not taken, and may be sent again.
    pub fn reclaim(self) -> bool {
        self.0.spares().remove(&self.1).is_some()
    }
}

impl Drop for SheddableConnection {
    fn drop(&mut self) {
        self.0.spares().remove(&self.1);
    }
}
