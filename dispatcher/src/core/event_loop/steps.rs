//! Steps of the decisions, what is due by its time, and what they say to do.

use super::*;

impl Core {
    pub(super) fn fire_due(&mut self, now: Micros) {
        while let Some(Reverse((at, due))) = self.due.peek().copied() {
            if at > now {
                break;
            }
            self.due.pop();
            match due {
                Due::Attempt(id) => self.give_up(id, Outcome::Timeout),
                Due::DialQueue(id) => self.leave_dial_queue(id),
                Due::Stream(id) => {
                    let Some(stream) = self.streams.get(&id).filter(|s| !s.answered) else { continue };
                    let fleet = stream.fleet;
                    self.answer(id, Answer::TimedOut);
                    self.fleets[fleet].events.push(Event::ClientDisconnected(JobId(id)));
                }
            }
        }
    }

    /// One step of a fleet's decisions, at most once a tick.
    pub(super) fn step(&mut self, f: FleetId, now: Micros) {
        let fleet = &mut self.fleets[f];
        if now < fleet.stepped + fleet.set.tick {
            return;
        }
        while let Some(Reverse((_, token))) = fleet.timers.peek().copied().filter(|t| t.0.0 <= now) {
            fleet.timers.pop();
            fleet.events.push(Event::TimerFired(token));
        }
        if fleet.events.is_empty() && fleet.stepped > 0 {
            return;
        }
        fleet.stepped = now;
        let mut actions = std::mem::take(&mut self.actions);
        fleet.dispatcher.step(now, &fleet.events, &mut actions);
        fleet.events.clear();
        self.log_list_age(f);
        for action in actions.drain(..) {
            self.act(f, now, action);
        }
        self.actions = actions;
    }

    pub(super) fn act(&mut self, f: FleetId, now: Micros, action: Action) {
        match action {
            Action::Send { job, worker, timeout } => self.send(f, now, job.0, worker, timeout),
            Action::Cancel { job, attempt } => {
                let out = self.streams.get(&job.0).and_then(|s| s.out);
                if let Some(id) = out.filter(|id| self.upstreams[id].round == attempt) {
                    if self.streams.get(&job.0).is_some_and(|s| !s.answered) {
                        self.cancel_attempt(id);
                    } else {
                        self.give_up(id, Outcome::Cancelled);
                    }
                }
            }
            Action::Reject { job, retry_after } => self.answer(job.0, Answer::Rejected(retry_after)),
            Action::Fail { job } => self.answer(job.0, Answer::Failed),
            Action::Timer { delay, token } => self.fleets[f].timers.push(Reverse((now + delay, token))),
            Action::WatchEndpoints => {
                self.start.record_call();
                self.admin.metrics.start(&self.start, None);
                self.fleets[f].dialer.iter().for_each(|d| d.watch_endpoints());
            }
            Action::HealthCheck(worker) => {
                self.send_control(f, worker, RequestKind::HealthCheck, Some(Need::Control), None)
            }
            Action::CloseIdleConnections(worker) => {
                if let Some(host) = self.fleets[f].hosts.get_mut(&worker) {
                    host.pool.clear();
                }
            }
            Action::Log { message, worker } => {
                let uid = self.fleets[f].hosts.get(&worker).map_or("?", |h| &h.uid);
                tracing::warn!("upstream host {uid}: {message}");
            }
        }
    }

    pub(super) fn send(
        &mut self,
        f: FleetId,
        now: Micros,
        job: StreamId,
        worker: WorkerId,
        max_wait: Micros,
    ) {
        let Some(stream) = self.streams.get_mut(&job) else { return };
        let round = stream.rounds;
        stream.rounds += 1;
        let deadline = if max_wait > 0 { stream.deadline.min(now + max_wait) } else { stream.deadline };
        let barred = stream.answered
            || stream.out.is_some()
            || deadline <= now
            || stream.begin_by <= now
            || round.max(stream.ran) >= self.fleets[f].set.limits.max_attempts;
        let payload = stream.payload.clone();
        let up = Upstream { stream: job, round, sent: now, ..Upstream::new(f, worker) };
        let id = self.next_upstream;
        let need = dial_queue::need(&self.fleets[f].set, Some(stream.class.0 as usize));
        if barred || !self.launch(up, RequestKind::Run(payload), deadline, Some(need)) {
            let last = self.streams[&job].answered;
            let (job, outcome, gauge) = (JobId(job), Outcome::NotStarted, LoadReport::default());
            self.fleets[f].events.push(Event::AttemptEnded {
                job,
                attempt: round,
                outcome,
                concluded: last,
                report: gauge,
            });
            return;
        }
        let endpoint = self.fleets[f].hosts.get(&worker).and_then(|h| h.endpoint);
        self.streams.entry(job).and_modify(|s| (s.out, s.host) = (Some(id), endpoint));
        self.due.push(Reverse((deadline, Due::Attempt(id))));
    }
}
