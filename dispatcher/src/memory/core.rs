//! The owner of the decisions: one thread that takes inputs from the queue, steps the decision module, and
//! posts what it decides. Only here does an upstream request end: with one verdict for each send.

mod errands;
mod operation;

use super::clock;
use super::pool::{Need, Pool, Trust};
use super::*;
use roselock::settings::fnv;
use roselock::{Action, Dispatcher, Effect, Event, JobId, JobIn, Listed, Note, Settings};
use roselock_startup::stage::Start;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::mpsc::RecvTimeoutError;

use errands::Unsent;
pub use operation::Operation;

/// After the deadline, a stream that the decisions have not answered is answered here.
const BACKSTOP: Micros = 5_000;
/// A process that is told to stop ends once no stream has come for so long.
const QUIET: Micros = 400_000;
/// What it takes on later than the first of these after that has its answer by the second, since soon after it the
/// process may be killed. For earlier streams nobody counts on more than their own deadlines.
const TAKES_ON: Micros = 600_000;
const OUT_BY: Micros = 3_500_000;
/// How long an id counts as used, and how many are kept.
const USED_FOR: Micros = 60_000_000;
const USED: usize = 8192;
/// Inputs taken in before the next step.
const BATCH: usize = 1024;
/// Hosts remembered after they are gone.
const GONE_HOSTS: usize = 1024;

struct Host {
    uid: String,
    endpoint: Option<SocketAddr>,
    pool: Pool,
    link: Option<Arc<dyn Link>>,
    entry: FleetEntry,
}

struct Fleet {
    dispatcher: Dispatcher,
    set: Settings,
    dialer: Option<Box<dyn Dialer>>,
    hosts: BTreeMap<WorkerId, Host>,
    trust: Trust,
    events: Vec<Event>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    stepped: Micros,
}

struct Stream {
    fleet: FleetId,
    class: ClassId,
    came: Micros,
    peer: SocketAddr,
    payload: Arc<Payload>,
    deadline: Micros,
    downstream: Box<dyn Downstream>,
    answered: bool,
    rounds: u32,
    /// The attempt that is out.
    out: Option<UpstreamId>,
    /// The host that handed it back last, and when.
    handed_back: Option<(WorkerId, Micros)>,
    /// Attempts that may have run, those before it came in included.
    ran: u32,
    /// Its last attempt ended by its time.
    timed_out: bool,
    /// Where it was sent last.
    host: Option<SocketAddr>,
}

struct Upstream {
    fleet: FleetId,
    stream: StreamId,
    host: WorkerId,
    round: u32,
    link: Option<Arc<dyn Link>>,
    /// How long its connection had idled, if it is a kept one.
    idle: Option<Micros>,
    /// What it asks for, if it is no attempt.
    errand: Option<Ask>,
    /// The host has said that it has it.
    taken: bool,
    /// Its verdict is given, or none is owed.
    ended: bool,
    /// It is called off while its stream lives on.
    quit: bool,
    /// The attempt that this withdraws.
    withdraws: Option<UpstreamId>,
}

impl Upstream {
    fn new(fleet: FleetId, host: WorkerId) -> Upstream {
        Upstream {
            fleet,
            stream: 0,
            host,
            round: 0,
            link: None,
            idle: None,
            errand: None,
            taken: false,
            ended: false,
            quit: false,
            withdraws: None,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Attempt(UpstreamId),
    Stream(StreamId),
}

/// The ids of finished streams that went to a host, by their hashes, for a while.
#[derive(Default)]
struct Used {
    latest: VecDeque<(Micros, u64)>,
    ids: HashSet<u64>,
}

impl Used {
    fn contains(&mut self, id: &str, now: Micros) -> bool {
        while self.latest.front().is_some_and(|u| u.0 < now - USED_FOR) || self.latest.len() > USED {
            self.latest.pop_front().iter().for_each(|u| _ = self.ids.remove(&u.1));
        }
        self.ids.contains(&fnv(id.as_bytes()))
    }
    fn insert(&mut self, id: &str, now: Micros) {
        let hash = fnv(id.as_bytes());
        if self.ids.insert(hash) {
            self.latest.push_back((now, hash));
        }
    }
}

/// What the owner thread owns.
pub struct Core {
    inbox: Inbox,
    outlet: Receiver<Input>,
    fleets: Vec<Fleet>,
    streams: HashMap<StreamId, Stream>,
    calls: HashMap<String, StreamId>,
    used: Used,
    upstreams: HashMap<UpstreamId, Upstream>,
    next_upstream: UpstreamId,
    due: BinaryHeap<Reverse<(Micros, Due)>>,
    /// Withdrawals that have not arrived, the next one due first.
    unsent: VecDeque<Unsent>,
    actions: Vec<Action>,
    swept: Micros,
    arrived: Micros,
    flows: Option<Box<dyn FlowSink>>,
    feeds: Vec<Box<dyn Feed>>,
    /// The fleet that steps first: they take turns.
    turn: usize,
    /// The figures and the workers out by hand; the change of those last told, the workers out, and when the
    /// figures of the list were last set.
    operation: Operation,
    /// Where call-backs of streams that are not here go, where another process may have them.
    relay: Option<Box<dyn Relay>>,
    hand_seen: u64,
    told: std::collections::BTreeSet<WorkerId>,
    published: Micros,
    /// How far the start has come.
    start: Start,
}

impl Core {
    /// A core without fleets.
    pub fn new(
        inbox: Inbox,
        outlet: Receiver<Input>,
        flows: Option<Box<dyn FlowSink>>,
        operation: Operation,
    ) -> Core {
        let now = clock::now();
        Core {
            inbox,
            outlet,
            fleets: Vec::new(),
            streams: HashMap::new(),
            calls: HashMap::new(),
            used: Used::default(),
            upstreams: HashMap::new(),
            next_upstream: 0,
            due: BinaryHeap::new(),
            unsent: VecDeque::new(),
            actions: Vec::new(),
            swept: now,
            arrived: now,
            flows,
            feeds: Vec::new(),
            turn: 0,
            operation,
            relay: None,
            hand_seen: 0,
            told: Default::default(),
            published: 0,
            start: Start::begin(now, false),
        }
    }

    /// Takes the list that the process came up with, as of before its start.
    pub fn came_up_with(&mut self, fleet: FleetId, hosts: Vec<ListedHost>) {
        self.start = Start::begin(clock::now(), !hosts.is_empty());
        self.operation.figures.start(&self.start, None);
        self.list(fleet, ListMode::Complete, hosts);
    }

    /// Passes call-backs of streams that are not here to the other process of an upgrade.
    pub fn set_relay(&mut self, relay: Box<dyn Relay>) {
        self.relay = Some(relay);
    }

    /// Adds streams that wait elsewhere.
    pub fn add_feed(&mut self, feed: Box<dyn Feed>) {
        self.feeds.push(feed);
    }

    /// Adds a fleet with an instance of the decisions of its own.
    pub fn add_fleet(
        &mut self,
        set: Settings,
        seed: u64,
        dialer: Option<Box<dyn Dialer>>,
    ) -> Result<FleetId, String> {
        let dispatcher = Dispatcher::new(set.clone(), seed).map_err(|e| e.to_string())?;
        self.fleets.push(Fleet {
            trust: Trust::new(told_idle(&set)),
            dispatcher,
            set,
            dialer,
            hosts: BTreeMap::new(),
            events: Vec::new(),
            timers: BinaryHeap::new(),
            stepped: 0,
        });
        Ok(self.fleets.len() - 1)
    }

    /// Works until told to stop and nothing is owed.
    pub fn run(mut self) {
        loop {
            let wait = clock::left(self.wake_at());
            match self.outlet.recv_timeout(wait) {
                Ok(input) => {
                    self.handle(input);
                    for _ in 1..BATCH {
                        let Ok(input) = self.outlet.try_recv() else { break };
                        self.handle(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = clock::now();
            self.fire_due(now);
            self.withdraw_again(now);
            self.draw(now);
            // Fleets may share hosts: none has the first word on those that become free each time.
            self.by_hand();
            self.turn = (self.turn + 1) % self.fleets.len();
            (self.turn..self.fleets.len()).chain(0..self.turn).for_each(|f| self.step(f, now));
            self.sweep(now);
            self.publish(now);
            let parting = self.inbox.parting();
            if parting {
                self.feeds.iter().for_each(|f| f.part());
            }
            if parting
                && self.streams.values().all(|s| s.answered)
                && self.inbox.unwritten() == 0
                && now - self.arrived >= QUIET
            {
                return;
            }
        }
    }

    /// When there is something to do even without news.
    fn wake_at(&self) -> Micros {
        let idle = clock::now() + if self.inbox.stopping().is_some() { 20_000 } else { 250_000 };
        let due = self.due.peek().map(|Reverse((at, _))| *at);
        let steps = self.fleets.iter().filter_map(|f| {
            let ready = f.stepped + f.set.tick;
            if f.events.is_empty() { f.timers.peek().map(|t| t.0.0.max(ready)) } else { Some(ready) }
        });
        let unsent = self.unsent.front().map(|u| u.due);
        let feeds = self.feeds.iter().filter_map(|f| f.due());
        steps.chain(feeds).chain(due).chain(unsent).fold(idle, Micros::min)
    }

    /// Takes in what the feeds have.
    fn draw(&mut self, now: Micros) {
        for f in 0..self.feeds.len() {
            for _ in 0..BATCH {
                let Some(new) = self.feeds[f].next(now) else { break };
                self.arrive(new);
            }
        }
    }

    /// Takes in one input.
    pub fn handle(&mut self, input: Input) {
        match input {
            Input::Arrived(new) => self.arrive(*new),
            Input::Left(id) => {
                let Some(stream) = self.streams.get_mut(&id).filter(|s| !s.answered) else { return };
                stream.answered = true;
                let fleet = stream.fleet;
                self.operation.figures.left();
                self.record(id, Finish::Left, 0);
                self.fleets[fleet].events.push(Event::CancelledByClient(JobId(id)));
                self.forget(id);
            }
            Input::Upstream(id, heard, link) => self.heard(id, heard, link),
            Input::CallBack(call, from, told, gauge, body) => {
                if !self.calls.contains_key(&call) {
                    if let (Some(relay), Some(body)) = (&self.relay, body) {
                        return relay.pass(body);
                    }
                }
                self.called_back(&call, &from, told, gauge);
            }
            Input::Hosts(fleet, mode, hosts) => {
                self.confirmed(fleet);
                self.list(fleet, mode, hosts);
            }
            Input::Room(fleet, worker, free) => {
                let gauge = Gauge { free_slots: Some(free), ..Gauge::default() };
                self.fleets[fleet].events.push(Event::Health { worker, ok: true, gauge });
            }
            Input::Fleet(fleet, set, seed) => {
                assert_eq!(fleet, self.fleets.len(), "fleets come in the order of their numbers");
                self.add_fleet(*set, seed, None).expect("checked by whoever made it");
            }
            Input::Feed => {}
            Input::WatchBroken(fleet) => {
                self.start.broken();
                self.operation.figures.start(&self.start, None);
                let broken = Event::Fleet { mode: ListMode::Broken, entries: Vec::new() };
                self.fleets[fleet].events.push(broken);
            }
            Input::Settings(fleet, set) => {
                let fleet = &mut self.fleets[fleet];
                match fleet.dispatcher.retell(&set) {
                    Ok(()) => fleet.set = *set,
                    Err(why) => tracing::warn!("the old settings are kept: {why}"),
                }
            }
            // Known from the inbox: this wakes the owner.
            Input::Stop => {}
        }
    }

    fn arrive(&mut self, mut new: NewStream) {
        let now = clock::now();
        if let Some(at) = self.inbox.stopping().filter(|at| now - at > TAKES_ON) {
            new.deadline = new.deadline.min(at + OUT_BY);
            if new.deadline <= now {
                return self.refuse(new, Answer::Refused(OUT_BY - TAKES_ON));
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
        self.operation.figures.taken();
        self.fleets[new.fleet].events.push(Event::Job(JobIn {
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
            handed_back: None,
            ran: new.ran,
            timed_out: false,
            host: None,
        };
        self.streams.insert(new.id, stream);
    }

    /// Answers a stream that is not taken on.
    fn refuse(&self, new: NewStream, answer: Answer) {
        self.operation.figures.ended(new.class.0 as usize, operation::end(&answer), false);
        new.downstream.answer(answer, new.ran);
    }

    /// Drops a stream for which nothing is owed and nothing is out.
    fn forget(&mut self, id: StreamId) {
        if let Some(stream) = self.streams.get(&id).filter(|s| s.answered && s.out.is_none()) {
            self.calls.remove(stream.payload.id());
            if stream.rounds > 0 {
                self.used.insert(stream.payload.id(), clock::now());
            }
            self.streams.remove(&id);
        }
    }

    /// The final answer, once.
    fn answer(&mut self, id: StreamId, answer: Answer) {
        let Some(stream) = self.streams.get_mut(&id).filter(|s| !s.answered) else { return };
        stream.answered = true;
        // One that is out may run, too.
        let ran = stream.ran + stream.out.is_some() as u32;
        let answer = match answer {
            Answer::Failed if stream.timed_out => Answer::TimedOut,
            answer => answer,
        };
        let (finish, sent) = match &answer {
            Answer::Served(body) => (Finish::Served, body.len()),
            Answer::Refused(_) => (Finish::Refused, 0),
            Answer::Failed | Answer::Conflict => (Finish::Failed, 0),
            Answer::TimedOut => (Finish::TimedOut, 0),
        };
        self.operation.figures.ended(stream.class.0 as usize, operation::end(&answer), true);
        stream.downstream.answer(answer, ran);
        self.record(id, finish, sent);
        self.forget(id);
    }

    /// Takes down that a stream has finished.
    fn record(&self, id: StreamId, finish: Finish, sent: usize) {
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

    // ---- Upstream requests ----

    fn heard(&mut self, id: UpstreamId, heard: Heard, link: LinkIs) {
        let Some(up) = self.upstreams.get_mut(&id) else { return };
        let (fleet, host) = (up.fleet, up.host);
        let kept = up.idle.take_if(|_| link != LinkIs::Busy);
        if let Some(idle) = kept {
            let (trust, now) = (&mut self.fleets[fleet].trust, clock::now());
            match heard {
                Heard::Ended(Outcome::Reset, ..) | Heard::Broken => trust.broke(idle, now),
                Heard::Taken | Heard::Ended(..) | Heard::Probed(..) => trust.worked(idle, now),
                _ => {}
            }
        }
        match link {
            LinkIs::Busy => {}
            LinkIs::Closed => up.link = None,
            LinkIs::Free => {
                let kept = up.link.take().filter(|l| !l.resident());
                let ready = self.fleets[fleet].hosts.get_mut(&host);
                let ready = ready.filter(|h| h.entry.state == Listed::Ready);
                if let Some((link, host)) = kept.zip(ready) {
                    host.pool.put(link, clock::now());
                }
            }
        }
        match heard {
            Heard::Taken => {
                up.taken = true;
                if up.quit {
                    self.withdraw(id);
                }
            }
            Heard::Started => {
                up.taken = true;
                self.notice(id, Note::Started);
            }
            Heard::Progress(share) => self.notice(id, Note::Progress(share)),
            Heard::Said(saying, bytes) => {
                let stream =
                    self.upstreams.get(&id).filter(|u| !u.ended).and_then(|u| self.streams.get(&u.stream));
                stream.iter().for_each(|s| s.downstream.say(saying, &bytes));
            }
            Heard::Ended(outcome, gauge, body) => self.end(id, outcome, gauge, body),
            Heard::Probed(ok, gauge) => {
                self.fleets[fleet].events.push(Event::Health { worker: host, ok, gauge });
            }
            Heard::Withdrawn => {
                let gone = self.upstreams.get_mut(&id).and_then(|u| u.withdraws.take());
                if let Some(gone) = gone {
                    self.end(gone, Outcome::Cancelled, Gauge::default(), Vec::new());
                    self.drop_upstream(gone);
                }
            }
            Heard::Broken => match self.upstreams.get_mut(&id).and_then(|u| u.errand.take()) {
                // On a kept connection that tells nothing of the host: again, on a new one.
                Some(ask) if kept.is_some() => {
                    let withdraws = self.upstreams.get_mut(&id).and_then(|u| u.withdraws.take());
                    self.errand(fleet, host, ask, None, withdraws);
                }
                Some(Ask::Probe) => self.unanswered(fleet, host),
                _ => {}
            },
            Heard::Nothing => {}
        }
        self.withdraw_later(id);
        let lost = |u: &Upstream| u.link.is_none() && !u.taken && !u.ended;
        if self.upstreams.get(&id).is_some_and(lost) {
            self.end(id, Outcome::Reset, Gauge::default(), Vec::new());
        }
        self.drop_upstream(id);
    }

    fn drop_upstream(&mut self, id: UpstreamId) {
        if self.upstreams.get(&id).is_some_and(|u| u.ended && u.link.is_none()) {
            self.upstreams.remove(&id);
        }
    }

    fn called_back(&mut self, call: &str, from: &str, told: Told, gauge: Gauge) {
        // Of a former life, of another stream, of an attempt that is over: not ours to heed.
        let stream = self.calls.get(call).and_then(|id| self.streams.get(id));
        let Some((stream, id)) = stream.and_then(|s| Some((s, s.out?))) else {
            tracing::debug!(id = call, from, "call-back of no attempt that is out here");
            return;
        };
        let up = &self.upstreams[&id];
        if self.fleets[up.fleet].hosts.get(&up.host).is_none_or(|h| h.uid != from) {
            return;
        }
        // A repeat of the word that ended the attempt before, at the same host, says nothing of this one.
        let repeat = stream.handed_back.is_some_and(|(host, _)| host == up.host) && !up.taken;
        match told {
            Told::Started => self.notice(id, Note::Started),
            Told::Progress(share) => self.notice(id, Note::Progress(share)),
            Told::Ended(Outcome::Full, _) if repeat => {}
            Told::Ended(outcome, body) => self.end(id, outcome, gauge, body),
        }
        self.drop_upstream(id);
    }

    fn notice(&mut self, id: UpstreamId, note: Note) {
        let Some(up) = self.upstreams.get(&id).filter(|u| !u.ended) else { return };
        let (job, round) = (JobId(up.stream), up.round);
        self.fleets[up.fleet].events.push(Event::Notice { job, round, note });
        let stream = self.streams.get(&up.stream).filter(|s| !s.answered);
        stream.iter().for_each(|s| match note {
            Note::Started => s.downstream.running(true),
            Note::Progress(share) => s.downstream.progress(share),
        });
    }

    /// The one place where an attempt ends.
    fn end(&mut self, id: UpstreamId, outcome: Outcome, gauge: Gauge, body: Vec<u8>) {
        let Some(up) = self.upstreams.get_mut(&id).filter(|u| !u.ended) else { return };
        up.ended = true;
        let (job, round, fleet, host) = (up.stream, up.round, up.fleet, up.host);
        let Some(stream) = self.streams.get_mut(&job) else { return };
        stream.out = None;
        stream.downstream.running(false);
        stream.timed_out = outcome == Outcome::Timeout;
        let unproven = self.fleets[fleet].set.safety.full_unproven;
        stream.ran += !outcome.never_ran(unproven) as u32;
        if outcome == Outcome::Full {
            stream.handed_back = Some((host, clock::now()));
        }
        let last = stream.answered || outcome == Outcome::Ok;
        let verdict = Event::Verdict { job: JobId(job), round, outcome, last, gauge };
        self.fleets[fleet].events.push(verdict);
        if outcome == Outcome::Ok {
            self.answer(job, Answer::Served(body));
        }
        self.forget(job);
    }

    /// Stops an attempt: before it is taken by closing its connection, afterwards by a word to the host.
    fn give_up(&mut self, id: UpstreamId, outcome: Outcome) {
        let Some(up) = self.upstreams.get_mut(&id).filter(|u| !u.ended) else { return };
        let (fleet, host, stream, taken) = (up.fleet, up.host, up.stream, up.taken);
        let resident = up.link.as_ref().is_some_and(|l| l.resident());
        if resident && !taken {
            // It may be taking it just now: it tells whether it did.
            return up.link.iter().for_each(|l| l.abort(id));
        }
        if !taken || resident {
            up.link.take().iter().for_each(|l| l.abort(id));
        }
        let payload = self.streams.get(&stream).map(|s| s.payload.clone());
        self.end(id, outcome, Gauge::default(), Vec::new());
        self.drop_upstream(id);
        if let Some(payload) = payload.filter(|_| taken && !resident) {
            self.errand(fleet, host, Ask::Withdraw(payload), Some(Need::Errand), None);
        }
    }

    /// Puts an upstream request on a connection, an idle one if there is one. False if there is none to have.
    fn launch(&mut self, mut up: Upstream, ask: Ask, deadline: Micros, need: Option<Need>) -> bool {
        let runs = matches!(ask, Ask::Run(_)).then(|| self.streams.get(&up.stream)).flatten();
        let class = runs.map(|s| s.class.0 as usize);
        let fleet = &mut self.fleets[up.fleet];
        let now = clock::now();
        let id = self.next_upstream;
        let connect_by = now + fleet.set.limits.connect_timeout;
        let request = UpstreamRequest { id, ask, connect_by, deadline, class };
        let Some(host) = fleet.hosts.get_mut(&up.host) else { return false };
        let link = match (&host.link, host.endpoint) {
            (Some(link), _) => Some(link.clone()),
            (None, None) => None,
            (None, Some(endpoint)) => match need.and_then(|n| host.pool.take(fleet.trust.since(now, n), n)) {
                Some((since, link)) => {
                    up.idle = Some(now - since);
                    Some(link)
                }
                None if fleet.dialer.as_ref().is_some_and(|d| d.room(&request.ask)) => {
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
            },
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

    // ---- Hosts ----

    fn list(&mut self, f: FleetId, mode: ListMode, hosts: Vec<ListedHost>) {
        self.operation.hand.listed(hosts.iter().map(|h| h.uid.as_str()));
        // What a host that came to us took no notice of before it left has not run.
        for listed in hosts.iter().filter(|h| h.entry.state == Listed::Gone && h.endpoint.is_none()) {
            let here = |u: &Upstream| u.fleet == f && u.host == listed.entry.worker && !u.taken && !u.ended;
            let unseen: Vec<_> = self.upstreams.iter().filter(|u| here(u.1)).map(|u| *u.0).collect();
            for id in unseen {
                self.heard(
                    id,
                    Heard::Ended(Outcome::ConnectFailed, Gauge::default(), Vec::new()),
                    LinkIs::Closed,
                );
            }
        }
        let fleet = &mut self.fleets[f];
        if mode == ListMode::Complete {
            for (id, host) in &mut fleet.hosts {
                if !hosts.iter().any(|h| h.entry.worker == *id) {
                    host.entry.state = Listed::Gone;
                    host.pool.clear();
                }
            }
        }
        let mut entries = Vec::with_capacity(hosts.len());
        for listed in hosts {
            entries.push(listed.entry.clone());
            let host = fleet.hosts.entry(listed.entry.worker).or_insert_with(|| Host {
                uid: listed.uid.clone(),
                endpoint: None,
                pool: Pool::default(),
                link: None,
                entry: listed.entry.clone(),
            });
            let restarted = listed.entry.up_since > host.entry.up_since;
            if restarted || listed.endpoint != host.endpoint || listed.entry.state != Listed::Ready {
                host.pool.clear();
            }
            (host.endpoint, host.entry) = (listed.endpoint, listed.entry);
            host.link = listed.link;
        }
        let gone = |h: &Host| h.entry.state == Listed::Gone;
        if fleet.hosts.values().filter(|h| gone(h)).count() > GONE_HOSTS {
            fleet.hosts.retain(|_, h| !gone(h));
        }
        fleet.events.push(Event::Fleet { mode, entries });
        let mut hosts = self.fleets.iter().flat_map(|f| f.hosts.values());
        self.inbox.set_able(hosts.any(|h| h.entry.state == Listed::Ready));
    }

    // ---- Steps ----

    fn fire_due(&mut self, now: Micros) {
        while let Some(Reverse((at, due))) = self.due.peek().copied() {
            if at > now {
                break;
            }
            self.due.pop();
            match due {
                Due::Attempt(id) => self.give_up(id, Outcome::Timeout),
                Due::Stream(id) => {
                    let Some(stream) = self.streams.get(&id).filter(|s| !s.answered) else { continue };
                    let fleet = stream.fleet;
                    self.answer(id, Answer::TimedOut);
                    self.fleets[fleet].events.push(Event::CancelledByClient(JobId(id)));
                }
            }
        }
    }

    /// One step of a fleet's decisions, at most once a tick.
    fn step(&mut self, f: FleetId, now: Micros) {
        let fleet = &mut self.fleets[f];
        if now < fleet.stepped + fleet.set.tick {
            return;
        }
        while let Some(Reverse((_, token))) = fleet.timers.peek().copied().filter(|t| t.0.0 <= now) {
            fleet.timers.pop();
            fleet.events.push(Event::Alarm(token));
        }
        if fleet.events.is_empty() && fleet.stepped > 0 {
            return;
        }
        fleet.stepped = now;
        let mut actions = std::mem::take(&mut self.actions);
        fleet.dispatcher.step(now, &fleet.events, &mut actions);
        fleet.events.clear();
        for action in actions.drain(..) {
            self.act(f, now, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, f: FleetId, now: Micros, action: Action) {
        match action {
            Action::Send { job, worker, max_wait } => self.send(f, now, job.0, worker, max_wait),
            Action::Cancel { job, round } => {
                let out = self.streams.get(&job.0).and_then(|s| s.out);
                if let Some(id) = out.filter(|id| self.upstreams[id].round == round) {
                    if self.streams.get(&job.0).is_some_and(|s| !s.answered) {
                        self.call_off(id);
                    } else {
                        self.give_up(id, Outcome::Cancelled);
                    }
                }
            }
            Action::Refuse { job, backoff } => self.answer(job.0, Answer::Refused(backoff)),
            Action::Fail { job } => self.answer(job.0, Answer::Failed),
            Action::Timer { after, token } => self.fleets[f].timers.push(Reverse((now + after, token))),
            Action::Watch => {
                self.start.called();
                self.operation.figures.start(&self.start, None);
                self.fleets[f].dialer.iter().for_each(|d| d.watch());
            }
            Action::Probe(worker) => self.errand(f, worker, Ask::Probe, Some(Need::Errand), None),
            Action::Close(worker) => {
                if let Some(host) = self.fleets[f].hosts.get_mut(&worker) {
                    host.pool.clear();
                }
            }
            Action::Log { text, worker } => {
                let uid = self.fleets[f].hosts.get(&worker).map_or("?", |h| &h.uid);
                tracing::warn!("upstream host {uid}: {text}");
            }
        }
    }

    fn send(&mut self, f: FleetId, now: Micros, job: StreamId, worker: WorkerId, max_wait: Micros) {
        let Some(stream) = self.streams.get_mut(&job) else { return };
        let round = stream.rounds;
        stream.rounds += 1;
        let deadline = if max_wait > 0 { stream.deadline.min(now + max_wait) } else { stream.deadline };
        let barred = stream.answered
            || stream.out.is_some()
            || deadline <= now
            || round.max(stream.ran) >= self.fleets[f].set.limits.send_cap;
        let payload = stream.payload.clone();
        let up = Upstream { stream: job, round, ..Upstream::new(f, worker) };
        let id = self.next_upstream;
        let need = match self.fleets[f].set.classes[stream.class.0 as usize].effect {
            Effect::Safe => Need::Repeatable,
            _ => Need::Once,
        };
        if barred || !self.launch(up, Ask::Run(payload), deadline, Some(need)) {
            let last = self.streams[&job].answered;
            let (job, outcome, gauge) = (JobId(job), Outcome::Moot, Gauge::default());
            self.fleets[f].events.push(Event::Verdict { job, round, outcome, last, gauge });
            return;
        }
        let endpoint = self.fleets[f].hosts.get(&worker).and_then(|h| h.endpoint);
        self.streams.entry(job).and_modify(|s| (s.out, s.host) = (Some(id), endpoint));
        self.due.push(Reverse((deadline, Due::Attempt(id))));
    }

    /// Closes connections well before their hosts would.
    fn sweep(&mut self, now: Micros) {
        if now - self.swept < 500_000 {
            return;
        }
        self.swept = now;
        for fleet in &mut self.fleets {
            let since = now - told_idle(&fleet.set);
            let trusted = fleet.trust.since(now, Need::Repeatable);
            for host in fleet.hosts.values_mut() {
                host.pool.expire(since);
                host.pool.thin(trusted);
            }
        }
    }
}

/// How long a connection may idle by what is told, with a margin.
fn told_idle(set: &Settings) -> Micros {
    set.limits.conn_idle * 2 / 3
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;
    use std::sync::Mutex;

    struct One(Mutex<Option<NewStream>>);

    impl Feed for One {
        fn next(&self, _: Micros) -> Option<NewStream> {
            self.0.lock().expect("not poisoned").take()
        }
        fn due(&self) -> Option<Micros> {
            None
        }
        fn part(&self) {}
    }

    struct Nobody;

    impl Downstream for Nobody {
        fn answer(&self, _: Answer, _: u32) {}
    }

    /// Guards against a process that ends: a feed released a job of a function that had just been made, while the
    /// news of its fleet was still in the queue.
    #[rstest]
    fn a_feed_may_be_ahead_of_the_news_of_a_fleet() {
        let options = r#"{"fleetSize":1,"lanes":[{"name":"look","promiseS":0.2,"giveUpS":5,"effect":"safe"}],"tickS":0.005}"#;
        let options: roselock::settings::Options = serde_json::from_str(options).expect("options");
        let set = options.site().expect("settings").settings;
        let (inbox, outlet) = Inbox::new();
        let mut core = Core::new(inbox.clone(), outlet, None, Operation::new(vec!["look".into()]));
        assert_eq!(core.add_fleet(set.clone(), 7, None), Ok(0));
        let (id, deadline) = (inbox.stream_id(), clock::now() + 5_000_000);
        core.add_feed(Box::new(One(Mutex::new(Some(NewStream {
            id,
            fleet: 1,
            class: ClassId(0),
            tenant: None,
            key: None,
            slots: 1.0,
            memory: 0.0,
            hint: None,
            deadline,
            ran: 0,
            peer: ([127, 0, 0, 1], 1).into(),
            payload: Arc::new(Payload { given: Some("c1".into()), ..Payload::default() }),
            downstream: Box::new(Nobody),
        })))));
        inbox.post(Input::Fleet(1, Box::new(set), 7));
        core.draw(clock::now());
        assert_eq!((core.fleets.len(), core.streams.len(), core.fleets[1].events.len()), (2, 1, 1));
    }
}
