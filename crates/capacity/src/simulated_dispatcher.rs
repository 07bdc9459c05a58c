//! Simulates a dispatcher: the decision logic with its timers, clients and workers in simulated time.

use crate::error::CapacityError;
use crate::meter::{ResourceUsage, measure};
use crate::site::Site;
use crate::{Micros, SECOND};
use oorandom::Rand64;
use roselock::{Action, AttemptUpdate, Dispatcher, Event, JobId, LoadReport, Outcome, WorkerId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// The delay of a message between a dispatcher and a worker or the discovery service.
const NETWORK_DELAY: Micros = SECOND / 1000;
/// The longest queue of a worker, in tasks per accelerator.
const QUEUE_PER_ACCELERATOR: usize = 6;
/// The interval between two progress reports of a running task.
const PROGRESS_INTERVAL: Micros = SECOND;

/// The request load of the clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Mean requests per second; the arrivals are a Poisson process.
    pub per_second: f64,
    /// How long each task runs.
    pub task_duration: Micros,
    /// The fraction of urgent requests, at a site with that class.
    pub urgent_fraction: f64,
}

impl Load {
    /// A load without urgent requests.
    pub const fn without_urgent(per_second: f64, task_duration: Micros) -> Load {
        Load { per_second, task_duration, urgent_fraction: 0.0 }
    }
}

/// Counters of a simulated dispatcher since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Steps of the decision logic.
    pub steps: u64,
    /// Events passed to the decision logic.
    pub events: u64,
    /// Actions that the decision logic returned.
    pub actions: u64,
    /// Timers that the actions set.
    pub timers: u64,
    /// Requests to the discovery service.
    pub watch_requests: u64,
    /// Requests that arrived from clients.
    pub requests: u64,
    /// Attempts sent.
    pub sends: u64,
    /// Requests that completed.
    pub served: u64,
    /// Requests that were rejected or failed.
    pub rejected: u64,
    /// Resources used by the steps.
    pub usage: ResourceUsage,
}

impl std::ops::Sub for Counts {
    type Output = Counts;

    fn sub(self, earlier: Counts) -> Counts {
        Counts {
            steps: self.steps - earlier.steps,
            events: self.events - earlier.events,
            actions: self.actions - earlier.actions,
            timers: self.timers - earlier.timers,
            watch_requests: self.watch_requests - earlier.watch_requests,
            requests: self.requests - earlier.requests,
            sends: self.sends - earlier.sends,
            served: self.served - earlier.served,
            rejected: self.rejected - earlier.rejected,
            usage: self.usage - earlier.usage,
        }
    }
}

/// An event at a point in simulated time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Timer(u64),
    EndpointList,
    Request,
    /// An attempt arrives at its worker.
    Arrived(AttemptId),
    Started(AttemptId),
    Progress(AttemptId),
    Ended(AttemptId),
    Cancelled(AttemptId),
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    job: u32,
    attempt: u32,
}

/// An attempt in flight.
struct Attempt {
    worker: WorkerId,
    running: bool,
}

/// A request in flight.
struct Request {
    arrived_at: Micros,
    urgent: bool,
    started: bool,
    attempts: u32,
}

/// A worker that serves only this dispatcher.
#[derive(Default)]
struct Worker {
    running: u32,
    waiting: VecDeque<AttemptId>,
}

/// The decision logic with its clock, clients, workers and discovery service.
pub struct SimulatedDispatcher {
    site: Site,
    dispatcher: Dispatcher,
    tick: Micros,
    now: Micros,
    last_step_at: Option<Micros>,
    queue: BinaryHeap<Reverse<(Micros, u64, ScheduledEvent)>>,
    scheduled_count: u64,
    random: Rand64,
    load: Option<Load>,
    next_job: u32,
    requests: BTreeMap<u32, Request>,
    in_flight: BTreeMap<AttemptId, Attempt>,
    workers: BTreeMap<WorkerId, Worker>,
    urgent_waits: Vec<Option<Micros>>,
    counts: Counts,
}

impl SimulatedDispatcher {
    /// A dispatcher that has just started and knows no worker.
    ///
    /// # Errors
    /// [`CapacityError::Settings`] if the settings of the site are invalid.
    pub fn new(site: Site, seed: u64) -> Result<SimulatedDispatcher, CapacityError> {
        let settings = site.settings();
        let tick = settings.tick;
        Ok(SimulatedDispatcher {
            site,
            dispatcher: Dispatcher::new(settings, seed)?,
            tick,
            now: SECOND,
            last_step_at: None,
            queue: BinaryHeap::new(),
            scheduled_count: 0,
            random: Rand64::new(u128::from(seed)),
            load: None,
            next_job: 0,
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            workers: BTreeMap::new(),
            urgent_waits: Vec::new(),
            counts: Counts::default(),
        })
    }

    /// A dispatcher that has polled the discovery service and received its endpoint list.
    ///
    /// # Errors
    /// As [`SimulatedDispatcher::new`] and [`SimulatedDispatcher::step`]; [`CapacityError::StateNotReached`] if it did not poll in
    /// time.
    pub fn with_endpoint_list(site: Site, seed: u64) -> Result<SimulatedDispatcher, CapacityError> {
        let mut simulated = SimulatedDispatcher::new(site, seed)?;
        simulated.step(&[])?;
        simulated.advance(simulated.site.settings().safety.poll_interval)?;
        if simulated.counts.watch_requests == 0 {
            return Err(CapacityError::StateNotReached { state: "a discovery poll", at: simulated.now });
        }
        Ok(simulated)
    }

    /// The simulated time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// The time from the arrival of each urgent request to its first start; none if it was rejected before.
    pub fn urgent_waits(&self) -> &[Option<Micros>] {
        &self.urgent_waits
    }

    /// The decision logic.
    pub fn dispatcher(&mut self) -> &mut Dispatcher {
        &mut self.dispatcher
    }

    /// Starts or replaces the load.
    pub fn start_load(&mut self, load: Load) {
        if self.load.replace(load).is_none() {
            self.schedule(self.now, ScheduledEvent::Request);
        }
    }

    /// Stops the arrival of requests.
    pub fn end_load(&mut self) {
        self.load = None;
    }

    /// Passes events to the decision logic at the current time; returns the resources used.
    ///
    /// # Errors
    /// [`CapacityError::ProcessorTime`] if the processor time cannot be read.
    pub fn step(&mut self, events: &[Event]) -> Result<ResourceUsage, CapacityError> {
        let mut actions = Vec::new();
        let now = self.now;
        let dispatcher = &mut self.dispatcher;
        let ((), mut usage) = measure(|| dispatcher.step(now, events, &mut actions))?;
        // The vector of the actions is dropped in this function, so its memory is not retained.
        usage.bytes_retained -= (actions.capacity() * size_of::<Action>()) as i64;
        self.last_step_at = Some(now);
        self.counts.steps += 1;
        self.counts.events += events.len() as u64;
        self.counts.actions += actions.len() as u64;
        self.counts.usage += usage;
        for action in actions {
            self.perform(&action);
        }
        Ok(usage)
    }

    /// Advances the simulated time by a duration.
    ///
    /// # Errors
    /// As [`SimulatedDispatcher::step`].
    pub fn advance(&mut self, duration: Micros) -> Result<(), CapacityError> {
        let end = self.now + duration;
        while let Some(at) = self.next_step_at().filter(|at| *at <= end) {
            self.now = at;
            let mut events = Vec::new();
            while let Some(event) = self.pop_due(at) {
                events.extend(self.handle(event));
            }
            if !events.is_empty() {
                self.step(&events)?;
            }
        }
        self.now = end;
        Ok(())
    }

    /// Removes and returns the next scheduled event if it is due.
    fn pop_due(&mut self, now: Micros) -> Option<ScheduledEvent> {
        let Reverse((at, _, event)) = *self.queue.peek()?;
        if at > now {
            return None;
        }
        self.queue.pop();
        Some(event)
    }

    /// The time of the next step: when the next event is due, but at most one step per tick.
    fn next_step_at(&self) -> Option<Micros> {
        let due = self.queue.peek()?.0.0;
        let earliest = self.last_step_at.map_or(due, |last| last + self.tick);
        Some(due.max(earliest).max(self.now))
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.scheduled_count += 1;
        self.queue.push(Reverse((at, self.scheduled_count, event)));
    }

    /// Handles a scheduled event; returns the event for the decision logic, if any.
    fn handle(&mut self, event: ScheduledEvent) -> Option<Event> {
        match event {
            ScheduledEvent::Timer(token) => Some(Event::TimerFired(token)),
            ScheduledEvent::EndpointList => Some(self.site.complete_list(self.now)),
            ScheduledEvent::Request => self.next_request(),
            ScheduledEvent::Arrived(id) => self.attempt_arrived(id),
            ScheduledEvent::Started(id) => self.attempt_started(id),
            ScheduledEvent::Progress(id) => self.report_progress(id),
            ScheduledEvent::Ended(id) => self.end_attempt(id, Outcome::Ok),
            ScheduledEvent::Cancelled(id) => self.end_attempt(id, Outcome::Cancelled),
        }
    }

    /// Creates a request and schedules the next one.
    fn next_request(&mut self) -> Option<Event> {
        let load = self.load?;
        let interarrival_s = -(1.0 - self.random.rand_float()).ln() / load.per_second;
        self.schedule(self.now + (interarrival_s * SECOND as f64) as Micros, ScheduledEvent::Request);
        self.next_job += 1;
        self.counts.requests += 1;
        let draw = self.random.rand_range(0..u64::from(u32::MAX)) as u32;
        let urgent = load.urgent_fraction > 0.0 && self.random.rand_float() < load.urgent_fraction;
        let request = Request { arrived_at: self.now, urgent, started: false, attempts: 0 };
        self.requests.insert(self.next_job, request);
        Some(Event::JobArrived(self.site.job(self.next_job, draw, urgent)))
    }

    /// An attempt that arrives at its worker starts, is queued, or is rejected.
    fn attempt_arrived(&mut self, id: AttemptId) -> Option<Event> {
        let worker = self.workers.entry(self.in_flight.get(&id)?.worker).or_default();
        if worker.running < self.site.accelerators {
            worker.running += 1;
            return self.attempt_started(id);
        }
        if worker.waiting.len() >= QUEUE_PER_ACCELERATOR * self.site.accelerators as usize {
            return self.end_attempt(id, Outcome::Rejected);
        }
        worker.waiting.push_back(id);
        None
    }

    fn attempt_started(&mut self, id: AttemptId) -> Option<Event> {
        let attempt = self.in_flight.get_mut(&id)?;
        attempt.running = true;
        let duration = self.load.map_or(SECOND, |load| load.task_duration);
        self.schedule(self.now + duration, ScheduledEvent::Ended(id));
        self.schedule(self.now + PROGRESS_INTERVAL, ScheduledEvent::Progress(id));
        let request = self.requests.get_mut(&id.job)?;
        if request.urgent && !request.started {
            self.urgent_waits.push(Some(self.now - request.arrived_at));
        }
        request.started = true;
        Some(Event::AttemptProgress {
            job: JobId(id.job),
            attempt: id.attempt,
            update: AttemptUpdate::Started,
        })
    }

    fn report_progress(&mut self, id: AttemptId) -> Option<Event> {
        self.in_flight.get(&id)?;
        self.schedule(self.now + PROGRESS_INTERVAL, ScheduledEvent::Progress(id));
        Some(Event::AttemptProgress {
            job: JobId(id.job),
            attempt: id.attempt,
            update: AttemptUpdate::Progress(0.5),
        })
    }

    /// Ends an attempt and starts the next one in the queue of its worker.
    fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) -> Option<Event> {
        let attempt = self.in_flight.remove(&id)?;
        let worker = self.workers.entry(attempt.worker).or_default();
        // As on the platform, a load report is older than the message that carries it: it still counts the ended task as
        // running.
        let free = self.site.accelerators.saturating_sub(worker.running);
        worker.waiting.retain(|waiting| *waiting != id);
        if attempt.running {
            worker.running -= 1;
        }
        let next = if attempt.running { worker.waiting.pop_front() } else { None };
        if let Some(next) = next {
            worker.running += 1;
            self.in_flight.entry(next).and_modify(|attempt| attempt.running = true);
            self.schedule(self.now, ScheduledEvent::Started(next));
        }
        let concluded = outcome == Outcome::Ok;
        if concluded {
            self.counts.served += 1;
            self.requests.remove(&id.job);
        }
        let report = LoadReport { free_slots: Some(f64::from(free)), delayed: true, ..LoadReport::default() };
        Some(Event::AttemptEnded { job: JobId(id.job), attempt: id.attempt, outcome, concluded, report })
    }

    /// Performs an action of the decision logic.
    fn perform(&mut self, action: &Action) {
        match action {
            Action::Timer { delay, token } => {
                self.counts.timers += 1;
                self.schedule(self.now + (*delay).max(1), ScheduledEvent::Timer(*token));
            }
            Action::WatchEndpoints => {
                self.counts.watch_requests += 1;
                self.schedule(self.now + NETWORK_DELAY, ScheduledEvent::EndpointList);
            }
            Action::Send { job, worker, .. } => self.send_attempt(job.0, *worker),
            Action::Cancel { job, attempt } => {
                let id = AttemptId { job: job.0, attempt: *attempt };
                self.schedule(self.now + 2 * NETWORK_DELAY, ScheduledEvent::Cancelled(id));
            }
            Action::Reject { job, .. } | Action::Fail { job } => self.record_rejection(job.0),
            Action::HealthCheck(_) | Action::CloseIdleConnections(_) | Action::Log { .. } => {}
        }
    }

    fn record_rejection(&mut self, job: u32) {
        self.counts.rejected += 1;
        let request = self.requests.remove(&job);
        if request.is_some_and(|request| request.urgent && !request.started) {
            self.urgent_waits.push(None);
        }
    }

    fn send_attempt(&mut self, job: u32, worker: WorkerId) {
        self.counts.sends += 1;
        let Some(request) = self.requests.get_mut(&job) else { return };
        let id = AttemptId { job, attempt: request.attempts };
        request.attempts += 1;
        self.in_flight.insert(id, Attempt { worker, running: false });
        self.schedule(self.now + NETWORK_DELAY, ScheduledEvent::Arrived(id));
    }
}
