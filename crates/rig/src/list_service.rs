//! The list service as a stand-in: it serves one call after another, each in a set time, and rejects a call that waits too
//! long. Then it keeps the watch: changes as they come, an empty line every 2 s.

use crate::http::{CHUNKED_HEAD, Connection, Message, chunk, response};
use crate::ledger::Observation;
use crate::links::{Fault, Participant};
use crate::list::{ListEntry, WatchEvent, list_json};
use crate::outage::Failure;
use crate::test_environment::TestEnvironment;
use crate::time::{Micros, SECOND};
use may::net::TcpListener;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;

/// An empty line goes out after so long without a change, in microseconds.
pub const KEEP_ALIVE: Micros = 2 * SECOND;
/// How often a watch checks for faults and for the end of the run.
pub const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How often it is checked whether an outage or a fault is over, in microseconds.
const CHECK_INTERVAL: Micros = SECOND / 10;
/// For how long a connection stays silent at least, in microseconds.
const MIN_SILENCE: Micros = 4 * SECOND;

/// Whether a call asks for a watch.
pub(crate) fn is_watch_request(request: &Message) -> bool {
    request.start[1].contains("watch=1")
}

/// The revision that a call has the list as of.
pub(crate) fn revision_after(request: &Message) -> u64 {
    let after = request.start[1].split_once("after=").and_then(|(_, revision)| revision.parse().ok());
    after.unwrap_or(0)
}

/// Serves one dispatcher on a listener of its own, without end.
pub fn serve(environment: &Arc<TestEnvironment>, dispatcher: usize, listener: &TcpListener) {
    for stream in listener.incoming() {
        let Some(stream) = environment.check_resources(stream) else { continue };
        let environment = environment.clone();
        may::go!(move || {
            let session = Session { environment: &environment, dispatcher };
            let _ = session.serve(Connection::new(stream));
        });
    }
}

/// A connection of a dispatcher.
struct Session<'a> {
    environment: &'a TestEnvironment,
    dispatcher: usize,
}

impl Session<'_> {
    /// What stops messages from the dispatcher.
    fn inbound_fault(&self) -> Option<Fault> {
        self.environment.pass_link(Participant::Dispatcher(self.dispatcher), Participant::List)
    }

    /// What stops messages to the dispatcher.
    fn outbound_fault(&self) -> Option<Fault> {
        self.environment.pass_link(Participant::List, Participant::Dispatcher(self.dispatcher))
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(request) = connection.read()? {
            // Both directions draw a jitter for each call.
            let inbound = self.inbound_fault();
            let outbound = self.outbound_fault();
            match inbound.or(outbound) {
                Some(Fault::Reset) => return Ok(()),
                Some(Fault::Silent) => return self.stay_silent(),
                Some(Fault::Late) | None => {}
            }
            let Some(failure) = self.wait_for_turn() else {
                if is_watch_request(&request) {
                    return self.watch(connection, revision_after(&request));
                }
                let (list, entries) = self.environment.list.whole();
                self.record_list(&entries);
                connection.write(&response(200, "", &list))?;
                continue;
            };
            self.environment.record(Observation::ListCallFailed(self.dispatcher));
            match failure {
                Failure::Answer503 => connection.write(&response(503, "", ""))?,
                Failure::Reset => return Ok(()),
                Failure::Silence => return self.stay_silent(),
                Failure::Empty if is_watch_request(&request) => return self.watch_empty_list(connection),
                Failure::Empty => connection.write(&response(200, "", &self.empty_list()))?,
            }
        }
        Ok(())
    }

    fn empty_list(&self) -> String {
        list_json(self.environment.list.revision(), true, &[])
    }

    /// Keeps a watch with an empty list open until the outage is over.
    fn watch_empty_list(&self, mut connection: Connection) -> io::Result<()> {
        connection.write(CHUNKED_HEAD)?;
        connection.write(&chunk(&self.empty_list()))?;
        let clock = &self.environment.clock;
        let list_profile = &self.environment.scenario.list;
        while list_profile.outage_at(clock.now()).is_some() && !self.environment.is_over() {
            clock.sleep_until(clock.now() + CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Keeps a connection open and silent until the fault is over, and for [`MIN_SILENCE`] at least.
    fn stay_silent(&self) -> io::Result<()> {
        let clock = &self.environment.clock;
        clock.sleep_until(clock.now() + MIN_SILENCE);
        while self.inbound_fault().is_some() && !self.environment.is_over() {
            clock.sleep_until(clock.now() + CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Waits until the service has worked on a call; how the call fails, if it does.
    fn wait_for_turn(&self) -> Option<Failure> {
        let now = self.environment.clock.now();
        let profile = &self.environment.scenario.list;
        if let Some(outage) = profile.outage_at(now) {
            self.record_call(0);
            return Some(outage.failure);
        }
        let call = (profile.call_ms * 1e3) as Micros;
        let max_wait = (profile.max_wait_s * 1e6) as Micros;
        let mut state = self.environment.list.state();
        state.queue_exit_times.retain(|exit| *exit > now);
        let starts_at = state.free_at.max(now);
        let fails = starts_at - now > max_wait;
        if !fails || profile.works_on_late_calls {
            state.free_at = starts_at + call;
        }
        let ends_at = if fails { now + max_wait } else { starts_at + call };
        state.queue_exit_times.push(ends_at);
        let queue = state.queue_exit_times.len();
        drop(state);
        self.record_call(queue);
        self.environment.clock.sleep_until(ends_at);
        fails.then_some(profile.failure)
    }

    fn record_call(&self, queue: usize) {
        self.environment.record(Observation::ListCall { dispatcher: self.dispatcher, queue });
    }

    fn record_drain(&self, worker: usize) {
        self.environment.record(Observation::DrainNotified { dispatcher: self.dispatcher, worker });
    }

    /// Records what a list that is written says.
    fn record_list(&self, entries: &[ListEntry]) {
        for (worker, entry) in entries.iter().enumerate() {
            if !entry.is_ready() {
                self.record_drain(worker);
            }
        }
        let mut state = self.environment.list.state();
        let received_before = std::mem::replace(&mut state.list_received[self.dispatcher], true);
        drop(state);
        if !received_before {
            self.environment.record(Observation::ListReceived(self.dispatcher));
        }
    }

    fn watch(&self, mut connection: Connection, after: u64) -> io::Result<()> {
        let opened = self.environment.list.watch(after);
        self.record_list(&opened.entries);
        connection.write(CHUNKED_HEAD)?;
        connection.write(&chunk(&opened.first_event))?;
        let mut last_written = self.environment.clock.now();
        loop {
            let event = opened.changes.recv_timeout(WATCH_CHECK_INTERVAL);
            match self.outbound_fault() {
                Some(Fault::Reset) => return Ok(()),
                // The event is lost with the connection.
                Some(Fault::Silent) => return self.stay_silent(),
                Some(Fault::Late) | None => {}
            }
            match event {
                Ok(WatchEvent::Change { text, not_ready }) => {
                    for worker in not_ready.iter() {
                        self.record_drain(*worker);
                    }
                    connection.write(&chunk(&text))?;
                    last_written = self.environment.clock.now();
                }
                Err(RecvTimeoutError::Timeout) => {
                    if self.environment.clock.now() - last_written >= KEEP_ALIVE {
                        connection.write(&chunk(""))?;
                        last_written = self.environment.clock.now();
                    }
                }
                Ok(WatchEvent::End) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            if self.environment.is_over() || self.outage_ends_watches() {
                return Ok(());
            }
        }
    }

    fn outage_ends_watches(&self) -> bool {
        let outage = self.environment.scenario.list.outage_at(self.environment.clock.now());
        outage.is_some_and(|outage| outage.failure != Failure::Silence)
    }
}
