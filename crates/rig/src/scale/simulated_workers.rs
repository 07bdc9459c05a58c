//! Simulated workers: each has a name, an entry in the list and an address of its own that answers, and all of them share
//! one listener. A job is accepted at once, runs for a fixed time, and is reported by callbacks; there is no other state.

use crate::connection_pool::ConnectionPool;
use crate::http::{Connection, job_event_request, response};
use crate::job_id::dispatcher_of;
use crate::list::ListEntry;
use crate::net;
use crate::time::{Clock, Micros, SECOND};
use crate::traffic::{Traffic, TrafficCount};
use may::net::TcpListener;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// How long a job runs, in microseconds.
pub const JOB_DURATION: Micros = SECOND / 20;
/// Most jobs that run at all workers together; one more is rejected.
const MAX_JOBS: usize = 20_000;
/// Most idle connections for callbacks to a dispatcher.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// How long a worker waits for the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a callback waits for a connection, and for a response.
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// The traffic at all workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCount {
    /// On connections that dispatchers opened.
    pub requests: TrafficCount,
    /// On connections that workers opened for callbacks.
    pub callbacks: TrafficCount,
}

/// The simulated workers.
pub struct SimulatedWorkers {
    clock: Clock,
    net: u8,
    count: usize,
    port: u16,
    /// Where callbacks go, by dispatcher.
    dispatchers: Vec<SocketAddr>,
    /// Idle connections for callbacks, by dispatcher.
    callback_connections: Vec<ConnectionPool>,
    requests: Arc<Traffic>,
    callbacks: Arc<Traffic>,
    /// Jobs that run.
    jobs: AtomicUsize,
    over: AtomicBool,
}

impl SimulatedWorkers {
    /// So many workers in a net of 127/8 that answer from now on.
    ///
    /// # Errors
    ///
    /// There is no free port.
    pub fn start(
        count: usize,
        net: u8,
        dispatchers: Vec<SocketAddr>,
        clock: Clock,
    ) -> io::Result<Arc<SimulatedWorkers>> {
        // One descriptor for all addresses; a connection to any other address is not served.
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        let workers = Arc::new(SimulatedWorkers {
            clock,
            net,
            count,
            port: listener.local_addr()?.port(),
            callback_connections: dispatchers.iter().map(|_| ConnectionPool::default()).collect(),
            dispatchers,
            requests: Arc::default(),
            callbacks: Arc::default(),
            jobs: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        });
        let serving = workers.clone();
        may::go!(move || serving.serve(&listener));
        Ok(workers)
    }

    /// Their entries in the list.
    #[must_use]
    pub fn entries(&self) -> Vec<ListEntry> {
        let entry = |number: usize| {
            let address = SocketAddr::from((net::address(self.net, number), self.port));
            ListEntry::ready(uid(number), address.to_string())
        };
        (0..self.count).map(entry).collect()
    }

    /// The traffic so far.
    #[must_use]
    pub fn count(&self) -> WorkerCount {
        WorkerCount { requests: self.requests.count(), callbacks: self.callbacks.count() }
    }

    /// Stops them.
    pub fn stop(&self) {
        self.over.store(true, Ordering::SeqCst);
        drop(TcpStream::connect((Ipv4Addr::LOCALHOST, self.port)));
    }

    fn serve(self: &Arc<SimulatedWorkers>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.over.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let Ok(address) = stream.local_addr() else { continue };
            let Some(number) = self.number_at(address) else { continue };
            let workers = self.clone();
            may::go!(move || {
                let connection = Connection::new(stream).counted(&workers.requests);
                let _ = workers.serve_connection(number, connection);
            });
        }
    }

    /// The worker at an address. Addresses of 127/8 are reached over loopback only.
    fn number_at(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        net::number_at(self.net, ip).filter(|number| *number < self.count)
    }

    fn serve_connection(
        self: &Arc<SimulatedWorkers>,
        number: usize,
        mut connection: Connection,
    ) -> io::Result<()> {
        connection.set_read_timeout(IDLE_TIMEOUT)?;
        while let Some(request) = connection.read()? {
            if request.start[0] == "DELETE" {
                connection.write(&response(200, "", ""))?;
                continue;
            }
            let id = request.header("x-call-id").unwrap_or("").to_owned();
            let dispatcher = dispatcher_of(&id).filter(|number| *number < self.dispatchers.len());
            let Some(dispatcher) = dispatcher else {
                connection.write(&response(404, "", ""))?;
                continue;
            };
            if self.jobs.fetch_add(1, Ordering::SeqCst) >= MAX_JOBS {
                self.jobs.fetch_sub(1, Ordering::SeqCst);
                connection.write(&response(503, "X-Rejected: 1\r\n", ""))?;
                continue;
            }
            connection.write(&response(202, "", ""))?;
            let workers = self.clone();
            may::go!(move || workers.run(number, dispatcher, &id));
        }
        Ok(())
    }

    fn run(&self, number: usize, dispatcher: usize, id: &str) {
        let ends_at = self.clock.now() + JOB_DURATION;
        let from = uid(number);
        let started = format!(r#"{{"id":"{id}","from":"{from}","state":"started"}}"#);
        let _ = self.call_back(dispatcher, &started);
        self.clock.sleep_until(ends_at);
        let result = format!(r#""state":"done","result":"made-{id}","load":{{"x0":2,"queue":0}}"#);
        let done = format!(r#"{{"id":"{id}","from":"{from}",{result}}}"#);
        let _ = self.call_back(dispatcher, &done);
        self.jobs.fetch_sub(1, Ordering::SeqCst);
    }

    /// Sends a dispatcher a callback, in one attempt.
    fn call_back(&self, dispatcher: usize, body: &str) -> io::Result<()> {
        let pool = &self.callback_connections[dispatcher];
        let mut connection = pool.take_or_open(|| {
            let connection = Connection::open(self.dispatchers[dispatcher], CALLBACK_TIMEOUT)?;
            Ok(connection.counted(&self.callbacks))
        })?;
        connection.set_read_timeout(CALLBACK_TIMEOUT)?;
        connection.write(&job_event_request(body))?;
        let response = connection.read()?;
        if response.is_some_and(|response| response.status() == 204) {
            pool.put_within(MAX_IDLE_CONNECTIONS, connection);
        }
        Ok(())
    }
}

/// A worker's name.
#[must_use]
pub fn uid(number: usize) -> String {
    format!("s-{number:05}")
}
