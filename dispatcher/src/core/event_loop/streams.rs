//! The life cycle of a stream: admission, the final answer, and the record of its end.

use super::Core;
use super::admin_state::job_result;
use super::deadlines::Deadline;
use super::stream_table::{DisconnectedClient, Stream};
use crate::core::id_claims::ClaimError;
use crate::core::{Answer, FleetId, Flow, NewStream, StreamId, StreamOutcome, clock};
use roselock::{ClassId, Event, Idempotency, JobId, JobRequest, Micros};

/// How long after its deadline a stream is answered here if the decision logic has not answered it, in microseconds.
const ANSWER_GRACE: Micros = 5_000;

impl Core {
    /// Admits a stream, or answers it immediately if it cannot be admitted.
    pub(super) fn admit_stream(&mut self, mut new: NewStream) {
        let now = clock::now();
        let shutdown = self.inbox.shutdown_deadlines();
        if let Some(deadline) = shutdown.and_then(|deadlines| deadlines.arrival_deadline(now)) {
            new.deadline = new.deadline.min(deadline);
            if new.deadline <= now {
                return self.reject(new, Answer::Rejected(roselock::SECOND));
            }
        }
        if !self.wait_for_fleet(new.fleet) {
            return;
        }
        self.last_arrival_at = now;
        let job_id = new.payload.id().to_owned();
        if self.streams.knows_job_id(&job_id, now) {
            tracing::debug!(id = job_id, "request rejected: its id is in use or was used recently");
            return self.reject(new, Answer::Conflict);
        }
        if new.deadline <= now {
            return self.reject(new, Answer::Failed);
        }
        if let Err(error) = self.streams.claim(&new.payload, new.deadline - now) {
            return self.reject_unclaimed(new, error);
        }
        self.admin.metrics.job_admitted();
        self.fleets[new.fleet].events.push(Event::JobArrived(job_request(&new, now)));
        self.deadlines.add(new.deadline + ANSWER_GRACE, Deadline::Stream(new.id));
        let repeat_window = self.repeat_window(new.fleet, new.class);
        self.streams.insert(new.id, job_id, Stream::new(new, now, repeat_window));
    }

    /// Handles inputs until the fleet has been added. A job source may release a job before the message that adds its
    /// fleet is handled; the message was posted before the release. Returns false if the queue is closed.
    fn wait_for_fleet(&mut self, fleet: FleetId) -> bool {
        while fleet >= self.fleets.len() {
            let Ok(input) = self.inputs.recv() else { return false };
            self.handle(input);
        }
        true
    }

    fn repeat_window(&self, fleet: FleetId, class: ClassId) -> Option<Micros> {
        let class = &self.fleets[fleet].settings.classes[class.0 as usize];
        match class.idempotency {
            Idempotency::IdempotencyKey { window, .. } => Some(window),
            _ => None,
        }
    }

    /// Answers a stream that is not admitted.
    fn reject(&self, new: NewStream, answer: Answer) {
        self.admin.metrics.job_ended(new.class.0 as usize, job_result(&answer), false);
        new.downstream.answer(answer, new.prior_attempts);
    }

    /// Answers a stream whose id could not be claimed. It has not run.
    fn reject_unclaimed(&self, new: NewStream, error: ClaimError) {
        let id = new.payload.id();
        match error {
            ClaimError::InUse => {
                tracing::debug!(id, "request rejected: its id is in use at another process, or was recently");
                self.reject(new, Answer::Conflict);
            }
            ClaimError::Full => {
                tracing::warn!(id, "request rejected: the table of claimed ids is full");
                self.reject(new, Answer::Rejected(roselock::SECOND));
            }
        }
    }

    /// Sends the final answer of a stream, unless it is answered already.
    pub(super) fn answer(&mut self, id: StreamId, answer: Answer) {
        // Before the answer: its client may send the request again at once, to the other process of an upgrade.
        self.streams.release_unsent(id);
        let Some(stream) = self.streams.get_unanswered_mut(id) else { return };
        stream.answered = true;
        // An attempt in flight may run, too.
        let attempts_run = stream.attempts_run + u32::from(stream.in_flight.is_some());
        let answer = match answer {
            Answer::Failed if stream.last_attempt_timed_out => Answer::TimedOut,
            answer => answer,
        };
        let (outcome, bytes_sent) = match &answer {
            Answer::Served(body) => (StreamOutcome::Served, body.len()),
            Answer::Rejected(_) => (StreamOutcome::Rejected, 0),
            Answer::Failed | Answer::Conflict => (StreamOutcome::Failed, 0),
            Answer::TimedOut => (StreamOutcome::TimedOut, 0),
        };
        self.admin.metrics.job_ended(stream.class.0 as usize, job_result(&answer), true);
        stream.downstream.answer(answer, attempts_run);
        self.record(id, outcome, bytes_sent);
        self.cancel_unsent(id);
        self.streams.remove_if_ended(id);
    }

    /// Handles the disconnection of a stream's client, which needs no answer any more.
    pub(super) fn disconnect_client(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get_unanswered_mut(id) else { return };
        stream.answered = true;
        // Releases the client's connection, which would otherwise stay open while an attempt is in flight.
        stream.downstream = Box::new(DisconnectedClient);
        let fleet = stream.fleet;
        self.cancel_unsent(id);
        self.admin.metrics.client_disconnected();
        self.record(id, StreamOutcome::ClientDisconnected, 0);
        self.fleets[fleet].events.push(Event::ClientDisconnected(JobId(id)));
        self.streams.remove_if_ended(id);
    }

    /// Logs a finished stream and passes its flow record to the sink.
    fn record(&self, id: StreamId, outcome: StreamOutcome, bytes_sent: usize) {
        let Some(stream) = self.streams.get(id) else { return };
        tracing::debug!(
            id = stream.payload.id(),
            class = stream.class.0,
            duration_ms = (clock::now() - stream.arrived_at) / 1000,
            attempts = stream.attempts,
            attempts_run = stream.attempts_run,
            bytes = bytes_sent,
            ?outcome,
            "stream ended"
        );
        let Some(flows) = &self.flows else { return };
        flows.record_flow(Flow {
            stream: id,
            class: stream.class,
            start: stream.arrived_at,
            end: clock::now(),
            downstream: stream.peer,
            upstream: stream.last_upstream,
            bytes_received: stream.payload.body.len(),
            bytes_sent,
            outcome,
        });
    }
}

/// The job of a stream, for the decision logic.
fn job_request(new: &NewStream, now: Micros) -> JobRequest {
    JobRequest {
        job: JobId(new.id),
        class: new.class,
        tenant: new.tenant,
        slots: new.slots,
        memory: new.memory,
        work_hint: new.hint,
        key: new.key,
        budget: new.deadline - now,
    }
}
