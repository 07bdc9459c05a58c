//! What the stand-ins of a run share: its clock, its scenario, the participants, the links between them, and the ledger.

use crate::connection_pool::ConnectionPool;
use crate::dispatcher_process::DispatcherSpec;
use crate::http::{Connection, job_event_request};
use crate::job_id::dispatcher_of;
use crate::ledger::{Ledger, Observation};
use crate::links::{Fault, Links, Participant};
use crate::list::{EndpointList, ListEntry};
use crate::process_history::ProcessHistory;
use crate::scenario::Scenario;
use crate::time::{Clock, Micros, SECOND};
use crate::worker::Worker;
use nix::errno::Errno;
use oorandom::Rand64;
use parking_lot::Mutex;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Attempts of a worker to deliver a callback.
const CALLBACK_ATTEMPTS: usize = 10;
/// Pause between two of them, in microseconds.
const CALLBACK_RETRY_DELAY: Micros = SECOND / 4;
/// How long a callback waits for a connection, and for a response.
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Most idle connections for callbacks to a dispatcher.
const MAX_IDLE_CALLBACK_CONNECTIONS: usize = 8;
/// Pause of a stand-in after a failure of the rig itself, in microseconds.
const RIG_FAILURE_DELAY: Micros = SECOND / 100;

/// What all stand-ins of a run share.
pub struct TestEnvironment {
    /// The clock of the run.
    pub clock: Clock,
    /// What is played.
    pub scenario: Scenario,
    /// The endpoint list.
    pub list: EndpointList,
    /// The workers.
    pub workers: Vec<Worker>,
    /// Where the dispatchers are.
    pub dispatchers: Vec<DispatcherSpec>,
    /// Idle connections of clients, by dispatcher.
    pub client_connections: Vec<ConnectionPool>,
    callback_connections: Vec<ConnectionPool>,
    /// How often each dispatcher was started.
    pub incarnations: Vec<AtomicUsize>,
    /// Whether the front sends requests to each dispatcher.
    admitted: Vec<AtomicBool>,
    /// When the processes of each dispatcher were ended.
    pub process_histories: Vec<ProcessHistory>,
    links: Links,
    ledger: Mutex<Ledger>,
    /// For the jitter of links.
    link_random: Mutex<Rand64>,
    over: AtomicBool,
    /// What the rig itself could not do: then no figure of the run means anything.
    rig_failure: Mutex<Option<io::Error>>,
    /// Requests of clients that have not ended.
    pub requests_in_flight: AtomicUsize,
    /// Ids given to requests.
    pub next_request_id: AtomicUsize,
}

impl TestEnvironment {
    /// An environment in which nothing has happened yet; its clock starts.
    #[must_use]
    pub fn new(
        scenario: Scenario,
        seed: u64,
        entries: Vec<ListEntry>,
        dispatchers: Vec<DispatcherSpec>,
    ) -> TestEnvironment {
        TestEnvironment {
            clock: Clock::start(),
            list: EndpointList::new(entries, dispatchers.len()),
            workers: (0..scenario.worker_count).map(|_| Worker::default()).collect(),
            client_connections: dispatchers.iter().map(|_| ConnectionPool::default()).collect(),
            callback_connections: dispatchers.iter().map(|_| ConnectionPool::default()).collect(),
            incarnations: dispatchers.iter().map(|_| AtomicUsize::new(0)).collect(),
            admitted: dispatchers.iter().map(|_| AtomicBool::new(false)).collect(),
            process_histories: dispatchers.iter().map(|_| ProcessHistory::default()).collect(),
            links: Links(scenario.cuts.clone()),
            ledger: Mutex::default(),
            link_random: Mutex::new(Rand64::new(u128::from(seed))),
            over: AtomicBool::new(false),
            rig_failure: Mutex::default(),
            requests_in_flight: AtomicUsize::new(0),
            next_request_id: AtomicUsize::new(0),
            dispatchers,
            scenario,
        }
    }

    /// Records an observation in the ledger.
    pub fn record(&self, observation: Observation) {
        let mut ledger = self.ledger.lock();
        // Within the lock, so that the ledger is in the order of time.
        ledger.record(self.clock.now(), observation);
    }

    /// The fault that stops a message from one participant to another now; a delayed message is waited for.
    pub fn pass_link(&self, from: Participant, to: Participant) -> Option<Fault> {
        let now = self.clock.now();
        let draw = self.link_random.lock().rand_float();
        let effect = self.links.effect(from, to, now, draw);
        if effect.fault.is_none() && effect.delay > 0 {
            self.clock.sleep_until(now + effect.delay);
        }
        effect.fault
    }

    /// The value of a stand-in's own system call. A failure that is the rig's, such as too few descriptors or ports, ends
    /// the run.
    pub fn check_resources<T>(&self, result: io::Result<T>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                if is_lack_of_resources(&error) {
                    *self.rig_failure.lock() = Some(error);
                    self.clock.sleep_until(self.clock.now() + RIG_FAILURE_DELAY);
                }
                None
            }
        }
    }

    /// Whether the run is over.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Ends the run: the stand-ins stop.
    pub fn end_run(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    /// What the rig itself could not do since the last call.
    pub fn take_rig_failure(&self) -> Option<io::Error> {
        self.rig_failure.lock().take()
    }

    /// What was recorded so far; the ledger is empty from then on.
    #[must_use]
    pub fn take_ledger(&self) -> Ledger {
        std::mem::take(&mut *self.ledger.lock())
    }

    /// How many dispatchers are admitted.
    #[must_use]
    pub fn admitted_count(&self) -> usize {
        self.admitted.iter().filter(|admitted| admitted.load(Ordering::SeqCst)).count()
    }

    /// One of the admitted dispatchers that a client reaches, with `draw` drawn from 0..1.
    #[must_use]
    pub fn admitted(&self, draw: f64) -> Option<usize> {
        let now = self.clock.now();
        let reachable: Vec<usize> = (0..self.admitted.len())
            .filter(|dispatcher| self.admitted[*dispatcher].load(Ordering::SeqCst))
            .filter(|dispatcher| self.is_reachable(*dispatcher, now))
            .collect();
        reachable.get((draw * reachable.len() as f64) as usize).copied()
    }

    /// Whether a dispatcher accepts new connections, or a connection to it is open.
    fn is_reachable(&self, dispatcher: usize, now: Micros) -> bool {
        self.process_histories[dispatcher].accepts_new_connections(now)
            || !self.client_connections[dispatcher].is_empty()
    }

    /// Admits a dispatcher: clients send requests to it.
    pub fn admit(&self, dispatcher: usize) {
        self.admitted[dispatcher].store(true, Ordering::SeqCst);
    }

    /// Records that the rig kills a dispatcher: it is not admitted any more.
    pub fn record_kill(&self, dispatcher: usize) {
        self.process_histories[dispatcher].record_kill(self.clock.now());
        self.admitted[dispatcher].store(false, Ordering::SeqCst);
    }

    /// A worker reports an event of a job to its dispatcher, in several attempts until it is acknowledged.
    pub fn call_back(&self, worker: usize, id: &str, body: &str) {
        let Some(dispatcher) = dispatcher_of(id) else { return };
        if dispatcher >= self.dispatchers.len() {
            return;
        }
        for _ in 0..CALLBACK_ATTEMPTS {
            let fault = self.pass_link(Participant::Worker(worker), Participant::Dispatcher(dispatcher));
            let acknowledged = fault.is_none() && self.send_callback(dispatcher, body).unwrap_or(false);
            if acknowledged || self.is_over() {
                return;
            }
            self.clock.sleep_until(self.clock.now() + CALLBACK_RETRY_DELAY);
        }
    }

    /// One attempt; whether the dispatcher acknowledged it.
    fn send_callback(&self, dispatcher: usize, body: &str) -> io::Result<bool> {
        let pool = &self.callback_connections[dispatcher];
        let address = self.dispatchers[dispatcher].listen;
        let connection = pool.take_or_open(|| Connection::open(address, CALLBACK_TIMEOUT));
        let Some(mut connection) = self.check_resources(connection) else { return Ok(false) };
        connection.set_read_timeout(CALLBACK_TIMEOUT)?;
        connection.write(&job_event_request(body))?;
        let response = connection.read()?;
        let acknowledged = response.is_some_and(|response| matches!(response.status(), 200 | 204));
        if acknowledged {
            pool.put_within(MAX_IDLE_CALLBACK_CONNECTIONS, connection);
        }
        Ok(acknowledged)
    }
}

fn is_lack_of_resources(error: &io::Error) -> bool {
    use Errno::{EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS};
    let number = Errno::from_raw(error.raw_os_error().unwrap_or(0));
    matches!(number, EMFILE | ENFILE | ENOBUFS | EADDRINUSE | EADDRNOTAVAIL)
}
