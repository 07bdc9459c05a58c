//! The event loop of the owner thread: it takes inputs from the queue, steps the decisions, and performs what they decide.
//! Only here does an attempt end: with exactly one [`Event::AttemptEnded`](roselock::Event::AttemptEnded) for each
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

use super::{CallbackRelay, Dialer, FleetId, FlowSink, Inbox, Input, JobSource, ListedHost, clock};
use deadlines::Deadlines;
use dial_queue::DialQueues;
use endpoint_list::ListStatus;
use fleets::{Fleet, Fleets};
use roselock::{Action, Dispatcher, ListMode, Micros, Settings, SettingsError};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use stream_table::StreamTable;
use suspended_workers::NotifiedSuspensions;
use unsent_withdrawals::UnsentWithdrawals;
use upstream_requests::UpstreamRequests;

/// A process that shuts down ends once no stream has arrived for so long, in microseconds.
const QUIET_BEFORE_EXIT: Micros = 400_000;
/// Most inputs that are handled, and most jobs polled from one source, in one iteration of the loop.
const MAX_BATCH: usize = 1024;
/// Longest wait for an input, in microseconds.
const MAX_WAIT: Micros = 250_000;
/// Longest wait for an input while the process shuts down, in microseconds.
const MAX_WAIT_IN_SHUTDOWN: Micros = 20_000;

/// The state of the owner thread.
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
    /// Takes callbacks of streams that are not here, where the other process of an upgrade may have them.
    relay: Option<Box<dyn CallbackRelay>>,
    admin: AdminState,
    suspensions: NotifiedSuspensions,
    list_status: ListStatus,
    /// Buffer for the actions of one step.
    actions: Vec<Action>,
    /// When a stream last arrived.
    last_arrival_at: Micros,
    /// When idle connections were last expired.
    idle_expired_at: Micros,
    /// When the metrics of the endpoint list were last published; 0: publish them in the next iteration.
    metrics_published_at: Micros,
}

impl Core {
    /// A core without fleets.
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
            suspensions: NotifiedSuspensions::default(),
            list_status: ListStatus::new(now, false),
            actions: Vec::new(),
            last_arrival_at: now,
            idle_expired_at: now,
            metrics_published_at: 0,
        }
    }

    /// Applies the endpoint list that the process has cached from before its start.
    pub fn seed_known_hosts(&mut self, fleet: FleetId, hosts: Vec<ListedHost>) {
        self.list_status = ListStatus::new(clock::now(), !hosts.is_empty());
        self.admin.metrics.start(&self.list_status.startup, None);
        self.apply_list(fleet, ListMode::Cached, hosts);
    }

    /// Forwards callbacks of streams that are not here to the other process of an upgrade.
    pub fn set_relay(&mut self, relay: Box<dyn CallbackRelay>) {
        self.relay = Some(relay);
    }

    /// Adds a source of jobs that wait outside the owner thread.
    pub fn add_job_source(&mut self, source: Box<dyn JobSource>) {
        self.job_sources.push(source);
    }

    /// Adds a fleet with an instance of the decisions of its own. A fleet without a dialer has only hosts that connect to
    /// us.
    ///
    /// # Errors
    ///
    /// If the decisions reject the settings.
    pub fn add_fleet(
        &mut self,
        settings: Settings,
        seed: u64,
        dialer: Option<Box<dyn Dialer>>,
    ) -> Result<FleetId, SettingsError> {
        let dispatcher = Dispatcher::new(settings.clone(), seed)?;
        Ok(self.fleets.add(Fleet::new(dispatcher, settings, dialer)))
    }

    /// Runs until a shutdown is requested and nothing is in flight any more.
    pub fn run(mut self) {
        while self.receive_inputs() {
            let now = clock::now();
            self.fire_deadlines(now);
            self.send_unsent_withdrawals(now);
            self.serve_dial_queues(now);
            self.poll_job_sources(now);
            self.apply_suspensions();
            for fleet in self.fleets.next_round() {
                self.step(fleet, now);
            }
            self.expire_idle_connections(now);
            self.publish_list_metrics(now);
            if self.try_shut_down(now) {
                return;
            }
        }
    }

    /// Waits for inputs and handles a batch of them; false if no input can come any more.
    fn receive_inputs(&mut self) -> bool {
        match self.inputs.recv_timeout(clock::left(self.wake_at())) {
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

    /// When there is something to do even without an input.
    fn wake_at(&self) -> Micros {
        let is_shutting_down = self.inbox.shutdown_requested_at().is_some();
        let max_wait = if is_shutting_down { MAX_WAIT_IN_SHUTDOWN } else { MAX_WAIT };
        let latest = clock::now() + max_wait;
        let steps = self.fleets.iter().filter_map(Fleet::next_step_at);
        let jobs = self.job_sources.iter().filter_map(|source| source.next_due());
        let dials = self.dial_queues.hosts().filter_map(|host| self.next_dial_at(host));
        steps
            .chain(jobs)
            .chain(dials)
            .chain(self.deadlines.next_at())
            .chain(self.unsent_withdrawals.next_at())
            .fold(latest, Micros::min)
    }

    /// Admits jobs that wait outside the owner thread.
    fn poll_job_sources(&mut self, now: Micros) {
        for index in 0..self.job_sources.len() {
            for _ in 0..MAX_BATCH {
                let Some(new) = self.job_sources[index].next(now) else { break };
                self.admit_stream(new);
            }
        }
    }

    /// In a shutdown, notifies the job sources once connections are closing. True if the process may end now: nothing is
    /// in flight, no stream has arrived for a while or the drain timeout is over, and no further stream is accepted.
    fn try_shut_down(&mut self, now: Micros) -> bool {
        let Some(deadlines) = self.inbox.shutdown_deadlines() else { return false };
        if !self.inbox.is_closing_connections() {
            return false;
        }
        for source in &self.job_sources {
            source.shut_down();
        }
        // After the drain timeout those that still come are rejected at once.
        let is_quiet = now - self.last_arrival_at >= QUIET_BEFORE_EXIT;
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
