//! Load generator: sends requests to each dispatcher at a constant rate, over reused connections.

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

/// Time budget of a request at its dispatcher, in microseconds. A client waits one second longer for the response.
pub const REQUEST_TIMEOUT: Micros = 5 * SECOND;
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of the requests in flight at one dispatcher; further ones are counted as not sent.
const MAX_IN_FLIGHT: usize = 512;

/// Numbers of requests by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCount {
    /// Answered with a worker's result.
    pub served: u64,
    /// Rejected with 429 or 503.
    pub refused: u64,
    /// Ended in any other way, or without a response.
    pub failed: u64,
    /// Not sent, as too many requests were in flight.
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
    /// Number of requests that were sent.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.served + self.refused + self.failed
    }
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestOutcome {
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
pub struct LoadGenerator {
    clock: Clock,
    clients: Vec<Clients>,
    next_id: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    not_sent: AtomicU64,
}

impl LoadGenerator {
    /// Creates the clients; they send nothing until [`LoadGenerator::send`].
    #[must_use]
    pub fn new(dispatchers: &[SocketAddr], clock: Clock) -> Arc<LoadGenerator> {
        let clients = |listen: &SocketAddr| Clients {
            listen: *listen,
            connections: ConnectionPool::default(),
            in_flight: AtomicUsize::new(0),
        };
        Arc::new(LoadGenerator {
            clock,
            clients: dispatchers.iter().map(clients).collect(),
            next_id: AtomicU64::new(0),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            not_sent: AtomicU64::new(0),
        })
    }

    /// Sends `count` requests to each dispatcher, at even intervals over the next `duration` microseconds.
    pub fn send(self: &Arc<LoadGenerator>, count: u64, duration: Micros) {
        let start = self.clock.now();
        let interval = duration as f64 / count.max(1) as f64;
        for dispatcher in 0..self.clients.len() {
            // Requests to different dispatchers are interleaved.
            let offset = interval * dispatcher as f64 / self.clients.len() as f64;
            let load = self.clone();
            may::go!(move || {
                for number in 0..count {
                    load.clock.sleep_until(start + (interval * number as f64 + offset) as Micros);
                    load.send_request(dispatcher);
                }
            });
        }
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.clients.iter().map(|clients| clients.in_flight.load(Ordering::SeqCst)).sum()
    }

    /// Numbers of requests so far, by how they ended.
    #[must_use]
    pub fn count(&self) -> RequestCount {
        RequestCount {
            served: self.served.load(Ordering::SeqCst),
            refused: self.refused.load(Ordering::SeqCst),
            failed: self.failed.load(Ordering::SeqCst),
            not_sent: self.not_sent.load(Ordering::SeqCst),
        }
    }

    /// Sends one request in the background and counts how it ends.
    fn send_request(self: &Arc<LoadGenerator>, dispatcher: usize) {
        let in_flight = &self.clients[dispatcher].in_flight;
        if in_flight.fetch_add(1, Ordering::SeqCst) >= MAX_IN_FLIGHT {
            in_flight.fetch_sub(1, Ordering::SeqCst);
            self.not_sent.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let load = self.clone();
        may::go!(move || {
            let counter = match load.exchange(dispatcher).unwrap_or(RequestOutcome::Failed) {
                RequestOutcome::Served => &load.served,
                RequestOutcome::Rejected => &load.refused,
                RequestOutcome::Failed => &load.failed,
            };
            counter.fetch_add(1, Ordering::SeqCst);
            load.clients[dispatcher].in_flight.fetch_sub(1, Ordering::SeqCst);
        });
    }

    fn exchange(&self, dispatcher: usize) -> io::Result<RequestOutcome> {
        let clients = &self.clients[dispatcher];
        let id = job_id(dispatcher, self.next_id.fetch_add(1, Ordering::SeqCst));
        let open = || Connection::open(clients.listen, CONNECT_TIMEOUT);
        let mut connection = clients.connections.take_or_open(open)?;
        let budget_s = REQUEST_TIMEOUT / SECOND;
        connection.write(&job_request(&id, "look", &budget_s.to_string()))?;
        connection.set_read_timeout(Duration::from_micros((REQUEST_TIMEOUT + SECOND) as u64))?;
        let Some(response) = connection.read()? else { return Ok(RequestOutcome::Failed) };
        if response.keeps_alive() {
            clients.connections.put(connection);
        }
        let is_result = response.body == format!("made-{id}").as_bytes();
        Ok(match response.status() {
            200 if is_result => RequestOutcome::Served,
            429 | 503 => RequestOutcome::Rejected,
            _ => RequestOutcome::Failed,
        })
    }
}
