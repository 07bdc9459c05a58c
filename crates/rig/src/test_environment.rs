//! The shared state of a run's stand-ins: its clock, scenario, participants, the links between them, and the ledger.

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

/// Maximum number of attempts of a worker to deliver a callback.
const CALLBACK_ATTEMPTS: usize = 10;
/// Delay between two of these attempts, in microseconds.
const CALLBACK_RETRY_DELAY: Micros = SECOND / 4;
/// Timeout of a callback, for its connection and for its response.
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle callback connections to a dispatcher.
const MAX_IDLE_CALLBACK_CONNECTIONS: usize = 8;
/// Delay of a stand-in after it ran out of system resources, in microseconds.
const RIG_FAILURE_DELAY: Micros = SECOND / 100;

/// The state that all stand-ins of a run share.
pub struct TestEnvironment {
    /// The run's clock.
    pub clock: Clock,
    /// The scenario of the run.
    pub scenario: Scenario,
    /// The endpoint list.
    pub list: EndpointList,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The addresses and directories of the dispatchers.
    pub dispatchers: Vec<DispatcherSpec>,
    /// Idle client connections, by dispatcher.
    pub client_connections: Vec<ConnectionPool>,
    callback_connections: Vec<ConnectionPool>,
    /// How many times each dispatcher was started.
    pub incarnations: Vec<AtomicUsize>,
    /// Whether the load balancer sends requests to each dispatcher.
    admitted: Vec<AtomicBool>,
    /// When the processes of each dispatcher were shut down and killed.
    pub process_histories: Vec<ProcessHistory>,
    links: Links,
    ledger: Mutex<Ledger>,
    /// The random numbers for the jitter of links.
    link_random: Mutex<Rand64>,
    stopped: AtomicBool,
    /// A resource failure of the rig itself, which makes all figures of the run invalid.
    rig_failure: Mutex<Option<io::Error>>,
    /// The number of client requests that have not ended.
    pub requests_in_flight: AtomicUsize,
    /// The number in the id of the next request.
    pub next_request_id: AtomicUsize,
}

impl TestEnvironment {
    /// Creates the environment of a run and starts its clock.
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
            stopped: AtomicBool::new(false),
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
        // The time is read under the lock, so that the ledger is in chronological order.
        ledger.record(self.clock.now(), observation);
    }

    /// Applies the current link faults to a message between two participants: waits for its delay, or returns the fault that
    /// stops it.
    pub fn apply_link_faults(&self, from: Participant, to: Participant) -> Option<Fault> {
        let now = self.clock.now();
        let draw = self.link_random.lock().rand_float();
        let effect = self.links.effect(from, to, now, draw);
        if effect.fault.is_none() && effect.delay > 0 {
            self.clock.sleep_until(now + effect.delay);
        }
        effect.fault
    }

    /// The value of a stand-in's system call, if it succeeded. A lack of system resources, such as file descriptors or
    /// ports, is a failure of the rig and ends the run.
    pub fn check_resources<T>(&self, result: io::Result<T>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                if is_resource_exhaustion(&error) {
                    *self.rig_failure.lock() = Some(error);
                    self.clock.sleep_until(self.clock.now() + RIG_FAILURE_DELAY);
                }
                None
            }
        }
    }

    /// Whether the run has been stopped.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Stops the stand-ins.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Takes the latest resource failure of the rig since the last call.
    pub fn take_rig_failure(&self) -> Option<io::Error> {
        self.rig_failure.lock().take()
    }

    /// Takes the ledger, which is empty afterwards.
    #[must_use]
    pub fn take_ledger(&self) -> Ledger {
        std::mem::take(&mut *self.ledger.lock())
    }

    /// The number of admitted dispatchers.
    #[must_use]
    pub fn admitted_count(&self) -> usize {
        self.admitted.iter().filter(|admitted| admitted.load(Ordering::SeqCst)).count()
    }

    /// Picks an admitted and reachable dispatcher; `draw` is a random number, uniform in 0..1.
    #[must_use]
    pub fn pick_admitted(&self, draw: f64) -> Option<usize> {
        let now = self.clock.now();
        let reachable: Vec<usize> = (0..self.admitted.len())
            .filter(|dispatcher| self.admitted[*dispatcher].load(Ordering::SeqCst))
            .filter(|dispatcher| self.is_reachable(*dispatcher, now))
            .collect();
        reachable.get((draw * reachable.len() as f64) as usize).copied()
    }

    /// Whether a dispatcher accepts new connections, or an idle connection to it is open.
    fn is_reachable(&self, dispatcher: usize, now: Micros) -> bool {
        self.process_histories[dispatcher].accepts_new_connections(now)
            || !self.client_connections[dispatcher].is_empty()
    }

    /// Admits a dispatcher: from now on clients send requests to it.
    pub fn admit(&self, dispatcher: usize) {
        self.admitted[dispatcher].store(true, Ordering::SeqCst);
    }

    /// Records that the rig kills a dispatcher, which is then no longer admitted.
    pub fn record_kill(&self, dispatcher: usize) {
        self.process_histories[dispatcher].record_kill(self.clock.now());
        self.admitted[dispatcher].store(false, Ordering::SeqCst);
    }

    /// Reports an event of a job from a worker to the job's dispatcher, with retries until it is acknowledged, the attempts
    /// are used up, or the run is stopped.
    pub fn deliver_callback(&self, worker: usize, id: &str, body: &str) {
        let Some(dispatcher) = dispatcher_of(id) else { return };
        if dispatcher >= self.dispatchers.len() {
            return;
        }
        for _ in 0..CALLBACK_ATTEMPTS {
            let fault =
                self.apply_link_faults(Participant::Worker(worker), Participant::Dispatcher(dispatcher));
            let acknowledged = fault.is_none() && self.send_callback(dispatcher, body).unwrap_or(false);
            if acknowledged || self.is_stopped() {
                return;
            }
            self.clock.sleep_until(self.clock.now() + CALLBACK_RETRY_DELAY);
        }
    }

    /// Attempts to deliver a callback; returns whether the dispatcher acknowledged it.
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

fn is_resource_exhaustion(error: &io::Error) -> bool {
    use Errno::{EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS};
    let number = Errno::from_raw(error.raw_os_error().unwrap_or(0));
    matches!(number, EMFILE | ENFILE | ENOBUFS | EADDRINUSE | EADDRNOTAVAIL)
}
