//! Steps of the decision logic, and the actions that it returns.

use super::Core;
use super::deadlines::Deadline;
use super::fleets::HostId;
use super::idle_connections::connection_use;
use super::stream_table::Stream;
use super::upstream_requests::PendingRequest;
use crate::core::pool::ConnectionUse;
use crate::core::{Answer, FleetId, RequestKind, StreamId};
use roselock::{Action, Event, JobId, LoadReport, Micros, Outcome};
use std::cmp::Reverse;

impl Core {
    /// Steps the decision logic of a fleet, at most once per tick, if there are events or due timers. The first step
    /// needs neither.
    pub(super) fn step(&mut self, fleet_id: FleetId, now: Micros) {
        let fleet = &mut self.fleets[fleet_id];
        if now < fleet.stepped_at + fleet.settings.tick {
            return;
        }
        while let Some(Reverse((at, token))) = fleet.timers.peek().copied() {
            if at > now {
                break;
            }
            fleet.timers.pop();
            fleet.events.push(Event::TimerFired(token));
        }
        let has_stepped = fleet.stepped_at > 0;
        if fleet.events.is_empty() && has_stepped {
            return;
        }
        fleet.stepped_at = now;
        let mut actions = std::mem::take(&mut self.actions);
        fleet.dispatcher.step(now, &fleet.events, &mut actions);
        fleet.events.clear();
        self.update_list_validity(fleet_id);
        for action in actions.drain(..) {
            self.perform(fleet_id, now, action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, fleet: FleetId, now: Micros, action: Action) {
        match action {
            Action::Send { job, worker, timeout } => {
                self.send_attempt(HostId { fleet, worker }, job.0, now, timeout);
            }
            Action::Cancel { job, attempt } => self.cancel(job.0, attempt),
            Action::Reject { job, retry_after } => self.answer(job.0, Answer::Rejected(retry_after)),
            Action::Fail { job } => self.answer(job.0, Answer::Failed),
            Action::Timer { delay, token } => self.fleets[fleet].timers.push(Reverse((now + delay, token))),
            Action::WatchEndpoints => {
                self.record_watch_start();
                if let Some(dialer) = &self.fleets[fleet].dialer {
                    dialer.watch_endpoints();
                }
            }
            Action::HealthCheck(worker) => {
                let host = HostId { fleet, worker };
                self.send_control(host, RequestKind::HealthCheck, Some(ConnectionUse::Control), None);
            }
            Action::CloseIdleConnections(worker) => {
                if let Some(host) = self.fleets.host_mut(HostId { fleet, worker }) {
                    host.pool.clear();
                }
            }
            Action::Log { message, worker } => self.log_worker(HostId { fleet, worker }, message),
        }
    }

    fn log_worker(&self, host: HostId, message: &str) {
        let worker = self.fleets.host(host).map_or("?", |host| &host.uid);
        tracing::warn!(worker, "{message}");
    }

    /// Stops an attempt that is in flight. Its stream may continue, or be answered already.
    fn cancel(&mut self, stream_id: StreamId, attempt: u32) {
        let Some(stream) = self.streams.get(stream_id) else { return };
        let Some(id) = stream.in_flight else { return };
        if self.upstreams.get(id).is_none_or(|request| request.attempt != attempt) {
            return;
        }
        if stream.answered {
            self.abandon_attempt(id, Outcome::Cancelled);
        } else {
            self.cancel_attempt(id);
        }
    }

    /// Sends an attempt of a stream to a host. A `timeout` of 0 means none. An attempt that cannot be sent ends
    /// immediately.
    fn send_attempt(&mut self, host: HostId, stream_id: StreamId, now: Micros, timeout: Micros) {
        let settings = &self.fleets[host.fleet].settings;
        let max_attempts = settings.limits.max_attempts;
        let Some(stream) = self.streams.get_mut(stream_id) else { return };
        let attempt = stream.attempts;
        stream.attempts += 1;
        if !self.streams.begin_attempt(stream_id) {
            return self.end_unclaimed(host.fleet, stream_id, attempt);
        }
        let Some(stream) = self.streams.get(stream_id) else { return };
        let deadline = if timeout > 0 { stream.deadline.min(now + timeout) } else { stream.deadline };
        let may_be_sent = deadline > now && may_attempt(stream, attempt, now, max_attempts);
        let connection_use = connection_use(settings, Some(stream.class.0 as usize));
        let kind = RequestKind::Run(stream.payload.clone());
        let pending = PendingRequest::attempt(host, stream_id, attempt, now);
        let mut started = None;
        if may_be_sent {
            started = self.start_request(pending, kind, deadline, Some(connection_use));
        }
        let Some(id) = started else { return self.report_not_started(host.fleet, stream_id, attempt) };
        let address = self.fleets.host(host).and_then(|host| host.address);
        if let Some(stream) = self.streams.get_mut(stream_id) {
            stream.in_flight = Some(id);
            stream.last_upstream = address;
        }
        self.deadlines.add(deadline, Deadline::Attempt(id));
        self.log_attempt(host, stream_id, attempt);
    }

    /// Logs an attempt that has been started or queued.
    fn log_attempt(&self, host: HostId, stream_id: StreamId, attempt: u32) {
        let Some(stream) = self.streams.get(stream_id) else { return };
        let worker = self.fleets.host(host).map_or("?", |host| &host.uid);
        tracing::debug!(id = stream.payload.id(), worker, attempt, "attempt started");
    }

    /// Ends a stream whose id another process has taken over.
    fn end_unclaimed(&mut self, fleet: FleetId, stream_id: StreamId, attempt: u32) {
        if let Some(stream) = self.streams.get(stream_id) {
            tracing::warn!(id = stream.payload.id(), "attempt not made: the claim on its id is lost");
        }
        self.answer(stream_id, Answer::Conflict);
        self.push_not_started(fleet, stream_id, attempt, true);
    }

    /// Reports to the decision logic that an attempt could not be sent.
    fn report_not_started(&mut self, fleet: FleetId, stream_id: StreamId, attempt: u32) {
        let concluded = self.streams.get(stream_id).is_some_and(|stream| stream.answered);
        self.push_not_started(fleet, stream_id, attempt, concluded);
    }

    fn push_not_started(&mut self, fleet: FleetId, stream_id: StreamId, attempt: u32, concluded: bool) {
        self.fleets[fleet].events.push(Event::AttemptEnded {
            job: JobId(stream_id),
            attempt,
            outcome: Outcome::NotStarted,
            concluded,
            report: LoadReport::default(),
        });
    }
}

/// Whether this attempt of a stream may be sent now.
fn may_attempt(stream: &Stream, attempt: u32, now: Micros, max_attempts: u32) -> bool {
    let needs_answer = !stream.answered;
    let is_idle = stream.in_flight.is_none();
    let is_in_window = stream.begin_by > now;
    let has_attempts_left = attempt.max(stream.attempts_run) < max_attempts;
    needs_answer && is_idle && is_in_window && has_attempts_left
}
