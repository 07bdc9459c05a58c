//! Hollow workers: each has a name, a line in the list and an address of its own that answers, and all of them are one
//! listener. A job is taken at once, runs for a fixed time, and is told of by call-backs; nothing else is kept.

use crate::http::{Connection, answer};
use crate::job_id::dispatcher_of;
use crate::list::ListEntry;
use crate::net;
use crate::time::{Clock, Micros, SECOND};
use crate::traffic::{Traffic, TrafficCount};
use may::net::TcpListener;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a job runs.
pub const RUN: Micros = SECOND / 20;
/// Most jobs under way over all workers; one more is turned away.
const MOST_JOBS: usize = 20_000;
/// Idle connections for call-backs that are kept to a dispatcher.
const MOST_IDLE: usize = 8;
/// How long a worker waits for the next request on a connection, and for an answer to a call-back.
const PATIENCE: Duration = Duration::from_secs(60);
/// See [`PATIENCE`].
const CALL_PATIENCE: Duration = Duration::from_secs(1);

/// What was counted at all workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCount {
    /// On the connections that dispatchers open.
    pub requests: TrafficCount,
    /// On those that workers open for call-backs.
    pub call_backs: TrafficCount,
}

/// The workers.
pub struct SimulatedWorkers {
    clock: Clock,
    net: u8,
    count: usize,
    port: u16,
    /// Where call-backs go, by dispatcher.
    dispatchers: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<Connection>>>,
    requests: Arc<Traffic>,
    call_backs: Arc<Traffic>,
    jobs: AtomicUsize,
    end: AtomicBool,
}

impl SimulatedWorkers {
    /// So many workers in a net of 127/8 that answer from now on.
    pub fn start(
        count: usize,
        net: u8,
        dispatchers: Vec<SocketAddr>,
        clock: Clock,
    ) -> io::Result<Arc<SimulatedWorkers>> {
        // One descriptor for all addresses; who does not come to one of them over loopback is not served.
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        let workers = Arc::new(SimulatedWorkers {
            clock,
            net,
            count,
            port: listener.local_addr()?.port(),
            idle: dispatchers.iter().map(|_| Mutex::default()).collect(),
            dispatchers,
            requests: Arc::default(),
            call_backs: Arc::default(),
            jobs: AtomicUsize::new(0),
            end: AtomicBool::new(false),
        });
        let serving = workers.clone();
        may::go!(move || serving.serve(&listener));
        Ok(workers)
    }

    /// Their lines in the list.
    pub fn lines(&self) -> Vec<ListEntry> {
        let line = |number: usize| ListEntry {
            uid: uid(number),
            endpoint: SocketAddr::from((net::address(self.net, number), self.port)).to_string(),
            zone: "a".into(),
            state: "ready",
            boot_ms: 0,
        };
        (0..self.count).map(line).collect()
    }

    /// What was counted so far.
    pub fn count(&self) -> WorkerCount {
        WorkerCount { requests: self.requests.count(), call_backs: self.call_backs.count() }
    }

    /// Ends them.
    pub fn finish(&self) {
        self.end.store(true, Ordering::SeqCst);
        drop(TcpStream::connect((Ipv4Addr::LOCALHOST, self.port)));
    }

    fn serve(self: &Arc<SimulatedWorkers>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.end.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let Some(number) = stream.local_addr().ok().and_then(|at| self.number_at(at)) else { continue };
            let workers = self.clone();
            may::go!(move || _ = workers.talk(number, Connection::new(stream).counted(&workers.requests)));
        }
    }

    /// The worker at an address. Addresses of 127/8 are reached over loopback only.
    fn number_at(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        net::number_at(self.net, ip).filter(|number| *number < self.count)
    }

    fn talk(self: &Arc<SimulatedWorkers>, number: usize, mut connection: Connection) -> io::Result<()> {
        connection.set_read_timeout(PATIENCE)?;
        while let Some(request) = connection.read()? {
            if request.start[0] == "DELETE" {
                connection.write(&answer(200, "", ""))?;
                continue;
            }
            let id = request.header("x-call-id").unwrap_or("").to_owned();
            let Some(dispatcher) = dispatcher_of(&id).filter(|d| *d < self.dispatchers.len()) else {
                connection.write(&answer(404, "", ""))?;
                continue;
            };
            if self.jobs.fetch_add(1, Ordering::SeqCst) >= MOST_JOBS {
                self.jobs.fetch_sub(1, Ordering::SeqCst);
                connection.write(&answer(503, "X-Rejected: 1\r\n", ""))?;
                continue;
            }
            connection.write(&answer(202, "", ""))?;
            let workers = self.clone();
            may::go!(move || workers.run(number, dispatcher, &id));
        }
        Ok(())
    }

    fn run(&self, number: usize, dispatcher: usize, id: &str) {
        let ends = self.clock.now() + RUN;
        let from = uid(number);
        let _ = self.call_back(dispatcher, &format!(r#"{{"id":"{id}","from":"{from}","state":"started"}}"#));
        self.clock.sleep_until(ends);
        let rest = format!(r#""state":"done","result":"made-{id}","load":{{"x0":2,"queue":0}}"#);
        let _ = self.call_back(dispatcher, &format!(r#"{{"id":"{id}","from":"{from}",{rest}}}"#));
        self.jobs.fetch_sub(1, Ordering::SeqCst);
    }

    /// Tells a dispatcher, once.
    fn call_back(&self, dispatcher: usize, body: &str) -> io::Result<()> {
        let kept = self.idle[dispatcher].lock().ok().and_then(|mut idle| idle.pop());
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(self.dispatchers[dispatcher], CALL_PATIENCE)?.counted(&self.call_backs),
        };
        connection.set_read_timeout(CALL_PATIENCE)?;
        let length = body.len();
        connection.write(&format!(
            "POST /v1/job-events HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"
        ))?;
        let heard = connection.read()?.is_some_and(|answer| answer.status() == 204);
        if let Some(mut idle) =
            self.idle[dispatcher].lock().ok().filter(|idle| heard && idle.len() < MOST_IDLE)
        {
            idle.push(connection);
        }
        Ok(())
    }
}

/// A worker's name.
pub fn uid(number: usize) -> String {
    format!("s-{number:05}")
}
