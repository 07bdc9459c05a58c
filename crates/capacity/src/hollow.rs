//! A hollow dispatcher: the decision module with its timers, its clients and its workers in simulated time.

use crate::error::CapacityError;
use crate::meter::{Spent, measure};
use crate::site::Site;
use crate::{Micros, SECOND};
use oorandom::Rand64;
use roselock::{Action, AttemptUpdate, Dispatcher, Event, JobId, LoadReport, Outcome, WorkerId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// A word takes so long between a dispatcher and a worker or the list service.
const WAY: Micros = SECOND / 1000;
/// Tasks that wait at a worker at most, for each of its accelerators.
const QUEUE: usize = 6;
/// Between two words of a worker about a task that runs.
const PROGRESS: Micros = SECOND;

/// The clients' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests a second, at times drawn anew.
    pub per_second: f64,
    /// How long each task runs.
    pub run: Micros,
    /// Share of the requests that are urgent, at a site that knows such.
    pub urgent: f64,
}

impl Load {
    /// One without urgent requests.
    pub const fn plain(per_second: f64, run: Micros) -> Load {
        Load { per_second, run, urgent: 0.0 }
    }
}

/// What a hollow dispatcher has done.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Steps of the module.
    pub steps: u64,
    /// Events given to it.
    pub events: u64,
    /// Actions it has said.
    pub actions: u64,
    /// Timers among them.
    pub timers: u64,
    /// Calls to the list service.
    pub watches: u64,
    /// Requests that came.
    pub requests: u64,
    /// Attempts sent.
    pub sends: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests refused or failed.
    pub turned_away: u64,
    /// What the steps took.
    pub spent: Spent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Alarm(u64),
    Listed,
    Request,
    /// Comes to its worker.
    Arrived(Id),
    Started(Id),
    Progress(Id),
    Ended(Id),
    Cancelled(Id),
}

/// A request's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Id {
    job: u32,
    round: u32,
}

/// An attempt that is out.
struct Attempt {
    worker: WorkerId,
    running: bool,
}

/// A request that was not answered yet.
struct Request {
    arrived: Micros,
    urgent: bool,
    started: bool,
    rounds: u32,
}

/// A worker that one dispatcher has to itself.
#[derive(Default)]
struct Worker {
    running: u32,
    waiting: VecDeque<Id>,
}

/// The module, its clock and what surrounds it.
pub struct Hollow {
    site: Site,
    dispatcher: Dispatcher,
    tick: Micros,
    now: Micros,
    stepped: Option<Micros>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    made: u64,
    random: Rand64,
    load: Option<Load>,
    next_job: u32,
    requests: BTreeMap<u32, Request>,
    out: BTreeMap<Id, Attempt>,
    workers: BTreeMap<WorkerId, Worker>,
    urgent_waits: Vec<Option<Micros>>,
    counts: Counts,
}

impl Hollow {
    /// A dispatcher that has just started and knows no worker.
    ///
    /// # Errors
    /// [`CapacityError::Settings`] if the site makes no valid settings.
    pub fn new(site: Site, seed: u64) -> Result<Hollow, CapacityError> {
        let settings = site.settings();
        let tick = settings.tick;
        Ok(Hollow {
            site,
            dispatcher: Dispatcher::new(settings, seed)?,
            tick,
            now: SECOND,
            stepped: None,
            due: BinaryHeap::new(),
            made: 0,
            random: Rand64::new(u128::from(seed)),
            load: None,
            next_job: 0,
            requests: BTreeMap::new(),
            out: BTreeMap::new(),
            workers: BTreeMap::new(),
            urgent_waits: Vec::new(),
            counts: Counts::default(),
        })
    }

    /// A dispatcher that has polled discovery and has its endpoint list.
    ///
    /// # Errors
    /// As [`Hollow::new`] and [`Hollow::give`]; [`CapacityError::NotReached`] if it did not poll in time.
    pub fn listed(site: Site, seed: u64) -> Result<Hollow, CapacityError> {
        let mut hollow = Hollow::new(site, seed)?;
        hollow.give(&[])?;
        hollow.pass(hollow.site.settings().safety.poll_interval)?;
        if hollow.counts.watches == 0 {
            return Err(CapacityError::NotReached { state: "a call to the list service", by: hollow.now });
        }
        Ok(hollow)
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// What was done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Attempts that are out.
    pub fn attempts_out(&self) -> usize {
        self.out.len()
    }

    /// How long urgent requests waited for their first start; none: turned away before.
    pub fn urgent_waits(&self) -> &[Option<Micros>] {
        &self.urgent_waits
    }

    /// The module.
    pub fn dispatcher(&mut self) -> &mut Dispatcher {
        &mut self.dispatcher
    }

    /// Requests come from now on.
    pub fn set_load(&mut self, load: Load) {
        if self.load.replace(load).is_none() {
            self.put(self.now, Due::Request);
        }
    }

    /// No further requests come.
    pub fn end_load(&mut self) {
        self.load = None;
    }

    /// Passes events to the decision module now; returns what that took.
    ///
    /// # Errors
    /// [`CapacityError::Clock`] if the processor time cannot be read.
    pub fn give(&mut self, events: &[Event]) -> Result<Spent, CapacityError> {
        let mut actions = Vec::new();
        let (now, dispatcher) = (self.now, &mut self.dispatcher);
        let ((), mut spent) = measure(|| dispatcher.step(now, events, &mut actions))?;
        // The room of the actions is given back here.
        spent.bytes_kept -= (actions.capacity() * size_of::<Action>()) as i64;
        self.stepped = Some(now);
        self.counts.steps += 1;
        self.counts.events += events.len() as u64;
        self.counts.actions += actions.len() as u64;
        self.counts.spent += spent;
        for action in actions {
            self.perform(&action);
        }
        Ok(spent)
    }

    /// Lets time pass.
    ///
    /// # Errors
    /// As [`Hollow::give`].
    pub fn pass(&mut self, span: Micros) -> Result<(), CapacityError> {
        let end = self.now + span;
        while let Some(at) = self.next_step().filter(|at| *at <= end) {
            self.now = at;
            let mut events = Vec::new();
            while let Some(Reverse((_, _, due))) = self.due.peek().copied().filter(|d| d.0.0 <= at) {
                self.due.pop();
                events.extend(self.happen(due));
            }
            if !events.is_empty() {
                self.give(&events)?;
            }
        }
        self.now = end;
        Ok(())
    }

    /// The module steps when something is due, at most once a tick.
    fn next_step(&self) -> Option<Micros> {
        let due = self.due.peek()?.0.0;
        Some(self.stepped.map_or(due, |stepped| due.max(stepped + self.tick)).max(self.now))
    }

    fn put(&mut self, at: Micros, due: Due) {
        self.made += 1;
        self.due.push(Reverse((at, self.made, due)));
    }

    fn happen(&mut self, due: Due) -> Option<Event> {
        match due {
            Due::Alarm(token) => Some(Event::TimerFired(token)),
            Due::Listed => Some(self.site.whole_list(self.now)),
            Due::Request => self.request(),
            Due::Arrived(id) => self.arrived(id),
            Due::Started(id) => self.started(id),
            Due::Progress(id) => self.progress(id),
            Due::Ended(id) => self.end(id, Outcome::Ok),
            Due::Cancelled(id) => self.end(id, Outcome::Cancelled),
        }
    }

    fn request(&mut self) -> Option<Event> {
        let load = self.load?;
        let wait = -(1.0 - self.random.rand_float()).ln() / load.per_second;
        self.put(self.now + (wait * SECOND as f64) as Micros, Due::Request);
        self.next_job += 1;
        self.counts.requests += 1;
        let draw = self.random.rand_range(0..u64::from(u32::MAX)) as u32;
        let urgent = load.urgent > 0.0 && self.random.rand_float() < load.urgent;
        let request = Request { arrived: self.now, urgent, started: false, rounds: 0 };
        self.requests.insert(self.next_job, request);
        Some(Event::JobArrived(self.site.job(self.next_job, draw, urgent)))
    }

    /// It starts at once, waits, or is turned away.
    fn arrived(&mut self, id: Id) -> Option<Event> {
        let worker = self.workers.entry(self.out.get(&id)?.worker).or_default();
        if worker.running < self.site.accelerators {
            worker.running += 1;
            return self.started(id);
        }
        if worker.waiting.len() >= QUEUE * self.site.accelerators as usize {
            return self.end(id, Outcome::Rejected);
        }
        worker.waiting.push_back(id);
        None
    }

    fn started(&mut self, id: Id) -> Option<Event> {
        let attempt = self.out.get_mut(&id)?;
        attempt.running = true;
        let run = self.load.map_or(SECOND, |load| load.run);
        self.put(self.now + run, Due::Ended(id));
        self.put(self.now + PROGRESS, Due::Progress(id));
        let request = self.requests.get_mut(&id.job)?;
        if request.urgent && !request.started {
            self.urgent_waits.push(Some(self.now - request.arrived));
        }
        request.started = true;
        Some(Event::AttemptProgress { job: JobId(id.job), attempt: id.round, update: AttemptUpdate::Started })
    }

    fn progress(&mut self, id: Id) -> Option<Event> {
        self.out.get(&id)?;
        self.put(self.now + PROGRESS, Due::Progress(id));
        Some(Event::AttemptProgress {
            job: JobId(id.job),
            attempt: id.round,
            update: AttemptUpdate::Progress(0.5),
        })
    }

    /// An attempt ends, and what waits at its worker starts.
    fn end(&mut self, id: Id, outcome: Outcome) -> Option<Event> {
        let attempt = self.out.remove(&id)?;
        let worker = self.workers.entry(attempt.worker).or_default();
        // As on the platform a report is older than the word that it comes with: what ended still runs in it.
        let free = self.site.accelerators.saturating_sub(worker.running);
        worker.waiting.retain(|waiting| *waiting != id);
        if attempt.running {
            worker.running -= 1;
        }
        let next = if attempt.running { worker.waiting.pop_front() } else { None };
        if let Some(next) = next {
            worker.running += 1;
            self.out.entry(next).and_modify(|attempt| attempt.running = true);
            self.put(self.now, Due::Started(next));
        }
        let last = outcome == Outcome::Ok;
        if last {
            self.counts.served += 1;
            self.requests.remove(&id.job);
        }
        let gauge = LoadReport { free_slots: Some(f64::from(free)), delayed: true, ..LoadReport::default() };
        Some(Event::AttemptEnded {
            job: JobId(id.job),
            attempt: id.round,
            outcome,
            concluded: last,
            report: gauge,
        })
    }

    fn perform(&mut self, action: &Action) {
        match action {
            Action::Timer { delay, token } => {
                self.counts.timers += 1;
                self.put(self.now + (*delay).max(1), Due::Alarm(*token));
            }
            Action::WatchEndpoints => {
                self.counts.watches += 1;
                self.put(self.now + WAY, Due::Listed);
            }
            Action::Send { job, worker, .. } => self.send(job.0, *worker),
            Action::Cancel { job, attempt } => {
                let id = Id { job: job.0, round: *attempt };
                self.put(self.now + 2 * WAY, Due::Cancelled(id));
            }
            Action::Reject { job, .. } | Action::Fail { job } => self.turn_away(job.0),
            Action::HealthCheck(_) | Action::CloseIdleConnections(_) | Action::Log { .. } => {}
        }
    }

    fn turn_away(&mut self, job: u32) {
        self.counts.turned_away += 1;
        let request = self.requests.remove(&job);
        if request.is_some_and(|request| request.urgent && !request.started) {
            self.urgent_waits.push(None);
        }
    }

    fn send(&mut self, job: u32, worker: WorkerId) {
        self.counts.sends += 1;
        let Some(request) = self.requests.get_mut(&job) else { return };
        let id = Id { job, round: request.rounds };
        request.rounds += 1;
        self.out.insert(id, Attempt { worker, running: false });
        self.put(self.now + WAY, Due::Arrived(id));
    }
}
