//! Upstream requests: put on a connection, heard of, ended with one verdict, given up.

use super::*;
use roselock_dial_limiter::rejected_recently;

/// Before the end of the window in which a repeat may be sent, for its way.
const WITHIN: Micros = 10_000;

impl Core {
    pub(super) fn heard(&mut self, id: UpstreamId, heard: UpstreamEvent, link: ConnectionState) {
        // It was given up while its host's word that it has it was on the way: the host need not go on.
        if let Some((fleet, host, payload)) = self.abandoned.remove(&id)
            && matches!(heard, UpstreamEvent::Accepted)
        {
            self.send_control(fleet, host, RequestKind::Withdraw(payload), Some(Need::Control), None);
        }
        let Some(up) = self.upstreams.get_mut(&id) else { return };
        let (fleet, host) = (up.fleet, up.host);
        let kept = up.idle.take_if(|_| link != ConnectionState::Busy);
        if let Some(idle) = kept {
            let (trust, now) = (&mut self.fleets[fleet].trust, clock::now());
            match heard {
                UpstreamEvent::Ended { outcome: Outcome::Reset, .. } | UpstreamEvent::ConnectionLost => {
                    trust.broke(idle, now)
                }
                UpstreamEvent::Accepted
                | UpstreamEvent::Ended { .. }
                | UpstreamEvent::HealthChecked { .. } => trust.worked(idle, now),
                _ => {}
            }
        }
        if kept.is_none()
            && matches!(
                heard,
                UpstreamEvent::Accepted
                    | UpstreamEvent::HealthChecked { ok: true, .. }
                    | UpstreamEvent::Withdrawn
            )
        {
            self.fleets[fleet].hosts.get_mut(&host).iter_mut().for_each(|h| h.dial_limiter.record_accepted());
        }
        let Some(up) = self.upstreams.get_mut(&id) else { return };
        let preconnect = matches!(up.control, Some(RequestKind::Preconnect));
        match link {
            ConnectionState::Busy => {}
            ConnectionState::Closed => up.link = None,
            ConnectionState::Free => {
                let kept = up.link.take().filter(|l| !l.is_inbound());
                let ready = self.fleets[fleet].hosts.get_mut(&host);
                let ready = ready.filter(|h| h.entry.state == EndpointState::Ready);
                if let Some((link, ready)) = kept.zip(ready) {
                    // Of a second 202 nothing would end.
                    let rest = if matches!(heard, UpstreamEvent::Accepted) { 0 } else { SETTLE };
                    ready.pool.put(link, clock::now(), rest);
                }
            }
        }
        if preconnect {
            self.preconnected(fleet, host, matches!(heard, UpstreamEvent::ConnectionLost));
        }
        if link == ConnectionState::Free {
            self.assign_idle_connections(fleet, host);
        }
        match heard {
            UpstreamEvent::Accepted | UpstreamEvent::Started => {
                let quit = self.upstreams.get_mut(&id).is_some_and(|up| {
                    up.taken = true;
                    up.quit && matches!(heard, UpstreamEvent::Accepted)
                });
                if quit {
                    self.withdraw(id);
                }
                if matches!(heard, UpstreamEvent::Started) {
                    self.notice(id, AttemptUpdate::Started);
                }
            }
            UpstreamEvent::Progress(share) => self.notice(id, AttemptUpdate::Progress(share)),
            UpstreamEvent::Output { kind: saying, bytes } => {
                let stream =
                    self.upstreams.get(&id).filter(|u| !u.ended).and_then(|u| self.streams.get(&u.stream));
                stream.iter().for_each(|s| s.downstream.output(saying, &bytes));
            }
            UpstreamEvent::Ended { outcome, report: gauge, body } => {
                if outcome == Outcome::Reset {
                    self.unsettled(id);
                }
                self.end(id, outcome, gauge, body);
            }
            UpstreamEvent::HealthChecked { ok, report: gauge } => {
                self.fleets[fleet].events.push(Event::HealthCheckEnded { worker: host, ok, report: gauge });
            }
            UpstreamEvent::Withdrawn => {
                let gone = self.upstreams.get_mut(&id).and_then(|u| u.withdraws.take());
                if let Some(gone) = gone {
                    self.unsettled(gone);
                    self.end(gone, Outcome::Cancelled, LoadReport::default(), Vec::new());
                    self.drop_upstream(gone);
                }
            }
            UpstreamEvent::ConnectionLost => match self.upstreams.get_mut(&id).and_then(|u| u.control.take())
            {
                // On a kept connection that tells nothing of the host: again, on a new one.
                Some(ask) if kept.is_some() => {
                    let withdraws = self.upstreams.get_mut(&id).and_then(|u| u.withdraws.take());
                    self.send_control(fleet, host, ask, None, withdraws);
                }
                Some(RequestKind::HealthCheck) => self.probe_failed(fleet, host),
                _ => {}
            },
            UpstreamEvent::ConnectionRejected { request_written: written } => {
                self.connection_rejected(id, written)
            }
            UpstreamEvent::Ignored => {}
        }
        self.retry_withdrawal(id);
        let lost = |u: &Upstream| u.link.is_none() && !u.taken && !u.ended && !u.waits;
        if self.upstreams.get(&id).is_some_and(lost) {
            self.unsettled(id);
            self.end(id, Outcome::Reset, LoadReport::default(), Vec::new());
        }
        self.drop_upstream(id);
    }

    pub(super) fn drop_upstream(&mut self, id: UpstreamId) {
        if self.upstreams.get(&id).is_some_and(|u| u.ended && u.link.is_none()) {
            self.upstreams.remove(&id);
        }
    }

    pub(super) fn called_back(&mut self, call: &str, from: &str, told: CallbackEvent, gauge: LoadReport) {
        // Of a former life, of another stream, of an attempt that is over: not ours to heed.
        let stream = self.calls.get(call).and_then(|id| self.streams.get(id));
        let Some(id) = stream.and_then(|s| s.out) else {
            tracing::debug!(id = call, from, "call-back of no attempt that is out here");
            return;
        };
        let up = &self.upstreams[&id];
        if self.fleets[up.fleet].hosts.get(&up.host).is_none_or(|h| h.uid != from) {
            return;
        }
        match told {
            CallbackEvent::Started => self.notice(id, AttemptUpdate::Started),
            CallbackEvent::Progress(share) => self.notice(id, AttemptUpdate::Progress(share)),
            CallbackEvent::Ended(outcome, body) => {
                // The host calls again until it has our answer: the same word may come once more.
                self.unsettled(id);
                self.end(id, outcome, gauge, body);
            }
        }
        self.drop_upstream(id);
    }

    pub(super) fn notice(&mut self, id: UpstreamId, note: AttemptUpdate) {
        let Some(up) = self.upstreams.get(&id).filter(|u| !u.ended) else { return };
        let (job, round) = (JobId(up.stream), up.round);
        self.fleets[up.fleet].events.push(Event::AttemptProgress { job, attempt: round, update: note });
        let stream = self.streams.get(&up.stream).filter(|s| !s.answered);
        stream.iter().for_each(|s| match note {
            AttemptUpdate::Started => s.downstream.running(true),
            AttemptUpdate::Progress(share) => s.downstream.progress(share),
        });
    }

    /// The host of an attempt may still tell of it after its end: no further attempt of its stream goes there, as nothing in
    /// a call-back tells which attempt it is of. A host that came to us speaks on its own connection.
    pub(super) fn unsettled(&mut self, id: UpstreamId) {
        let Some(up) = self.upstreams.get(&id).filter(|u| !u.ended) else { return };
        let fleet = &mut self.fleets[up.fleet];
        if fleet.hosts.get(&up.host).is_some_and(|host| host.link.is_none()) {
            fleet.events.push(Event::LateReportPossible { job: JobId(up.stream), worker: up.host });
        }
    }

    /// The one place where an attempt ends.
    pub(super) fn end(&mut self, id: UpstreamId, outcome: Outcome, gauge: LoadReport, body: Vec<u8>) {
        let Some(up) = self.upstreams.get_mut(&id).filter(|u| !u.ended) else { return };
        up.ended = true;
        let (job, round, fleet, sent) = (up.stream, up.round, up.fleet, up.sent);
        let Some(stream) = self.streams.get_mut(&job) else { return };
        stream.out = None;
        stream.downstream.running(false);
        stream.timed_out = outcome == Outcome::Timeout;
        let set = &self.fleets[fleet].set;
        if !outcome.never_ran(set.safety.rejection_may_have_run) {
            stream.ran += 1;
            let end = stream.window.map(|window| sent + window - WITHIN);
            stream.begin_by = end.map_or(stream.begin_by, |end| stream.begin_by.min(end));
        }
        let last = stream.answered || outcome == Outcome::Ok;
        let verdict =
            Event::AttemptEnded { job: JobId(job), attempt: round, outcome, concluded: last, report: gauge };
        self.fleets[fleet].events.push(verdict);
        if outcome == Outcome::Ok {
            self.answer(job, Answer::Served(body));
        }
        self.forget(job);
    }

    /// An attempt of a stream that needs none any more, of which nothing has left, ends: it never ran.
    pub(super) fn hold_back(&mut self, stream: StreamId) {
        let out = self.streams.get(&stream).and_then(|s| s.out);
        out.into_iter().for_each(|id| self.hold_back_attempt(id));
    }

    /// The same of one attempt.
    pub(super) fn hold_back_attempt(&mut self, id: UpstreamId) {
        let Some(up) = self.upstreams.get(&id).filter(|u| !u.ended) else { return };
        if up.waits {
            return self.leave_dial_queue(id);
        }
        if up.link.as_ref().is_some_and(|l| l.cancel_unsent()) {
            self.upstreams.entry(id).and_modify(|u| u.link = None);
            self.end(id, Outcome::NotStarted, LoadReport::default(), Vec::new());
            self.drop_upstream(id);
        }
    }

    /// Attempts at such hosts of which nothing has left end: the connection might come up after the host has drained.
    pub(super) fn hold_back_at(&mut self, f: FleetId, of: impl Fn(&Host) -> bool) {
        let hosts = &self.fleets[f].hosts;
        let there =
            |u: &Upstream| u.fleet == f && !u.ended && !u.taken && hosts.get(&u.host).is_some_and(&of);
        let ids: Vec<_> = self.upstreams.iter().filter(|u| there(u.1)).map(|u| *u.0).collect();
        ids.into_iter().for_each(|id| self.hold_back_attempt(id));
    }

    /// Stops an attempt: before it is taken by closing its connection, afterwards by a word to the host.
    pub(super) fn give_up(&mut self, id: UpstreamId, outcome: Outcome) {
        let Some(up) = self.upstreams.get_mut(&id).filter(|u| !u.ended) else { return };
        if up.waits {
            return self.leave_dial_queue(id);
        }
        let (fleet, host, stream, taken) = (up.fleet, up.host, up.stream, up.taken);
        let resident = up.link.as_ref().is_some_and(|l| l.is_inbound());
        if resident && !taken {
            // It may be taking it just now: it tells whether it did.
            return up.link.iter().for_each(|l| l.abort(id));
        }
        if !taken || resident {
            up.link.take().iter().for_each(|l| l.abort(id));
        }
        let payload = self.streams.get(&stream).map(|s| s.payload.clone());
        if let Some(payload) = payload.clone().filter(|_| !taken) {
            self.abandoned.insert(id, (fleet, host, payload));
        }
        self.unsettled(id);
        self.end(id, outcome, LoadReport::default(), Vec::new());
        self.drop_upstream(id);
        if let Some(payload) = payload.filter(|_| taken && !resident) {
            self.send_control(fleet, host, RequestKind::Withdraw(payload), Some(Need::Control), None);
        }
    }

    /// Puts an upstream request on a connection, an idle one if there is one. False if there is none to have.
    pub(super) fn launch(
        &mut self,
        mut up: Upstream,
        ask: RequestKind,
        deadline: Micros,
        need: Option<Need>,
    ) -> bool {
        let runs = matches!(ask, RequestKind::Run(_)).then(|| self.streams.get(&up.stream)).flatten();
        let (class, begin_by) = (runs.map(|s| s.class.0 as usize), runs.map_or(Micros::MAX, |s| s.begin_by));
        let fleet = &mut self.fleets[up.fleet];
        let now = clock::now();
        let id = self.next_upstream;
        let connect_by = now + fleet.set.limits.connect_timeout;
        let request = UpstreamRequest { id, ask, connect_by, begin_by, deadline, class };
        let Some(host) = fleet.hosts.get_mut(&up.host) else { return false };
        let link = match (&host.link, host.endpoint) {
            (Some(link), _) => Some(link.clone()),
            (None, None) => None,
            (None, Some(endpoint)) => {
                match need.and_then(|n| host.pool.take(now, fleet.trust.since(now, n), n)) {
                    Some((since, link)) => {
                        up.idle = Some(now - since);
                        Some(link)
                    }
                    None if fleet.dialer.as_ref().is_some_and(|d| d.has_capacity(&request.ask)) => {
                        if let Some(limits) =
                            fleet.dial_limits.filter(|_| !matches!(request.ask, RequestKind::Preconnect))
                        {
                            let proven = need == Some(Need::Once) && rejected_recently(fleet.closed, now);
                            let open = host.dial_limiter.next_dial_at(limits, now) <= now && !proven;
                            if !open || (!host.dial_queue.is_empty() && class.is_some()) {
                                return class.is_some() && self.join_dial_queue(up, request);
                            }
                            host.dial_limiter.record_dial(limits, now);
                        }
                        self.next_upstream += 1;
                        up.link = fleet.dialer.as_ref().map(|d| d.dial(endpoint, request));
                        self.upstreams.insert(id, up);
                        return true;
                    }
                    None => {
                        // No descriptor to spare: an idle connection elsewhere makes room for the next try.
                        fleet.hosts.values_mut().any(|h| h.pool.shed());
                        None
                    }
                }
            }
        };
        let Some(link) = link else { return false };
        if !link.start(request) {
            return false;
        }
        self.next_upstream += 1;
        up.link = Some(link);
        self.upstreams.insert(id, up);
        true
    }
}
