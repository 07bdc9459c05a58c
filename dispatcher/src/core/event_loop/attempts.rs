//! Attempts in flight: their progress, their end, and how they are stopped.

use super::Core;
use super::fleets::Host;
use super::upstream_requests::AbandonedAttempt;
use crate::core::pool::ConnectionUse;
use crate::core::{Answer, FleetId, RequestKind, StreamId, UpstreamId};
use roselock::{AttemptUpdate, Event, JobId, LoadReport, Outcome};

/// Why the attempts at a host are cancelled.
#[derive(Clone, Copy, Debug)]
pub(super) enum CancelReason {
    /// The host is draining or gone.
    Unavailable,
    /// An operator has suspended the host.
    Suspended,
    /// The endpoint list has expired.
    ListExpired,
}

impl CancelReason {
    /// The text in the log.
    fn text(self) -> &'static str {
        match self {
            CancelReason::Unavailable => "worker draining or gone",
            CancelReason::Suspended => "worker suspended",
            CancelReason::ListExpired => "endpoint list expired",
        }
    }
}

impl Core {
    /// Reports the progress of an attempt to the decision logic and to the client.
    pub(super) fn report_progress(&mut self, id: UpstreamId, update: AttemptUpdate) {
        let Some(request) = self.upstreams.open_attempt(id) else { return };
        let progress =
            Event::AttemptProgress { job: JobId(request.stream), attempt: request.attempt, update };
        self.fleets[request.host.fleet].events.push(progress);
        let Some(stream) = self.streams.get_unanswered(request.stream) else { return };
        match update {
            AttemptUpdate::Started => stream.downstream.running(true),
            AttemptUpdate::Progress(share) => stream.downstream.progress(share),
        }
    }

    /// Notifies the decision logic that the host of an attempt may still report on it after its end. No further attempt
    /// of its stream is sent there, because a callback does not identify the attempt. This does not apply to hosts on
    /// inbound connections: they report on the connection itself.
    pub(super) fn mark_late_report_possible(&mut self, id: UpstreamId) {
        let Some(request) = self.upstreams.open_attempt(id) else { return };
        let reports_by_callback =
            self.fleets.host(request.host).is_some_and(|host| host.connection.is_none());
        if reports_by_callback {
            let event = Event::LateReportPossible { job: JobId(request.stream), worker: request.host.worker };
            self.fleets[request.host.fleet].events.push(event);
        }
    }

    /// Ends an open attempt. Every attempt that was sent or queued ends here.
    pub(super) fn end_attempt(
        &mut self,
        id: UpstreamId,
        outcome: Outcome,
        report: LoadReport,
        body: Vec<u8>,
    ) {
        let Some(request) = self.upstreams.open_attempt_mut(id) else { return };
        request.concluded = true;
        let stream_id = request.stream;
        let attempt = request.attempt;
        let sent_at = request.sent_at;
        let fleet = &mut self.fleets[request.host.fleet];
        let Some(stream) = self.streams.get_mut(stream_id) else { return };
        stream.attempt_ended(outcome);
        if !outcome.never_ran(fleet.settings.safety.rejection_may_have_run) {
            stream.attempt_may_have_run(sent_at);
        }
        let concluded = stream.answered || outcome == Outcome::Ok;
        let job = JobId(stream_id);
        fleet.events.push(Event::AttemptEnded { job, attempt, outcome, concluded, report });
        if outcome == Outcome::Ok {
            self.answer(stream_id, Answer::Served(body));
        }
        self.streams.remove_if_ended(stream_id);
    }

    /// Ends an attempt without a load report and a result from its host.
    pub(super) fn end_attempt_without_report(&mut self, id: UpstreamId, outcome: Outcome) {
        self.end_attempt(id, outcome, LoadReport::default(), Vec::new());
    }

    /// Ends the attempt in flight of a stream that needs none any more, if nothing of it has been sent. It never ran.
    pub(super) fn cancel_unsent(&mut self, stream: StreamId) {
        if let Some(id) = self.streams.get(stream).and_then(|stream| stream.in_flight) {
            self.cancel_unsent_attempt(id);
        }
    }

    /// Ends an attempt, if nothing of it has been sent. Returns whether it has ended.
    fn cancel_unsent_attempt(&mut self, id: UpstreamId) -> bool {
        let Some(request) = self.upstreams.open_attempt_mut(id) else { return false };
        if request.in_dial_queue {
            self.leave_dial_queue(id);
            return true;
        }
        let is_unsent = request.connection.as_ref().is_some_and(|connection| connection.cancel_unsent(id));
        if is_unsent {
            request.connection = None;
            self.end_attempt_without_report(id, Outcome::NotStarted);
            self.upstreams.remove_if_done(id);
        }
        is_unsent
    }

    /// Ends the attempts of which nothing has been sent, at the hosts of a fleet that meet the condition. Their
    /// connections might otherwise be established after the host has drained.
    pub(super) fn cancel_unsent_at(
        &mut self,
        fleet: FleetId,
        reason: CancelReason,
        condition: impl Fn(&Host) -> bool,
    ) {
        let fleets = &self.fleets;
        let ids = self.upstreams.unaccepted_attempts(|request| {
            request.host.fleet == fleet && fleets.host(request.host).is_some_and(&condition)
        });
        for id in ids {
            if self.cancel_unsent_attempt(id) {
                tracing::debug!(
                    upstream_request = id,
                    reason = reason.text(),
                    "attempt ended before it was written"
                );
            }
        }
    }

    /// Ends an attempt whose result is not needed any more: by closing its connection before the host has accepted it,
    /// by a withdrawal afterwards.
    pub(super) fn abandon_attempt(&mut self, id: UpstreamId, outcome: Outcome) {
        let Some(request) = self.upstreams.open_attempt_mut(id) else { return };
        if request.in_dial_queue {
            return self.leave_dial_queue(id);
        }
        let host = request.host;
        let stream = request.stream;
        let accepted = request.accepted;
        let is_inbound = request.is_on_inbound_connection();
        if is_inbound && !accepted {
            // The host may be accepting it at this moment; it will report whether it did.
            if let Some(connection) = &request.connection {
                connection.abort(id);
            }
            return;
        }
        if (!accepted || is_inbound)
            && let Some(connection) = request.connection.take()
        {
            connection.abort(id);
        }
        let payload = self.streams.get(stream).map(|stream| stream.payload.clone());
        if !accepted && let Some(payload) = payload.clone() {
            self.upstreams.abandoned.insert(id, AbandonedAttempt { host, payload });
        }
        self.mark_late_report_possible(id);
        self.end_attempt_without_report(id, outcome);
        self.upstreams.remove_if_done(id);
        if accepted
            && !is_inbound
            && let Some(payload) = payload
        {
            self.send_control(host, RequestKind::Withdraw(payload), Some(ConnectionUse::Control), None);
        }
    }
}
