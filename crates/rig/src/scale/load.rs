//! Clients of a measurement: requests at an even pace at each dispatcher, over kept connections.

use crate::http::Connection;
use crate::job_id::job_id;
use crate::time::{Clock, Micros, SECOND};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a client waits for an answer, and its dispatcher for the work.
pub const PATIENCE: Micros = 5 * SECOND;
/// Most requests under way at one dispatcher; one more is counted as not sent.
const MOST_OPEN: usize = 512;

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCount {
    /// With a worker's result.
    pub served: u64,
    /// With 429 or 503.
    pub refused: u64,
    /// Otherwise, or not at all.
    pub failed: u64,
    /// Not sent: too many were under way.
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
    pub fn sent(&self) -> u64 {
        self.served + self.refused + self.failed
    }
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    Refused,
    Failed,
}

/// The clients of one dispatcher.
struct Clients {
    listen: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    open: AtomicUsize,
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
    pub fn new(dispatchers: &[SocketAddr], clock: Clock) -> Arc<Load> {
        let clients = |listen: &SocketAddr| Clients {
            listen: *listen,
            idle: Mutex::default(),
            open: AtomicUsize::new(0),
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

    /// Sends so many requests to each dispatcher, evenly over a span that begins now.
    pub fn send(self: &Arc<Load>, each: u64, span: Micros) {
        let begin = self.clock.now();
        let pace = span as f64 / each.max(1) as f64;
        for dispatcher in 0..self.clients.len() {
            // Dispatchers take turns within a pace.
            let offset = pace * dispatcher as f64 / self.clients.len() as f64;
            let load = self.clone();
            may::go!(move || {
                for number in 0..each {
                    load.clock.sleep_until(begin + (pace * number as f64 + offset) as Micros);
                    load.ask(dispatcher);
                }
            });
        }
    }

    /// Requests under way.
    pub fn open(&self) -> usize {
        self.clients.iter().map(|c| c.open.load(Ordering::SeqCst)).sum()
    }

    /// How requests ended so far.
    pub fn count(&self) -> RequestCount {
        RequestCount {
            served: self.served.load(Ordering::SeqCst),
            refused: self.refused.load(Ordering::SeqCst),
            failed: self.failed.load(Ordering::SeqCst),
            not_sent: self.not_sent.load(Ordering::SeqCst),
        }
    }

    /// Sends one, and counts how it ends.
    fn ask(self: &Arc<Load>, dispatcher: usize) {
        let open = &self.clients[dispatcher].open;
        if open.fetch_add(1, Ordering::SeqCst) >= MOST_OPEN {
            open.fetch_sub(1, Ordering::SeqCst);
            self.not_sent.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let load = self.clone();
        may::go!(move || {
            let count = match load.exchange(dispatcher).unwrap_or(End::Failed) {
                End::Served => &load.served,
                End::Refused => &load.refused,
                End::Failed => &load.failed,
            };
            count.fetch_add(1, Ordering::SeqCst);
            load.clients[dispatcher].open.fetch_sub(1, Ordering::SeqCst);
        });
    }

    fn exchange(&self, dispatcher: usize) -> io::Result<End> {
        let clients = &self.clients[dispatcher];
        let id = job_id(dispatcher, self.ids.fetch_add(1, Ordering::SeqCst));
        let kept = clients.idle.lock().ok().and_then(|mut idle| idle.pop());
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(clients.listen, Duration::from_secs(1))?,
        };
        let budget = PATIENCE / SECOND;
        let head =
            format!("X-Call-Id: {id}\r\nX-Call-Class: look\r\nX-Budget: {budget}\r\nContent-Length: 4");
        connection.write(&format!("POST /api/u HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\nbody"))?;
        connection.set_read_timeout(Duration::from_micros((PATIENCE + SECOND) as u64))?;
        let Some(answer) = connection.read()? else { return Ok(End::Failed) };
        if let Ok(mut idle) = clients.idle.lock()
            && answer.header("connection") != Some("close")
        {
            idle.push(connection);
        }
        let made = answer.body == format!("made-{id}").as_bytes();
        Ok(match answer.status() {
            200 if made => End::Served,
            429 | 503 => End::Refused,
            _ => End::Failed,
        })
    }
}
