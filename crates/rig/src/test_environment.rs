//! What the stand-ins of a run share: its clock, its scenario, the parties, the links between them, and the ledger.

use crate::dispatcher_process::DispatcherSpec;
use crate::http::Connection;
use crate::job_id::dispatcher_of;
use crate::ledger::{Ledger, Observation};
use crate::links::{Fault, Links, Participant};
use crate::list::{EndpointList, ListEntry};
use crate::process_history::ProcessHistory;
use crate::scenario::Scenario;
use crate::time::{Clock, Micros, SECOND};
use crate::worker::Worker;
use oorandom::Rand64;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// How often a worker's call is tried, and how long it waits between.
const CALLS: usize = 10;
const CALL_PAUSE: Micros = SECOND / 4;

/// What all stand-ins of a run share.
pub struct TestEnvironment {
    /// Its clock.
    pub clock: Clock,
    /// What is played.
    pub scenario: Scenario,
    /// The list service.
    pub list: EndpointList,
    /// The workers.
    pub workers: Vec<Worker>,
    /// Where the dispatchers are.
    pub dispatchers: Vec<DispatcherSpec>,
    /// Idle connections of clients, by dispatcher.
    pub client_connections: Vec<Mutex<Vec<Connection>>>,
    calls: Vec<Mutex<Vec<Connection>>>,
    /// How often each dispatcher was started; who starts again is a new one to the front.
    pub incarnations: Vec<AtomicUsize>,
    admitted: Vec<AtomicBool>,
    /// How each dispatcher's lives end.
    pub process_histories: Vec<ProcessHistory>,
    links: Links,
    ledger: Mutex<Ledger>,
    /// What links draw.
    random: Mutex<Rand64>,
    end: AtomicBool,
    /// What the rig itself could not do: then no figure of the run is worth anything.
    unable: Mutex<Option<String>>,
    /// Requests under way.
    pub requests_in_flight: AtomicUsize,
    /// Ids given to requests.
    pub next_request_id: AtomicUsize,
}

impl TestEnvironment {
    /// One in which nothing has happened yet; its clock starts.
    pub fn new(
        scenario: Scenario,
        seed: u64,
        lines: Vec<ListEntry>,
        places: Vec<DispatcherSpec>,
    ) -> TestEnvironment {
        TestEnvironment {
            clock: Clock::start(),
            list: EndpointList::new(lines, places.len()),
            workers: (0..scenario.worker_count).map(|_| Worker::default()).collect(),
            client_connections: places.iter().map(|_| Mutex::default()).collect(),
            calls: places.iter().map(|_| Mutex::default()).collect(),
            incarnations: places.iter().map(|_| AtomicUsize::new(0)).collect(),
            admitted: places.iter().map(|_| AtomicBool::new(false)).collect(),
            process_histories: places.iter().map(|_| ProcessHistory::default()).collect(),
            links: Links(scenario.cuts.clone()),
            ledger: Mutex::default(),
            random: Mutex::new(Rand64::new(u128::from(seed))),
            end: AtomicBool::new(false),
            unable: Mutex::default(),
            requests_in_flight: AtomicUsize::new(0),
            next_request_id: AtomicUsize::new(0),
            dispatchers: places,
            scenario,
        }
    }
    /// Writes something down.
    pub fn record(&self, seen: Observation) {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        // Within the lock, so that the ledger is in the order of time.
        ledger.note(self.clock.now(), seen);
    }
    /// What befalls words from one party to another now; late ones are waited for.
    pub fn harm(&self, from: Participant, to: Participant) -> Option<Fault> {
        let now = self.clock.now();
        let draw = self.random.lock().unwrap_or_else(PoisonError::into_inner).rand_float();
        let (harm, late) = self.links.fault(from, to, now, draw);
        if harm.is_none() && late > 0 {
            self.clock.sleep_until(now + late);
        }
        harm
    }
    /// What a stand-in gets of its own side of the system: a failure that is the rig's, such as too few descriptors or
    /// ports, ends the run.
    pub fn own<T>(&self, got: std::io::Result<T>) -> Option<T> {
        use nix::errno::Errno::{self, EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS};
        let ours = |e: &std::io::Error| {
            let number = Errno::from_raw(e.raw_os_error().unwrap_or(0));
            matches!(number, EMFILE | ENFILE | ENOBUFS | EADDRINUSE | EADDRNOTAVAIL)
        };
        got.inspect_err(|e| {
            if ours(e) {
                *self.unable.lock().unwrap_or_else(PoisonError::into_inner) = Some(e.to_string());
                self.clock.sleep_until(self.clock.now() + SECOND / 100);
            }
        })
        .ok()
    }
    /// Whether the run is over.
    pub fn is_over(&self) -> bool {
        self.end.load(Ordering::SeqCst)
    }
    /// Ends the run: the stand-ins stop.
    pub fn end_run(&self) {
        self.end.store(true, Ordering::SeqCst);
    }
    /// What the rig itself could not do since it was last asked.
    pub fn take_rig_failure(&self) -> Option<String> {
        self.unable.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
    /// What was written down so far; the ledger is empty from then on.
    pub fn take_ledger(&self) -> Ledger {
        std::mem::take(&mut *self.ledger.lock().unwrap_or_else(PoisonError::into_inner))
    }
    /// How many are admitted.
    pub fn admitted_count(&self) -> usize {
        self.admitted.iter().filter(|a| a.load(Ordering::SeqCst)).count()
    }
    /// One of those admitted that takes new connections, or to which one is open.
    pub fn admitted(&self, draw: f64) -> Option<usize> {
        let now = self.clock.now();
        let has_open = |d: usize| self.client_connections[d].lock().is_ok_and(|pool| !pool.is_empty());
        let reached = |d: &usize| self.process_histories[*d].accepts_new_connections(now) || has_open(*d);
        let admitted = |d: &usize| self.admitted[*d].load(Ordering::SeqCst);
        let of: Vec<usize> = (0..self.admitted.len()).filter(|d| admitted(d) && reached(d)).collect();
        of.get((draw * of.len() as f64) as usize).copied()
    }
    /// Admits a dispatcher.
    pub fn admit(&self, dispatcher: usize) {
        self.admitted[dispatcher].store(true, Ordering::SeqCst);
    }
    /// Notes that the rig kills it: it is not admitted any more.
    pub fn record_kill(&self, dispatcher: usize) {
        self.process_histories[dispatcher].record_kill(self.clock.now());
        self.admitted[dispatcher].store(false, Ordering::SeqCst);
    }
    /// A worker tells a job's dispatcher of it, again until it is heard.
    pub fn call_back(&self, number: usize, id: &str, body: &str) {
        let Some(dispatcher) = dispatcher_of(id).filter(|d| *d < self.dispatchers.len()) else { return };
        for _ in 0..CALLS {
            let heard = match self.harm(Participant::Worker(number), Participant::Dispatcher(dispatcher)) {
                Some(_) => false,
                None => self.tell(dispatcher, body).unwrap_or(false),
            };
            if heard || self.is_over() {
                return;
            }
            self.clock.sleep_until(self.clock.now() + CALL_PAUSE);
        }
    }
    fn tell(&self, dispatcher: usize, body: &str) -> std::io::Result<bool> {
        let pool = &self.calls[dispatcher];
        let kept = pool.lock().ok().and_then(|mut p| p.pop());
        let opened = || Connection::open(self.dispatchers[dispatcher].listen, Duration::from_secs(1));
        let Some(mut connection) = self.own(kept.map_or_else(opened, Ok)) else { return Ok(false) };
        connection.set_read_timeout(Duration::from_secs(1))?;
        let length = body.len();
        connection.write(&format!(
            "POST /v1/job-events HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"
        ))?;
        let heard = connection.read()?.is_some_and(|a| matches!(a.status(), 200 | 204));
        if let Some(mut pool) = pool.lock().ok().filter(|p| heard && p.len() < 8) {
            pool.push(connection);
        }
        Ok(heard)
    }
}
