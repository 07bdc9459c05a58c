//! A stand-in for the discovery service: it processes calls one after another, each in a fixed time, and rejects a call
//! that waits too long. On a watch it then sends changes as they occur, and an empty line after 2 s without a change.

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

/// A watch sends an empty line after this time without a change, in microseconds.
pub const KEEP_ALIVE_INTERVAL: Micros = 2 * SECOND;
/// Interval at which a watch checks for faults and for the end of the run.
pub const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between checks whether an outage or a fault is over, in microseconds.
const FAULT_CHECK_INTERVAL: Micros = SECOND / 10;
/// Minimum time for which a connection stays silent, in microseconds.
const MIN_SILENCE: Micros = 4 * SECOND;

/// Whether a call requests a watch.
pub(crate) fn is_watch_request(request: &Message) -> bool {
    request.start_line[1].contains("watch=1")
}

/// The list revision that the caller already has; 0 if it has none.
pub(crate) fn known_revision(request: &Message) -> u64 {
    let after = request.start_line[1].split_once("after=").and_then(|(_, revision)| revision.parse().ok());
    after.unwrap_or(0)
}

/// Serves one dispatcher on its own listener; never returns.
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
    /// The fault that stops messages from the dispatcher.
    fn inbound_fault(&self) -> Option<Fault> {
        self.environment.apply_link_faults(Participant::Dispatcher(self.dispatcher), Participant::List)
    }

    /// The fault that stops messages to the dispatcher.
    fn outbound_fault(&self) -> Option<Fault> {
        self.environment.apply_link_faults(Participant::List, Participant::Dispatcher(self.dispatcher))
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(request) = connection.read()? {
            // Both directions are evaluated, so that each draws its jitter for each call.
            let inbound = self.inbound_fault();
            let outbound = self.outbound_fault();
            match inbound.or(outbound) {
                Some(Fault::Reset) => return Ok(()),
                Some(Fault::Silent) => return self.hold_silent(),
                Some(Fault::Late) | None => {}
            }
            let Some(failure) = self.process_call() else {
                if is_watch_request(&request) {
                    return self.serve_watch(connection, known_revision(&request));
                }
                let (list, entries) = self.environment.list.full_list();
                self.record_list_sent(&entries);
                connection.write(&response(200, "", &list))?;
                continue;
            };
            self.environment.record(Observation::ListCallFailed(self.dispatcher));
            match failure {
                Failure::Answer503 => connection.write(&response(503, "", ""))?,
                Failure::Reset => return Ok(()),
                Failure::Silence => return self.hold_silent(),
                Failure::Empty if is_watch_request(&request) => return self.serve_empty_watch(connection),
                Failure::Empty => connection.write(&response(200, "", &self.empty_list()))?,
            }
        }
        Ok(())
    }

    fn empty_list(&self) -> String {
        list_json(self.environment.list.revision(), true, &[])
    }

    /// Serves a watch with an empty list until the outage is over.
    fn serve_empty_watch(&self, mut connection: Connection) -> io::Result<()> {
        connection.write(CHUNKED_HEAD)?;
        connection.write(&chunk(&self.empty_list()))?;
        let clock = &self.environment.clock;
        let list_profile = &self.environment.scenario.list;
        while list_profile.outage_at(clock.now()).is_some() && !self.environment.is_stopped() {
            clock.sleep_until(clock.now() + FAULT_CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Keeps a connection open and silent until the fault is over, and for [`MIN_SILENCE`] at least.
    fn hold_silent(&self) -> io::Result<()> {
        let clock = &self.environment.clock;
        clock.sleep_until(clock.now() + MIN_SILENCE);
        while self.inbound_fault().is_some() && !self.environment.is_stopped() {
            clock.sleep_until(clock.now() + FAULT_CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Waits until a call is processed or times out in the queue; returns its failure, if it fails.
    fn process_call(&self) -> Option<Failure> {
        let now = self.environment.clock.now();
        let profile = &self.environment.scenario.list;
        if let Some(outage) = profile.outage_at(now) {
            self.record_call(0);
            return Some(outage.failure);
        }
        let duration = (profile.call_ms * 1e3) as Micros;
        let max_wait = (profile.max_wait_s * 1e6) as Micros;
        let mut state = self.environment.list.state();
        state.queue_exit_times.retain(|exit| *exit > now);
        let starts_at = state.busy_until.max(now);
        let times_out = starts_at - now > max_wait;
        if !times_out || profile.works_on_late_calls {
            state.busy_until = starts_at + duration;
        }
        let ends_at = if times_out { now + max_wait } else { starts_at + duration };
        state.queue_exit_times.push(ends_at);
        let queue_length = state.queue_exit_times.len();
        drop(state);
        self.record_call(queue_length);
        self.environment.clock.sleep_until(ends_at);
        times_out.then_some(profile.failure)
    }

    fn record_call(&self, queue_length: usize) {
        self.environment.record(Observation::ListCall { dispatcher: self.dispatcher, queue: queue_length });
    }

    fn record_drain_notified(&self, worker: usize) {
        self.environment.record(Observation::DrainNotified { dispatcher: self.dispatcher, worker });
    }

    /// Records that a list is written to the dispatcher, and the drains that it contains.
    fn record_list_sent(&self, entries: &[ListEntry]) {
        for (worker, entry) in entries.iter().enumerate() {
            if !entry.is_ready() {
                self.record_drain_notified(worker);
            }
        }
        let mut state = self.environment.list.state();
        let received_before = std::mem::replace(&mut state.list_received[self.dispatcher], true);
        drop(state);
        if !received_before {
            self.environment.record(Observation::ListReceived(self.dispatcher));
        }
    }

    fn serve_watch(&self, mut connection: Connection, after: u64) -> io::Result<()> {
        let opened = self.environment.list.open_watch(after);
        self.record_list_sent(&opened.entries);
        connection.write(CHUNKED_HEAD)?;
        connection.write(&chunk(&opened.first_event))?;
        let mut last_written = self.environment.clock.now();
        loop {
            let event = opened.changes.recv_timeout(WATCH_CHECK_INTERVAL);
            match self.outbound_fault() {
                Some(Fault::Reset) => return Ok(()),
                // The event is lost with the connection.
                Some(Fault::Silent) => return self.hold_silent(),
                Some(Fault::Late) | None => {}
            }
            // A dispatcher that has closed its watch, for a move, is not notified by it.
            if connection.is_closed_by_peer() {
                return Ok(());
            }
            match event {
                Ok(WatchEvent::Change { text, not_ready }) => {
                    for worker in not_ready.iter() {
                        self.record_drain_notified(*worker);
                    }
                    connection.write(&chunk(&text))?;
                    last_written = self.environment.clock.now();
                }
                Err(RecvTimeoutError::Timeout) => {
                    if self.environment.clock.now() - last_written >= KEEP_ALIVE_INTERVAL {
                        connection.write(&chunk(""))?;
                        last_written = self.environment.clock.now();
                    }
                }
                Ok(WatchEvent::End) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            if self.environment.is_stopped() || self.outage_ends_watches() {
                return Ok(());
            }
        }
    }

    fn outage_ends_watches(&self) -> bool {
        let outage = self.environment.scenario.list.outage_at(self.environment.clock.now());
        outage.is_some_and(|outage| outage.failure != Failure::Silence)
    }
}
