//! The workers' side: a connection that registers a function is an upstream host of that function's fleet.

use super::{Gearman, OutboxMessage, Peer, Tail, error, reply};
use crate::core::{
    ConnectionState, Input, ListedHost, OutputKind, Payload, RequestKind, UpstreamConnection, UpstreamEvent,
    UpstreamId, UpstreamRequest, clock,
};
use roselock::settings::fnv;
use roselock::{CellId, Endpoint, EndpointState, KindId, ListMode, LoadReport, Micros, Outcome, WorkerId};
use roselock_gearman::packet::number;
use roselock_gearman::server::{Chosen, Due, Word};
use roselock_gearman::{Kind, Packet};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// How long a worker that asks waits for the decisions, while there are jobs that wait for one.
const ASK: Micros = 250_000;

/// A job in a worker's hands.
#[derive(Debug)]
pub struct Held {
    id: UpstreamId,
    function: usize,
    payload: Arc<Payload>,
    grabbed: Micros,
}

impl std::fmt::Debug for Payload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Payload({})", self.id())
    }
}

impl Held {
    /// The number of an upstream request.
    pub fn id_of(request: &UpstreamRequest) -> UpstreamId {
        request.id
    }
    /// Its job, by the id that was given to this turn of it.
    fn job_no(&self) -> Option<u64> {
        self.payload.assigned_id.as_ref()?.split('-').nth(1)?.parse().ok()
    }
}

/// A function's workers: those that take it, those free for it, those that have a job of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    able: isize,
    free: isize,
    engaged: isize,
}

/// What a change of a worker may change elsewhere.
struct Before {
    able: Vec<usize>,
    fit: bool,
    engaged: Option<usize>,
}

/// The way to a worker.
struct WorkerLink {
    peer: Arc<Peer>,
    function: usize,
}

impl UpstreamConnection for WorkerLink {
    fn start(&self, request: UpstreamRequest) -> bool {
        self.peer.outbox.post(OutboxMessage::Start(request, self.function))
    }
    fn abort(&self, id: UpstreamId) {
        let _ = self.peer.outbox.post(OutboxMessage::Abort(id));
    }
    fn is_inbound(&self) -> bool {
        true
    }
}

/// Tells of an attempt that no worker has seen: its connection was gone, or its hands were full.
pub fn never_ran(front: &Gearman, id: UpstreamId, gone: bool) {
    let (outcome, link) = if gone {
        (Outcome::ConnectFailed, ConnectionState::Closed)
    } else {
        (Outcome::Rejected, ConnectionState::Free)
    };
    front.inbox.post(Input::Upstream {
        id,
        event: UpstreamEvent::Ended { outcome, report: report(), body: Vec::new() },
        connection: link,
    });
}

/// What an attempt's end says of its worker: while it ran, nothing else fitted.
fn report() -> LoadReport {
    LoadReport { free_slots: Some(0.0), ..LoadReport::default() }
}

/// A job's name to a worker: new for each attempt, so that a late word of another is known for what it is.
fn handle(id: UpstreamId) -> Vec<u8> {
    format!("H:roselock:a{id}").into_bytes()
}

type State = roselock_gearman::server::Worker<usize, Held>;

fn before(state: &State) -> Before {
    let able: Vec<usize> = state.able().collect();
    let fit = able.first().is_some_and(|f| state.is_free_for(*f));
    Before { able, fit, engaged: state.engaged_in() }
}

impl Peer {
    fn uid(&self) -> String {
        format!("gearman-{}", self.number)
    }
    fn worker_id(&self) -> WorkerId {
        WorkerId(fnv(self.uid().as_bytes()))
    }
    /// The functions that it takes.
    pub fn able(&self) -> Vec<usize> {
        self.worker.lock().able().collect()
    }

    /// Changes its state and counts what that changes: how many workers each function has, and what the fleets of
    /// its other functions may count on.
    fn change<T>(&self, front: &Gearman, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.worker.lock();
        let old = before(&state);
        let done = act(&mut state);
        let new = before(&state);
        let due = state.due();
        drop(state);
        front.time(self, due);
        if old.able == new.able && old.fit == new.fit && old.engaged == new.engaged {
            return done;
        }
        let mut jobs = front.jobs.lock();
        let registered = jobs.tally.len();
        let mut changed: Vec<usize> = Vec::with_capacity(old.able.len() + 1);
        for (side, sign) in [(&old, -1), (&new, 1)] {
            for &f in side.able.iter().filter(|f| **f < registered) {
                jobs.tally[f].able += sign;
                jobs.tally[f].free += sign * side.fit as isize;
                changed.push(f);
            }
            if let Some(f) = side.engaged {
                jobs.tally[f].engaged += sign;
                changed.push(f);
            }
        }
        changed.sort_unstable();
        changed.dedup();
        for f in changed {
            let Tally { able, free, engaged } = jobs.tally[f];
            let [able, free, engaged] = [able, free, engaged].map(|n| usize::try_from(n).unwrap_or(0));
            jobs.backlog.set_workers(f, able, free, engaged);
        }
        let nudge = front.nudge(&mut jobs);
        drop(jobs);
        if old.fit != new.fit {
            let registry = front.functions.load();
            let worker = self.worker_id();
            let own = old.engaged.or(new.engaged);
            for f in new.able.iter().filter(|f| Some(**f) != own) {
                front.inbox.post(Input::Capacity {
                    fleet: registry.all[*f].fleet,
                    worker,
                    free_slots: new.fit as u8 as f64,
                });
            }
        }
        front.wake_owner(nudge);
        done
    }

    fn list(self: &Arc<Self>, front: &Gearman, function: usize, state: EndpointState) {
        let entry = Endpoint {
            worker: self.worker_id(),
            state,
            zone: front.site.load().settings.zone,
            cell: CellId(0),
            kind: KindId(0),
            units: 1.0,
            started_at: self.worker.lock().since(),
        };
        let link = WorkerLink { peer: self.clone(), function };
        let link = (state != EndpointState::Gone).then(|| Arc::new(link) as Arc<dyn UpstreamConnection>);
        let host = ListedHost { uid: self.uid(), address: None, endpoint: entry, connection: link };
        let fleet = front.functions.load().all[function].fleet;
        front.inbox.post(Input::Hosts { fleet, mode: ListMode::Changes, hosts: vec![host] });
    }

    /// It takes a function from now on: as a host that has just started, the first time.
    pub fn can_do(
        self: &Arc<Self>,
        front: &Arc<Gearman>,
        name: &[u8],
        limit: Option<Micros>,
    ) -> Option<Vec<u8>> {
        let known = front.function_for(name);
        let Some(f) = known.filter(|f| front.functions.load().all[*f].by_workers()) else {
            return Some(error("UNKNOWN_FUNCTION", "no worker here runs this function"));
        };
        self.is_worker.store(true, Ordering::Relaxed);
        self.change(front, |w| w.can_do(f, limit, clock::now()));
        self.list(front, f, EndpointState::Ready);
        let busy = self.worker.lock().is_engaged();
        let fleet = front.functions.load().all[f].fleet;
        front.inbox.post(Input::Capacity {
            fleet,
            worker: self.worker_id(),
            free_slots: if busy { 0.0 } else { 1.0 },
        });
        None
    }

    /// It takes a function no more: from now on it drains.
    pub fn cant_do(self: &Arc<Self>, front: &Gearman, name: &[u8]) -> Option<Vec<u8>> {
        let f = front.functions.load().find(name)?;
        let back = self.change(front, |w| w.cant_do(f))?;
        self.list(front, f, EndpointState::Draining);
        // What was chosen for it and not yet grabbed goes back: it has not been seen.
        back.into_iter().for_each(|held| never_ran(front, held.id, false));
        None
    }

    /// It takes nothing any more.
    pub fn reset(self: &Arc<Self>, front: &Gearman) -> Option<Vec<u8>> {
        for f in self.able() {
            if let Some(back) = self.change(front, |w| w.cant_do(f)) {
                self.list(front, f, EndpointState::Draining);
                back.into_iter().for_each(|held| never_ran(front, held.id, false));
            }
        }
        None
    }

    /// It sleeps until it is woken; at once, if something was chosen meanwhile.
    pub fn pre_sleep(self: &Arc<Self>, front: &Gearman) -> Option<Vec<u8>> {
        self.heard(front);
        self.change(front, |w| w.pre_sleep()).then(|| reply(Kind::Noop, &[]))
    }

    /// One that was deaf has said something: it is there again.
    fn heard(self: &Arc<Self>, front: &Gearman) {
        let able = {
            let state = self.worker.lock();
            if state.is_deaf() { state.able().collect() } else { Vec::new() }
        };
        able.into_iter().for_each(|f: usize| self.list(front, f, EndpointState::Ready));
    }

    /// An attempt for it; what it returns wakes it.
    pub fn engage(
        self: &Arc<Self>,
        front: &Gearman,
        request: UpstreamRequest,
        function: usize,
    ) -> Option<Vec<u8>> {
        let RequestKind::Run(payload) = request.kind else { return None };
        let held = Held { id: request.id, function, payload, grabbed: 0 };
        let by = clock::now() + front.figures.grab;
        match self.change(front, |w| w.choose(function, held, by)) {
            Chosen::Wake => return Some(reply(Kind::Noop, &[])),
            Chosen::Kept => {}
            Chosen::Asked(kind) => return self.grab(front, kind),
            Chosen::Unwilling(held) => never_ran(front, held.id, false),
            Chosen::Gone(held) => never_ran(front, held.id, true),
        }
        None
    }

    /// The attempt is given up. One that it has it keeps, busy with it until it says so.
    pub fn release(&self, front: &Gearman, id: UpstreamId) {
        let is_it = |held: &Held| held.id == id;
        let (back, given_up) = self.change(front, |w| match w.withdraw(is_it) {
            Some(held) => (Some(held), None),
            None => (None, w.give_up(is_it)),
        });
        back.into_iter().for_each(|held| never_ran(front, held.id, false));
        // Where the owner had not yet heard that it was taken, it hears now that it may have run.
        given_up.into_iter().for_each(|held| late(front, held.id));
    }

    /// It asks for its job.
    pub fn grab(self: &Arc<Self>, front: &Gearman, kind: Kind) -> Option<Vec<u8>> {
        self.heard(front);
        let now = clock::now();
        // Its clients may have left since it was chosen, or it was cancelled: nobody would want it run.
        let chosen = self.worker.lock().chosen().and_then(|held| Some((held.id, held.job_no()?)));
        let stale = chosen.filter(|(_, no)| front.jobs.lock().backlog.job(*no).is_none());
        if let Some((id, _)) = stale {
            let back = self.change(front, |w| w.withdraw(|held| held.id == id));
            back.into_iter().for_each(|held| never_ran(front, held.id, false));
        }
        let may_wait = {
            let able = self.able();
            let jobs = front.jobs.lock();
            able.iter().any(|f| jobs.backlog.counts(*f).wants_workers())
        };
        let taken = self.change(front, |w| {
            w.grab(now, |held| handle(held.id)).map(|held| (held.id, held.payload.clone()))
        });
        let Some((id, p)) = taken else {
            // The decisions may be about to choose it for one that waits.
            let waits = may_wait && self.change(front, |w| w.ask(kind, now + ASK));
            return (!waits).then(|| reply(Kind::NoJob, &[]));
        };
        self.worker.lock().running_mut(&handle(id)).into_iter().for_each(|held| held.grabbed = now);
        front.inbox.post(Input::Upstream {
            id,
            event: UpstreamEvent::Started,
            connection: ConnectionState::Busy,
        });
        let registry = front.functions.load();
        let name =
            registry.find(p.part(&p.method)).map_or(p.part(&p.method), |f| registry.all[f].name.as_bytes());
        let (handle, unique, reducer) = (handle(id), p.part(&p.target), p.part(&p.reducer));
        let mut head = match kind {
            Kind::GrabJobUniq => reply(Kind::JobAssignUniq, &[&handle, name, unique, b""]),
            Kind::GrabJobAll => reply(Kind::JobAssignAll, &[&handle, name, unique, reducer, b""]),
            _ => reply(Kind::JobAssign, &[&handle, name, b""]),
        };
        let size = (head.len() - roselock_gearman::packet::HEAD + p.body.len()) as u32;
        head[8..12].copy_from_slice(&size.to_be_bytes());
        self.outbox.write(head, Tail::Data(p), false);
        None
    }

    /// The attempt that it runs, if that is the one it names.
    fn running(&self, name: &[u8]) -> Option<(UpstreamId, Option<u64>)> {
        self.worker.lock().running(name).map(|held| (held.id, held.job_no()))
    }

    /// It tells how its job goes.
    pub fn tell(&self, front: &Gearman, packet: &Packet) -> Option<Vec<u8>> {
        let (name, heard) = match *packet {
            Packet::WorkStatus { handle, numerator, denominator } => {
                let (done, of) = (number(numerator)?, number(denominator)?);
                let (_, no) = self.running(handle)?;
                let no = no?;
                let mut jobs = front.jobs.lock();
                jobs.backlog.set_progress(no, done, of);
                let share = if of > 0 { done as f64 / of as f64 } else { 0.0 };
                (handle, UpstreamEvent::Progress(share.clamp(0.0, 1.0)))
            }
            Packet::WorkData { handle, data } => {
                (handle, UpstreamEvent::Output { kind: OutputKind::Data, bytes: data.to_vec() })
            }
            Packet::WorkWarning { handle, data } => {
                (handle, UpstreamEvent::Output { kind: OutputKind::Warning, bytes: data.to_vec() })
            }
            _ => return None,
        };
        let (id, _) = self.running(name)?;
        front.inbox.post(Input::Upstream { id, event: heard, connection: ConnectionState::Busy });
        None
    }

    /// It says why its job will fail; it ends with the failure that follows.
    pub fn exception(&self, front: &Gearman, name: &[u8], why: &[u8]) -> Option<Vec<u8>> {
        let (id, _) = self.running(name)?;
        let said = UpstreamEvent::Output { kind: OutputKind::Exception, bytes: why.to_vec() };
        front.inbox.post(Input::Upstream { id, event: said, connection: ConnectionState::Busy });
        None
    }

    /// It tells how its job ended, with a result or a failure. Of an attempt that it does not run, nothing is heeded.
    pub fn finish(&self, front: &Gearman, name: &[u8], result: Option<&[u8]>) -> Option<Vec<u8>> {
        let word = self.change(front, |w| w.finish(name));
        let held = match word {
            Word::Of(held) => held,
            Word::Late => return None,
            Word::Foreign => {
                return Some(error("JOB_NOT_FOUND", "this connection has no job under this handle"));
            }
        };
        {
            let mut jobs = front.jobs.lock();
            jobs.backlog.record_run(held.function, clock::now() - held.grabbed);
            held.job_no().filter(|_| result.is_none()).into_iter().for_each(|no| jobs.backlog.set_failed(no));
        }
        let heard = match result {
            Some(data) => {
                UpstreamEvent::Ended { outcome: Outcome::Ok, report: report(), body: data.to_vec() }
            }
            None => UpstreamEvent::Ended { outcome: Outcome::Error, report: report(), body: Vec::new() },
        };
        front.inbox.post(Input::Upstream { id: held.id, event: heard, connection: ConnectionState::Free });
        None
    }

    /// Its result does not fit: the job fails, and its hands are free.
    pub fn result_too_large(&self, front: &Gearman) {
        let Some(held) = self.change(front, |w| w.drop_job()) else { return };
        let said =
            UpstreamEvent::Output { kind: OutputKind::Exception, bytes: b"the result is too large".to_vec() };
        front.inbox.post(Input::Upstream { id: held.id, event: said, connection: ConnectionState::Busy });
        let failed = UpstreamEvent::Ended { outcome: Outcome::Error, report: report(), body: Vec::new() };
        front.inbox.post(Input::Upstream { id: held.id, event: failed, connection: ConnectionState::Free });
    }

    /// A time of it has come: it did not ask for the job that was chosen for it, or did not end the one that it has.
    pub fn expire(self: &Arc<Self>, front: &Gearman, now: Micros) {
        match self.change(front, |w| w.expire(now)) {
            None => {}
            Some(Due::NoJob) => self.send(reply(Kind::NoJob, &[])),
            Some(Due::Unheard(held)) => {
                tracing::warn!(worker = self.uid(), "gearman: a worker was woken and did not come");
                self.able().into_iter().for_each(|f| self.list(front, f, EndpointState::Draining));
                never_ran(front, held.id, false);
            }
            Some(Due::Late(held)) => {
                tracing::warn!(worker = self.uid(), "gearman: a worker is past its own time limit");
                late(front, held.id);
            }
        }
    }

    /// The connection ended: what it had may have run, what was only chosen for it never did.
    pub fn leave(self: &Arc<Self>, front: &Gearman) {
        let (able, chosen, runs) = self.change(front, |w| w.leave());
        chosen.into_iter().for_each(|held| never_ran(front, held.id, true));
        if let Some(held) = runs {
            let lost = UpstreamEvent::Ended {
                outcome: Outcome::Reset,
                report: LoadReport::default(),
                body: Vec::new(),
            };
            front.inbox.post(Input::Upstream {
                id: held.id,
                event: lost,
                connection: ConnectionState::Closed,
            });
        }
        able.into_iter().for_each(|f| self.list(front, f, EndpointState::Gone));
    }
}

/// An attempt that its worker has was given up: it may have run.
fn late(front: &Gearman, id: UpstreamId) {
    let ended = UpstreamEvent::Ended { outcome: Outcome::Timeout, report: report(), body: Vec::new() };
    front.inbox.post(Input::Upstream { id, event: ended, connection: ConnectionState::Free });
}
