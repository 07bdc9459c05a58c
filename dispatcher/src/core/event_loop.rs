//! The owner of the decisions: one thread that takes inputs from the queue, steps the decision module, and
//! posts what it decides. Only here does an upstream request end: with one verdict for each send.

mod administration;
mod attempts;
mod control_requests;
mod dial_queue;
mod hosts;
mod steps;
mod streams;

use super::clock;
use super::pool::{Need, Pool, SETTLE, Trust};
use super::*;
use roselock::settings::fnv;
use roselock::{
    Action, AttemptUpdate, ClassId, Dispatcher, Endpoint, EndpointState, Event, Idempotency, JobId,
    JobRequest, ListMode, LoadReport, Micros, Outcome, Settings, WorkerId,
};
use roselock_dial_limiter::{DialLimiter, DialLimits};
use roselock_discovery_client::startup_stage::StartupProgress;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};

pub use administration::AdminState;
use control_requests::UnsentWithdrawal;

/// After the deadline, a stream that the decisions have not answered is answered here.
const BACKSTOP: Micros = 5_000;
/// A process that is told to stop ends once no stream has come for so long.
const QUIET: Micros = 400_000;
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
    link: Option<Arc<dyn UpstreamConnection>>,
    entry: Endpoint,
    /// When it may be dialled, attempts that wait for a connection to it, and whether one is opened ahead for them.
    dial_limiter: DialLimiter,
    dial_queue: VecDeque<UpstreamRequest>,
    preconnecting: bool,
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
    /// Limits of new connections to its hosts; none: they are dialled at once.
    dial_limits: Option<DialLimits>,
    /// When a new connection was last rejected.
    closed: Option<Micros>,
    /// Its list was fit to act on at the latest step.
    list_holds: bool,
}

/// The client's side of a stream whose client has left.
struct Gone;

impl Downstream for Gone {
    fn answer(&self, _: Answer, _: u32) {}
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
    /// The window in which its class may be repeated, as it was when it came, if it has one.
    window: Option<Micros>,
    /// From when on it may not begin again: the first attempt that may have run left that long before.
    begin_by: Micros,
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
    /// When it was sent.
    sent: Micros,
    link: Option<Arc<dyn UpstreamConnection>>,
    /// How long its connection had idled, if it is a kept one.
    idle: Option<Micros>,
    /// What it asks for, if it is no attempt.
    control: Option<RequestKind>,
    /// The host has said that it has it.
    taken: bool,
    /// Its verdict is given, or none is owed.
    ended: bool,
    /// It is called off while its stream lives on.
    quit: bool,
    /// The attempt that this withdraws.
    withdraws: Option<UpstreamId>,
    /// It waits in its host's dial queue: nothing of it has left.
    waits: bool,
}

impl Upstream {
    fn new(fleet: FleetId, host: WorkerId) -> Upstream {
        Upstream {
            fleet,
            stream: 0,
            host,
            round: 0,
            sent: 0,
            link: None,
            idle: None,
            control: None,
            taken: false,
            ended: false,
            quit: false,
            withdraws: None,
            waits: false,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Attempt(UpstreamId),
    /// It has waited in its host's dial queue for long enough.
    DialQueue(UpstreamId),
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
    /// Attempts given up before their host had said that it has them, until their connections say what became of them.
    abandoned: HashMap<UpstreamId, (FleetId, WorkerId, Arc<Payload>)>,
    /// Withdrawals that have not arrived, the next one due first.
    unsent: VecDeque<UnsentWithdrawal>,
    /// Hosts whose dial queue is not empty.
    dial_queues: BTreeSet<(FleetId, WorkerId)>,
    /// Where the latest draw came from.
    drawn: u64,
    actions: Vec<Action>,
    swept: Micros,
    arrived: Micros,
    flows: Option<Box<dyn FlowSink>>,
    job_sources: Vec<Box<dyn JobSource>>,
    /// The fleet that steps first: they take turns.
    turn: usize,
    /// The figures and the workers out by hand; the change of those last told, the workers out, and when the
    /// figures of the list were last set.
    admin: AdminState,
    /// Where call-backs of streams that are not here go, where another process may have them.
    relay: Option<Box<dyn CallbackRelay>>,
    suspensions_seen: u64,
    told: BTreeSet<WorkerId>,
    published: Micros,
    /// The lists of all fleets have been fit to act on.
    list_was_usable: bool,
    /// How far the start has come.
    start: StartupProgress,
}

impl Core {
    /// A core without fleets.
    pub fn new(
        inbox: Inbox,
        outlet: Receiver<Input>,
        flows: Option<Box<dyn FlowSink>>,
        operation: AdminState,
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
            abandoned: HashMap::new(),
            next_upstream: 0,
            due: BinaryHeap::new(),
            unsent: VecDeque::new(),
            dial_queues: BTreeSet::new(),
            drawn: now as u64,
            actions: Vec::new(),
            swept: now,
            arrived: now,
            flows,
            job_sources: Vec::new(),
            turn: 0,
            admin: operation,
            relay: None,
            suspensions_seen: 0,
            told: Default::default(),
            published: 0,
            list_was_usable: false,
            start: StartupProgress::new(now, false),
        }
    }

    /// Takes the list that the process came up with, as of before its start.
    pub fn seed_known_hosts(&mut self, fleet: FleetId, hosts: Vec<ListedHost>) {
        self.start = StartupProgress::new(clock::now(), !hosts.is_empty());
        self.admin.metrics.start(&self.start, None);
        self.list(fleet, ListMode::Cached, hosts);
    }

    /// Passes call-backs of streams that are not here to the other process of an upgrade.
    pub fn set_relay(&mut self, relay: Box<dyn CallbackRelay>) {
        self.relay = Some(relay);
    }

    /// Adds streams that wait elsewhere.
    pub fn add_job_source(&mut self, feed: Box<dyn JobSource>) {
        self.job_sources.push(feed);
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
            dial_limits: None,
            closed: None,
            list_holds: false,
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
            self.send_unsent_withdrawals(now);
            self.serve_dial_queues(now);
            self.draw(now);
            // Fleets may share hosts: none has the first word on those that become free each time.
            self.apply_suspensions();
            self.turn = (self.turn + 1) % self.fleets.len();
            (self.turn..self.fleets.len()).chain(0..self.turn).for_each(|f| self.step(f, now));
            self.sweep(now);
            self.publish(now);
            let closing = self.inbox.is_closing_connections();
            if closing {
                self.job_sources.iter().for_each(|f| f.shut_down());
            }
            // From the last moment on those who still come are refused at once.
            let late = self.inbox.shutdown_deadlines().is_some_and(|deadlines| deadlines.is_drain_over(now));
            if closing
                && self.streams.values().all(|s| s.answered)
                && self.inbox.pending_responses() == 0
                && (late || now - self.arrived >= QUIET)
                && self.inbox.stop_accepting()
            {
                return;
            }
        }
    }

    /// When there is something to do even without news.
    fn wake_at(&self) -> Micros {
        let idle = clock::now() + if self.inbox.shutdown_requested_at().is_some() { 20_000 } else { 250_000 };
        let due = self.due.peek().map(|Reverse((at, _))| *at);
        let steps = self.fleets.iter().filter_map(|f| {
            let ready = f.stepped + f.set.tick;
            if f.events.is_empty() { f.timers.peek().map(|t| t.0.0.max(ready)) } else { Some(ready) }
        });
        let unsent = self.unsent.front().map(|u| u.due);
        let feeds = self.job_sources.iter().filter_map(|f| f.next_due());
        let dials = self.dial_queues.iter().filter_map(|queue| self.next_dial_at(*queue));
        steps.chain(feeds).chain(due).chain(unsent).chain(dials).fold(idle, Micros::min)
    }

    /// Takes in what the feeds have.
    fn draw(&mut self, now: Micros) {
        for f in 0..self.job_sources.len() {
            for _ in 0..BATCH {
                let Some(new) = self.job_sources[f].next(now) else { break };
                self.arrive(new);
            }
        }
    }

    /// Takes in one input.
    pub fn handle(&mut self, input: Input) {
        match input {
            Input::StreamArrived(new) => {
                self.inbox.accepted();
                self.arrive(*new);
            }
            Input::ClientDisconnected(id) => {
                let Some(stream) = self.streams.get_mut(&id).filter(|s| !s.answered) else { return };
                stream.answered = true;
                // Its connection need not stay open for as long as an attempt may be out.
                stream.downstream = Box::new(Gone);
                let fleet = stream.fleet;
                self.hold_back(id);
                self.admin.metrics.client_disconnected();
                self.record(id, StreamOutcome::ClientDisconnected, 0);
                self.fleets[fleet].events.push(Event::ClientDisconnected(JobId(id)));
                self.forget(id);
            }
            Input::Upstream { id, event: heard, connection: link } => self.heard(id, heard, link),
            Input::Callback { id: call, from, event: told, report: gauge, body } => {
                if !self.calls.contains_key(&call)
                    && let (Some(relay), Some(body)) = (&self.relay, body)
                {
                    return relay.forward(body);
                }
                self.called_back(&call, &from, told, gauge);
            }
            Input::Hosts { fleet, mode, hosts } => {
                self.confirmed(fleet);
                self.list(fleet, mode, hosts);
            }
            Input::Capacity { fleet, worker, free_slots: free } => {
                let gauge = LoadReport { free_slots: Some(free), ..LoadReport::default() };
                self.fleets[fleet].events.push(Event::HealthCheckEnded { worker, ok: true, report: gauge });
            }
            Input::FleetAdded { fleet, settings: set, seed } => {
                assert_eq!(fleet, self.fleets.len(), "fleets come in the order of their numbers");
                self.add_fleet(*set, seed, None).expect("checked by whoever made it");
            }
            Input::Feed => {}
            Input::WatchEnded { fleet, end } => {
                self.start.record_watch_end();
                self.admin.metrics.start(&self.start, None);
                self.fleets[fleet].events.push(Event::WatchEnded(end));
            }
            Input::DialLimitsChanged { fleet, limits } => {
                // Whether there are limits is settled at the start.
                self.fleets[fleet].dial_limits.iter_mut().for_each(|present| *present = limits);
            }
            Input::DiscoveryMoved { fleet, at } => self.fleets[fleet].events.push(Event::DiscoveryMoved(at)),
            Input::SettingsChanged { fleet, settings: set } => {
                let fleet = &mut self.fleets[fleet];
                match fleet.dispatcher.update_settings(&set) {
                    Ok(()) => {
                        fleet.trust.retell(told_idle(&set));
                        fleet.set = *set;
                    }
                    Err(why) => tracing::warn!("the old settings are kept: {why}"),
                }
            }
            // Known from the inbox: this wakes the owner.
            Input::ShutdownRequested => {}
        }
    }
}

/// The longest deadline of any class.
pub fn max_client_timeout(set: &Settings) -> Micros {
    set.classes.iter().map(|c| c.client_timeout).max().unwrap_or(0)
}

/// How long a connection may idle by what is told, with a margin.
fn told_idle(set: &Settings) -> Micros {
    set.limits.idle_timeout * 2 / 3
}

#[cfg(test)]
#[path = "event_loop_tests.rs"]
mod tests;
