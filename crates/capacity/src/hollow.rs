//! A hollow dispatcher: the decision module with its timers, its clients and its workers in simulated time.

use crate::error::CapacityError;
use crate::meter::{Spent, measure};
use crate::site::Site;
use crate::{Micros, SECOND};
use oorandom::Rand64;
use roselock::{Action, Dispatcher, Event, Gauge, JobId, Note, Outcome, WorkerId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A word takes so long between a dispatcher and a worker or the list service.
const WAY: Micros = SECOND / 1000;
/// Between two words of a worker about a task that runs.
const PROGRESS: Micros = SECOND;

/// The clients' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests a second, at times drawn anew.
    pub per_second: f64,
    /// How long each task runs.
    pub run: Micros,
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
    Started(u32, u32),
    Progress(u32, u32),
    Ended(u32, u32),
    Cancelled(u32, u32),
}

/// An attempt that is out.
struct Attempt {
    worker: WorkerId,
    ends: Micros,
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
    rounds: BTreeMap<u32, u32>,
    out: BTreeMap<(u32, u32), Attempt>,
    running: BTreeMap<WorkerId, u32>,
    counts: Counts,
}

impl Hollow {
    /// One that has just started and knows no worker.
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
            rounds: BTreeMap::new(),
            out: BTreeMap::new(),
            running: BTreeMap::new(),
            counts: Counts::default(),
        })
    }

    /// One that has called the list service and has its list.
    pub fn listed(site: Site, seed: u64) -> Result<Hollow, CapacityError> {
        let mut hollow = Hollow::new(site, seed)?;
        hollow.give(&[])?;
        hollow.pass(hollow.site.settings().safety.ask_within)?;
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

    /// Gives events to the module now; what that took.
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
            Due::Alarm(token) => Some(Event::Alarm(token)),
            Due::Listed => Some(self.site.whole_list(self.now)),
            Due::Request => self.request(),
            Due::Started(job, round) => self.started(job, round),
            Due::Progress(job, round) => self.progress(job, round),
            Due::Ended(job, round) => {
                self.counts.served += 1;
                self.end(job, round, Outcome::Ok)
            }
            Due::Cancelled(job, round) => self.end(job, round, Outcome::Cancelled),
        }
    }

    fn request(&mut self) -> Option<Event> {
        let load = self.load?;
        let wait = -(1.0 - self.random.rand_float()).ln() / load.per_second;
        self.put(self.now + (wait * SECOND as f64) as Micros, Due::Request);
        self.next_job += 1;
        self.counts.requests += 1;
        let draw = self.random.rand_range(0..u64::from(u32::MAX)) as u32;
        Some(Event::Job(self.site.job(self.next_job, draw)))
    }

    fn started(&mut self, job: u32, round: u32) -> Option<Event> {
        let attempt = self.out.get(&(job, round))?;
        let ends = attempt.ends;
        self.put(ends, Due::Ended(job, round));
        self.put(self.now + PROGRESS, Due::Progress(job, round));
        Some(Event::Notice { job: JobId(job), round, note: Note::Started })
    }

    fn progress(&mut self, job: u32, round: u32) -> Option<Event> {
        self.out.get(&(job, round)).filter(|attempt| attempt.ends > self.now)?;
        self.put(self.now + PROGRESS, Due::Progress(job, round));
        Some(Event::Notice { job: JobId(job), round, note: Note::Progress(0.5) })
    }

    fn end(&mut self, job: u32, round: u32, outcome: Outcome) -> Option<Event> {
        let attempt = self.out.remove(&(job, round))?;
        let running = self.running.entry(attempt.worker).or_default();
        *running = running.saturating_sub(1);
        let free = self.site.accelerators.saturating_sub(*running);
        let gauge = Gauge { free_slots: Some(f64::from(free)), delayed: true, ..Gauge::default() };
        let last = outcome == Outcome::Ok;
        if last {
            self.rounds.remove(&job);
        }
        Some(Event::Verdict { job: JobId(job), round, outcome, last, gauge })
    }

    fn perform(&mut self, action: &Action) {
        match action {
            Action::Timer { after, token } => {
                self.counts.timers += 1;
                self.put(self.now + (*after).max(1), Due::Alarm(*token));
            }
            Action::Watch => {
                self.counts.watches += 1;
                self.put(self.now + WAY, Due::Listed);
            }
            Action::Send { job, worker, .. } => self.send(job.0, *worker),
            Action::Cancel { job, round } => self.put(self.now + 2 * WAY, Due::Cancelled(job.0, *round)),
            Action::Refuse { job, .. } | Action::Fail { job } => {
                self.counts.turned_away += 1;
                self.rounds.remove(&job.0);
            }
            Action::Probe(_) | Action::Close(_) | Action::Log { .. } => {}
        }
    }

    fn send(&mut self, job: u32, worker: WorkerId) {
        self.counts.sends += 1;
        let next = self.rounds.entry(job).or_default();
        let round = *next;
        *next += 1;
        let starts = self.now + WAY;
        let run = self.load.map_or(SECOND, |load| load.run);
        self.out.insert((job, round), Attempt { worker, ends: starts + run });
        *self.running.entry(worker).or_default() += 1;
        self.put(starts, Due::Started(job, round));
    }
}
