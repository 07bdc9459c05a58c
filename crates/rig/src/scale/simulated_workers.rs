//! Simulated workers. Each has a name, an entry in the list and its own address; all share one listener. A job is accepted
//! at once, runs for a fixed time and is reported by callbacks; there is no other state.

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
/// Limit of the jobs that run at all workers together; further jobs are rejected.
const MAX_JOBS: usize = 20_000;
/// Limit of the idle connections kept for callbacks to one dispatcher.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time limit for the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit of a callback for connecting, and for the response.
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Traffic of all workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerTraffic {
    /// Traffic on connections that dispatchers opened.
    pub requests: TrafficCount,
    /// Traffic on connections that workers opened for callbacks.
    pub callbacks: TrafficCount,
}

/// The simulated workers.
pub struct SimulatedWorkers {
    clock: Clock,
    net: u8,
    count: usize,
    port: u16,
    /// Addresses for callbacks, by dispatcher.
    dispatchers: Vec<SocketAddr>,
    /// Idle connections for callbacks, by dispatcher.
    callback_connections: Vec<ConnectionPool>,
    requests: Arc<Traffic>,
    callbacks: Arc<Traffic>,
    /// Number of jobs that run.
    running_jobs: AtomicUsize,
    stopped: AtomicBool,
}

impl SimulatedWorkers {
    /// Starts `count` workers at the addresses of a net of 127/8.
    ///
    /// # Errors
    ///
    /// The listener cannot be bound.
    pub fn start(
        count: usize,
        net: u8,
        dispatchers: Vec<SocketAddr>,
        clock: Clock,
    ) -> io::Result<Arc<SimulatedWorkers>> {
        // One descriptor serves all addresses; connections to an address without a worker are closed.
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
            running_jobs: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        let serving = workers.clone();
        may::go!(move || serving.serve(&listener));
        Ok(workers)
    }

    /// The workers' entries in the list.
    #[must_use]
    pub fn entries(&self) -> Vec<ListEntry> {
        let entry = |number: usize| {
            let address = SocketAddr::from((net::participant_address(self.net, number), self.port));
            ListEntry::ready(worker_uid(number), address.to_string())
        };
        (0..self.count).map(entry).collect()
    }

    /// Traffic so far.
    #[must_use]
    pub fn traffic(&self) -> WorkerTraffic {
        WorkerTraffic { requests: self.requests.count(), callbacks: self.callbacks.count() }
    }

    /// Stops the workers.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        drop(TcpStream::connect((Ipv4Addr::LOCALHOST, self.port)));
    }

    fn serve(self: &Arc<SimulatedWorkers>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let Ok(address) = stream.local_addr() else { continue };
            let Some(number) = self.worker_at(address) else { continue };
            let workers = self.clone();
            may::go!(move || {
                let connection = Connection::new(stream).with_traffic_counters(&workers.requests);
                let _ = workers.serve_connection(number, connection);
            });
        }
    }

    /// The worker at an address, if there is one. The listener accepts on all interfaces, but the addresses of the workers
    /// are in 127/8, which is reached over loopback only.
    fn worker_at(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        net::participant_number(self.net, ip).filter(|number| *number < self.count)
    }

    fn serve_connection(
        self: &Arc<SimulatedWorkers>,
        number: usize,
        mut connection: Connection,
    ) -> io::Result<()> {
        connection.set_read_timeout(IDLE_TIMEOUT)?;
        while let Some(request) = connection.read()? {
            if request.start_line[0] == "DELETE" {
                connection.write(&response(200, "", ""))?;
                continue;
            }
            let id = request.header("x-call-id").unwrap_or("").to_owned();
            let dispatcher = dispatcher_of(&id).filter(|number| *number < self.dispatchers.len());
            let Some(dispatcher) = dispatcher else {
                connection.write(&response(404, "", ""))?;
                continue;
            };
            if self.running_jobs.fetch_add(1, Ordering::SeqCst) >= MAX_JOBS {
                self.running_jobs.fetch_sub(1, Ordering::SeqCst);
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
        let from = worker_uid(number);
        let started = format!(r#"{{"id":"{id}","from":"{from}","state":"started"}}"#);
        let _ = self.call_back(dispatcher, &started);
        self.clock.sleep_until(ends_at);
        let result = format!(r#""state":"done","result":"made-{id}","load":{{"x0":2,"queue":0}}"#);
        let done = format!(r#"{{"id":"{id}","from":"{from}",{result}}}"#);
        let _ = self.call_back(dispatcher, &done);
        self.running_jobs.fetch_sub(1, Ordering::SeqCst);
    }

    /// Sends a callback to a dispatcher, without retries.
    fn call_back(&self, dispatcher: usize, body: &str) -> io::Result<()> {
        let pool = &self.callback_connections[dispatcher];
        let mut connection = pool.take_or_open(|| {
            let connection = Connection::open(self.dispatchers[dispatcher], CALLBACK_TIMEOUT)?;
            Ok(connection.with_traffic_counters(&self.callbacks))
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

/// Name of a worker in the list.
#[must_use]
pub fn worker_uid(number: usize) -> String {
    format!("s-{number:05}")
}
