//! Streams: taken on, answered once, recorded, forgotten.

use super::*;

impl Core {
    pub(super) fn arrive(&mut self, mut new: NewStream) {
        let now = clock::now();
        let shutdown = self.inbox.shutdown_deadlines();
        if let Some(deadline) = shutdown.and_then(|deadlines| deadlines.arrival_deadline(now)) {
            new.deadline = new.deadline.min(deadline);
            if new.deadline <= now {
                return self.refuse(new, Answer::Rejected(roselock::SECOND));
            }
        }
        // A feed may be ahead of the news of a fleet, which then waits in the queue: it was posted first.
        while new.fleet >= self.fleets.len() {
            let Ok(input) = self.outlet.recv() else { return };
            self.handle(input);
        }
        self.arrived = now;
        let call = new.payload.id().to_owned();
        // Two live streams of one id could not be told apart by the hosts' call-backs.
        // An id is new with every request: one that went to a host before would have its effect again.
        if self.calls.contains_key(&call) || self.used.contains(&call, now) {
            return self.refuse(new, Answer::Conflict);
        }
        if new.deadline <= now {
            return self.refuse(new, Answer::Failed);
        }
        self.admin.metrics.job_admitted();
        self.fleets[new.fleet].events.push(Event::JobArrived(JobRequest {
            job: JobId(new.id),
            class: new.class,
            tenant: new.tenant,
            slots: new.slots,
            memory: new.memory,
            work_hint: new.hint,
            key: new.key,
            budget: new.deadline - now,
        }));
        self.due.push(Reverse((new.deadline + BACKSTOP, Due::Stream(new.id))));
        self.calls.insert(call, new.id);
        let stream = Stream {
            fleet: new.fleet,
            class: new.class,
            came: now,
            peer: new.peer,
            payload: new.payload,
            deadline: new.deadline,
            downstream: new.downstream,
            answered: false,
            rounds: 0,
            out: None,
            window: match self.fleets[new.fleet].set.classes[new.class.0 as usize].idempotency {
                Idempotency::IdempotencyKey { window, .. } => Some(window),
                _ => None,
            },
            begin_by: Micros::MAX,
            ran: new.prior_attempts,
            timed_out: false,
            host: None,
        };
        self.streams.insert(new.id, stream);
    }

    /// Answers a stream that is not taken on.
    pub(super) fn refuse(&self, new: NewStream, answer: Answer) {
        self.admin.metrics.job_ended(new.class.0 as usize, administration::end(&answer), false);
        new.downstream.answer(answer, new.prior_attempts);
    }

    /// Drops a stream for which nothing is owed and nothing is out.
    pub(super) fn forget(&mut self, id: StreamId) {
        if let Some(stream) = self.streams.get(&id).filter(|s| s.answered && s.out.is_none()) {
            self.calls.remove(stream.payload.id());
            if stream.rounds > 0 {
                self.used.insert(stream.payload.id(), clock::now());
            }
            self.streams.remove(&id);
        }
    }

    /// The final answer, once.
    pub(super) fn answer(&mut self, id: StreamId, answer: Answer) {
        let Some(stream) = self.streams.get_mut(&id).filter(|s| !s.answered) else { return };
        stream.answered = true;
        // One that is out may run, too.
        let ran = stream.ran + stream.out.is_some() as u32;
        let answer = match answer {
            Answer::Failed if stream.timed_out => Answer::TimedOut,
            answer => answer,
        };
        let (finish, sent) = match &answer {
            Answer::Served(body) => (StreamOutcome::Served, body.len()),
            Answer::Rejected(_) => (StreamOutcome::Rejected, 0),
            Answer::Failed | Answer::Conflict => (StreamOutcome::Failed, 0),
            Answer::TimedOut => (StreamOutcome::TimedOut, 0),
        };
        self.admin.metrics.job_ended(stream.class.0 as usize, administration::end(&answer), true);
        stream.downstream.answer(answer, ran);
        self.record(id, finish, sent);
        self.hold_back(id);
        self.forget(id);
    }

    /// Takes down that a stream has finished.
    pub(super) fn record(&self, id: StreamId, finish: StreamOutcome, sent: usize) {
        let Some(stream) = self.streams.get(&id) else { return };
        tracing::debug!(
            id = stream.payload.id(),
            class = stream.class.0,
            ms = (clock::now() - stream.came) / 1000,
            rounds = stream.rounds,
            ran = stream.ran,
            bytes = sent,
            "stream ended: {finish:?}"
        );
        let Some(flows) = &self.flows else { return };
        flows.finished(Flow {
            stream: id,
            class: stream.class,
            start: stream.came,
            end: clock::now(),
            downstream: stream.peer,
            upstream: stream.host,
            received: stream.payload.body.len(),
            sent,
            finish,
        });
    }
}
