//! Clients of a measurement: requests at an even rate at each dispatcher, over connections that are reused.

use crate::connection_pool::ConnectionPool;
use crate::http::{Connection, job_request};
use crate::job_id::job_id;
use crate::time::{Clock, Micros, SECOND};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// How long a client waits for an answer, and its dispatcher for the result, in microseconds.
pub const REQUEST_TIMEOUT: Micros = 5 * SECOND;
/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most requests in flight at one dispatcher; one more is counted as not sent.
const MAX_IN_FLIGHT: usize = 512;

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCount {
    /// With a worker's result.
    pub served: u64,
    /// With 429 or 503.
    pub refused: u64,
    /// Otherwise, or not at all.
    pub failed: u64,
    /// Not sent: too many were in flight.
    pub not_sent: u64,
}

impl AddAssign for RequestCount {
    fn add_assign(&mut self, other: RequestCount) {
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.not_sent += other.not_sent;
    }
}

impl RequestCount {
    /// Those that reached a dispatcher.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.served + self.refused + self.failed
    }
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    Rejected,
    Failed,
}

/// The clients of one dispatcher.
struct Clients {
    listen: SocketAddr,
    connections: ConnectionPool,
    in_flight: AtomicUsize,
}

/// The clients of all dispatchers.
pub struct Load {
    clock: Clock,
    clients: Vec<Clients>,
    ids: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    not_sent: AtomicU64,
}

impl Load {
    /// Clients that have sent nothing yet.
    #[must_use]
    pub fn new(dispatchers: &[SocketAddr], clock: Clock) -> Arc<Load> {
        let clients = |listen: &SocketAddr| Clients {
            listen: *listen,
            connections: ConnectionPool::default(),
            in_flight: AtomicUsize::new(0),
        };
        Arc::new(Load {
            clock,
            clients: dispatchers.iter().map(clients).collect(),
            ids: AtomicU64::new(0),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            not_sent: AtomicU64::new(0),
        })
    }

    /// Sends `each` requests to each dispatcher, evenly over a span in microseconds that begins now.
    pub fn send(self: &Arc<Load>, each: u64, span: Micros) {
        let start = self.clock.now();
        let interval = span as f64 / each.max(1) as f64;
        for dispatcher in 0..self.clients.len() {
            // The dispatchers' requests are interleaved.
            let offset = interval * dispatcher as f64 / self.clients.len() as f64;
            let load = self.clone();
            may::go!(move || {
                for number in 0..each {
                    load.clock.sleep_until(start + (interval * number as f64 + offset) as Micros);
                    load.send_request(dispatcher);
                }
            });
        }
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.clients.iter().map(|clients| clients.in_flight.load(Ordering::SeqCst)).sum()
    }

    /// How requests ended so far.
    #[must_use]
    pub fn count(&self) -> RequestCount {
        RequestCount {
            served: self.served.load(Ordering::SeqCst),
            refused: self.refused.load(Ordering::SeqCst),
            failed: self.failed.load(Ordering::SeqCst),
            not_sent: self.not_sent.load(Ordering::SeqCst),
        }
    }

    /// Sends one, and counts how it ends.
    fn send_request(self: &Arc<Load>, dispatcher: usize) {
        let in_flight = &self.clients[dispatcher].in_flight;
        if in_flight.fetch_add(1, Ordering::SeqCst) >= MAX_IN_FLIGHT {
            in_flight.fetch_sub(1, Ordering::SeqCst);
            self.not_sent.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let load = self.clone();
        may::go!(move || {
            let count = match load.exchange(dispatcher).unwrap_or(End::Failed) {
                End::Served => &load.served,
                End::Rejected => &load.refused,
                End::Failed => &load.failed,
            };
            count.fetch_add(1, Ordering::SeqCst);
            load.clients[dispatcher].in_flight.fetch_sub(1, Ordering::SeqCst);
        });
    }

    fn exchange(&self, dispatcher: usize) -> io::Result<End> {
        let clients = &self.clients[dispatcher];
        let id = job_id(dispatcher, self.ids.fetch_add(1, Ordering::SeqCst));
        let open = || Connection::open(clients.listen, CONNECT_TIMEOUT);
        let mut connection = clients.connections.take_or_open(open)?;
        let budget_s = REQUEST_TIMEOUT / SECOND;
        connection.write(&job_request(&id, "look", &budget_s.to_string()))?;
        connection.set_read_timeout(Duration::from_micros((REQUEST_TIMEOUT + SECOND) as u64))?;
        let Some(response) = connection.read()? else { return Ok(End::Failed) };
        if response.keeps_alive() {
            clients.connections.put(connection);
        }
        let is_result = response.body == format!("made-{id}").as_bytes();
        Ok(match response.status() {
            200 if is_result => End::Served,
            429 | 503 => End::Rejected,
            _ => End::Failed,
        })
    }
}
