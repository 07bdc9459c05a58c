//! The event loop: it takes inputs from the queue, steps the decision logic, and performs the actions that it returns.
//! Attempts end only here, each with exactly one [`Event::AttemptEnded`](roselock::Event::AttemptEnded) per
//! [`Action::Send`](roselock::Action::Send).

mod admin_state;
mod attempts;
mod control_requests;
mod deadlines;
mod decisions;
mod dial_queue;
mod endpoint_list;
mod fleets;
mod idle_connections;
mod inputs;
mod recent_job_ids;
mod request_start;
mod stream_table;
mod streams;
mod suspended_workers;
mod unsent_withdrawals;
mod upstream_events;
mod upstream_requests;

pub use admin_state::AdminState;

use super::id_claims::IdClaims;
use super::memory_monitor::MemoryMonitor;
use super::{CallbackRelay, Dialer, FleetId, FlowSink, Inbox, Input, JobSource, ListedHost, clock};
use deadlines::Deadlines;
use dial_queue::DialQueues;
use endpoint_list::ListStatus;
use fleets::{Fleet, Fleets};
use roselock::{Action, Dispatcher, ListMode, Micros, Settings, SettingsError};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use stream_table::StreamTable;
use suspended_workers::AppliedSuspensions;
use unsent_withdrawals::UnsentWithdrawals;
use upstream_requests::UpstreamRequests;

/// A process that is shutting down ends once no stream has arrived for this long, in microseconds.
const EXIT_QUIET_PERIOD: Micros = 400_000;
/// Maximum number of inputs handled, and of jobs polled from one source, in one iteration of the loop.
const MAX_BATCH: usize = 1024;
/// Maximum wait for an input, in microseconds.
const MAX_WAIT: Micros = 250_000;
/// Maximum wait for an input while the process is shutting down, in microseconds.
const MAX_WAIT_IN_SHUTDOWN: Micros = 20_000;

/// The state of the event loop.
pub struct Core {
    inbox: Inbox,
    inputs: Receiver<Input>,
    fleets: Fleets,
    streams: StreamTable,
    upstreams: UpstreamRequests,
    deadlines: Deadlines,
    unsent_withdrawals: UnsentWithdrawals,
    dial_queues: DialQueues,
    job_sources: Vec<Box<dyn JobSource>>,
    flows: Option<Box<dyn FlowSink>>,
    /// Takes callbacks for streams that are unknown here, if the other process of an upgrade may have them.
    relay: Option<Box<dyn CallbackRelay>>,
    admin: AdminState,
    memory_monitor: Option<MemoryMonitor>,
    suspensions: AppliedSuspensions,
    list_status: ListStatus,
    /// Buffer for the actions of one step.
    actions: Vec<Action>,
    /// When a stream last arrived.
    last_arrival_at: Micros,
    /// When idle connections were last expired.
    idle_expired_at: Micros,
    /// When the metrics of the endpoint list were last published; 0 to publish them in the next iteration.
    metrics_published_at: Micros,
}

impl Core {
    /// Creates a core without fleets.
    pub fn new(
        inbox: Inbox,
        inputs: Receiver<Input>,
        flows: Option<Box<dyn FlowSink>>,
        admin: AdminState,
    ) -> Core {
        let now = clock::now();
        Core {
            inbox,
            inputs,
            fleets: Fleets::default(),
            streams: StreamTable::default(),
            upstreams: UpstreamRequests::default(),
            deadlines: Deadlines::default(),
            unsent_withdrawals: UnsentWithdrawals::default(),
            dial_queues: DialQueues::new(now as u64),
            job_sources: Vec::new(),
            flows,
            relay: None,
            admin,
            memory_monitor: None,
            suspensions: AppliedSuspensions::default(),
            list_status: ListStatus::new(now, false),
            actions: Vec::new(),
            last_arrival_at: now,
            idle_expired_at: now,
            metrics_published_at: 0,
        }
    }

    /// Applies the endpoint list that was cached before the process started.
    pub fn apply_cached_list(&mut self, fleet: FleetId, hosts: Vec<ListedHost>) {
        self.list_status = ListStatus::new(clock::now(), !hosts.is_empty());
        self.admin.metrics.set_startup_progress(&self.list_status.startup, None);
        self.apply_list(fleet, ListMode::Cached, hosts);
    }

    /// Sets the relay that forwards callbacks for unknown streams to the other process of an upgrade.
    pub fn set_relay(&mut self, relay: Box<dyn CallbackRelay>) {
        self.relay = Some(relay);
    }

    /// Shares the ids of clients' requests with the other process of an upgrade.
    pub fn set_id_claims(&mut self, claims: IdClaims) {
        self.streams.set_id_claims(claims);
    }

    /// Sets the monitor of the memory of the process.
    pub fn set_memory_monitor(&mut self, monitor: MemoryMonitor) {
        self.memory_monitor = Some(monitor);
    }

    /// Adds a source of jobs that are queued outside the event loop.
    pub fn add_job_source(&mut self, source: Box<dyn JobSource>) {
        self.job_sources.push(source);
    }

    /// Adds a fleet with its own instance of the decision logic. A fleet without a dialer only has hosts on inbound
    /// connections.
    ///
    /// # Errors
    ///
    /// If the decision logic rejects the settings.
    pub fn add_fleet(
        &mut self,
        settings: Settings,
        seed: u64,
        dialer: Option<Box<dyn Dialer>>,
    ) -> Result<FleetId, SettingsError> {
        let dispatcher = Dispatcher::new(settings.clone(), seed)?;
        let mut fleet = Fleet::new(dispatcher, settings, dialer);
        fleet.events.extend(self.suspensions.events());
        Ok(self.fleets.add(fleet))
    }

    /// Runs the loop until a requested shutdown is complete.
    pub fn run(mut self) {
        while self.receive_inputs() {
            let now = clock::now();
            self.fire_deadlines(now);
            self.remove_ended_deadlines();
            self.send_unsent_withdrawals(now);
            self.serve_dial_queues(now);
            self.poll_job_sources(now);
            self.apply_suspensions();
            self.cancel_unsent_at_expired_lists(now);
            for fleet in self.fleets.next_round() {
                self.step(fleet, now);
            }
            self.expire_idle_connections(now);
            self.publish_list_metrics(now);
            if let Some(monitor) = &mut self.memory_monitor {
                monitor.check(now, &self.admin.metrics);
            }
            if self.try_shut_down(now) {
                return;
            }
        }
    }

    /// Waits for inputs and handles a batch of them. Returns false if the queue is closed.
    fn receive_inputs(&mut self) -> bool {
        match self.inputs.recv_timeout(clock::time_until(self.next_wakeup_at())) {
            Ok(input) => self.handle(input),
            Err(RecvTimeoutError::Timeout) => return true,
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        for _ in 1..MAX_BATCH {
            let Ok(input) = self.inputs.try_recv() else { break };
            self.handle(input);
        }
        true
    }

    /// When the loop has to run even if no input arrives.
    fn next_wakeup_at(&self) -> Micros {
        let is_shutting_down = self.inbox.shutdown_requested_at().is_some();
        let max_wait = if is_shutting_down { MAX_WAIT_IN_SHUTDOWN } else { MAX_WAIT };
        let latest = clock::now() + max_wait;
        let steps = self.fleets.iter().filter_map(Fleet::next_step_at);
        let list_expiries = self.fleets.iter().filter_map(Fleet::next_list_expiry);
        let jobs = self.job_sources.iter().filter_map(|source| source.next_due());
        let dials = self.dial_queues.hosts().filter_map(|host| self.next_dial_at(host));
        steps
            .chain(list_expiries)
            .chain(jobs)
            .chain(dials)
            .chain(self.deadlines.next_at())
            .chain(self.unsent_withdrawals.next_at())
            .fold(latest, Micros::min)
    }

    /// Admits jobs that are queued outside the event loop.
    fn poll_job_sources(&mut self, now: Micros) {
        for index in 0..self.job_sources.len() {
            for _ in 0..MAX_BATCH {
                let Some(new) = self.job_sources[index].next(now) else { break };
                self.admit_stream(new);
            }
        }
    }

    /// In a shutdown, notifies the job sources once connections are closing. Returns true if the process may end now:
    /// all answers are written, no stream has arrived for a while or the drain timeout is over, and no further streams
    /// are accepted.
    fn try_shut_down(&mut self, now: Micros) -> bool {
        let Some(deadlines) = self.inbox.shutdown_deadlines() else { return false };
        if !self.inbox.is_closing_connections() {
            return false;
        }
        for source in &self.job_sources {
            source.shut_down();
        }
        // Streams that arrive after the drain timeout are rejected at once, so they need not be waited for.
        let is_quiet = now - self.last_arrival_at >= EXIT_QUIET_PERIOD;
        self.streams.all_answered()
            && self.inbox.pending_responses() == 0
            && (deadlines.is_drain_over(now) || is_quiet)
            && self.inbox.stop_accepting()
    }
}

/// The longest client timeout of any class, in microseconds.
pub fn max_client_timeout(settings: &Settings) -> Micros {
    settings.classes.iter().map(|class| class.client_timeout).max().unwrap_or(0)
}

#[cfg(test)]
#[path = "event_loop/test_support.rs"]
mod test_support;

#[cfg(test)]
#[path = "event_loop_tests.rs"]
mod tests;
