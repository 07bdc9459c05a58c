//! Workers: slots, a bounded queue, a cold start, and a table of connections; each tells the dispatchers what becomes
//! of a job by calls of its own.

use crate::http::{Connection, answer};
use crate::ledger::Seen;
use crate::links::{Harm, Party};
use crate::run::World;
use crate::{Micros, SECOND};
use may::net::TcpListener;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What all workers of a run are.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Kind {
    /// Jobs at once.
    pub slots: usize,
    /// Jobs that wait there at most; one more is turned away.
    pub queue: usize,
    /// A job's run on a warm worker, in seconds.
    pub run_s: f64,
    /// How long a worker that has just started is cold, in seconds.
    pub cold_s: f64,
    /// Share of its capacity with which it starts.
    pub cold_share: f64,
    /// What it bears in a second, over its capacity then.
    pub fall_multiple: f64,
    /// Connections it keeps; further ones are closed at once.
    pub connections: usize,
    /// Between two connections that it accepts, in milliseconds.
    pub accept_ms: f64,
}

impl Default for Kind {
    fn default() -> Kind {
        Kind {
            slots: 2,
            queue: 16,
            run_s: 0.25,
            cold_s: 24.0,
            cold_share: 0.15,
            fall_multiple: 4.0,
            connections: 400,
            accept_ms: 0.0,
        }
    }
}

#[derive(Default)]
struct State {
    /// When its process started; none: long ago.
    booted: Option<Micros>,
    /// Its life: what runs in a former one is lost.
    life: u32,
    /// Its address: nobody listens at a former one.
    address: u32,
    up: bool,
    running: Vec<String>,
    waiting: VecDeque<String>,
    open: usize,
}

/// A worker.
pub struct Worker {
    number: usize,
    state: Mutex<State>,
}

impl Worker {
    /// One that has been up for long.
    pub fn new(number: usize) -> Worker {
        Worker { number, state: Mutex::new(State { up: true, ..State::default() }) }
    }

    /// Its name.
    pub fn uid(number: usize) -> String {
        format!("s-{number:04}")
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its process starts, cold.
    pub fn boot(&self, world: &World) {
        let kind = &world.scenario.workers;
        let bears = kind.fall_multiple * kind.slots as f64 / kind.run_s;
        let mut state = self.state();
        let now = world.clock.now();
        let (life, address) = (state.life + 1, state.address);
        *state = State { booted: Some(now), life, address, up: true, ..State::default() };
        drop(state);
        let cold = (kind.cold_s * 1e6) as Micros;
        world.note(Seen::Booted(self.number, bears * kind.cold_share, bears, cold));
    }

    /// Its process ends, with all that it has.
    pub fn kill(&self) {
        let mut state = self.state();
        let (life, address) = (state.life + 1, state.address);
        *state = State { life, address, booted: state.booted, ..State::default() };
    }

    /// It goes on at another address; the number of that.
    pub fn moves(&self) -> u32 {
        let mut state = self.state();
        state.address += 1;
        state.address
    }

    /// Share of its capacity that it has now.
    fn warmth(&self, booted: Option<Micros>, world: &World) -> f64 {
        let kind = &world.scenario.workers;
        let age = booted.map_or(f64::INFINITY, |b| (world.clock.now() - b) as f64 / 1e6);
        let share = if kind.cold_s > 0.0 { (age / kind.cold_s).min(1.0) } else { 1.0 };
        kind.cold_share + (1.0 - kind.cold_share) * share
    }

    /// Free slots, and the length of its queue.
    fn load(&self, slots: usize) -> (usize, usize) {
        let state = self.state();
        (slots.saturating_sub(state.running.len()), state.waiting.len())
    }
}

/// Accepts for ever at one of its addresses.
pub fn serve(world: &Arc<World>, number: usize, listener: &TcpListener, address: u32) {
    let pause = (world.scenario.workers.accept_ms * 1e3) as Micros;
    for stream in listener.incoming() {
        let (Some(stream), world) = (world.own(stream), world.clone()) else { continue };
        if pause > 0 {
            world.clock.sleep_until(world.clock.now() + pause);
        }
        let life = {
            let mut state = world.workers[number].state();
            // Nobody listens there, or its table is full: closed at once.
            if !state.up || state.address != address || state.open >= world.scenario.workers.connections {
                continue;
            }
            state.open += 1;
            state.life
        };
        world.note(Seen::Opened(number));
        may::go!(move || {
            let _ = talk(&world, number, life, Connection::new(stream));
            world.note(Seen::Closed(number));
            let mut state = world.workers[number].state();
            state.open -= (state.life == life) as usize;
        });
    }
}

fn talk(world: &Arc<World>, number: usize, life: u32, mut connection: Connection) -> std::io::Result<()> {
    connection.patience(Duration::from_secs(60))?;
    let worker = &world.workers[number];
    while let Some(request) = connection.read()? {
        if worker.state().life != life {
            return Ok(());
        }
        let id = request.header("x-call-id").unwrap_or("").to_owned();
        let path = request.start[1].clone();
        let id = path.strip_prefix("/jobs/").map_or(id, str::to_owned);
        let Some(dispatcher) = World::dispatcher_of(&id) else {
            connection.write(&answer(404, "", ""))?;
            continue;
        };
        match world.harm(Party::Dispatcher(dispatcher), Party::Worker(number)) {
            Some(Harm::Reset) => return Ok(()),
            Some(Harm::Silent) => {
                world.clock.sleep_until(world.clock.now() + 20 * SECOND);
                return Ok(());
            }
            Some(Harm::Late) | None => {}
        }
        if request.start[0] == "DELETE" {
            withdraw(world, number, &id);
            connection.write(&answer(200, "", ""))?;
            continue;
        }
        world.note(Seen::Sent(number, id.clone()));
        world.note(Seen::SentBy(dispatcher, number));
        let kind = &world.scenario.workers;
        let mut state = worker.state();
        let taken = state.running.len() < kind.slots || state.waiting.len() < kind.queue;
        if taken {
            state.waiting.push_back(id);
        }
        drop(state);
        if taken {
            connection.write(&answer(202, "", ""))?;
            start_next(world, number);
        } else {
            let (free, queue) = worker.load(kind.slots);
            let report = format!("X-Rejected: 1\r\nX-Load-Report: TEXT x0={free}, queue={queue}\r\n");
            connection.write(&answer(503, &report, ""))?;
        }
    }
    Ok(())
}

/// Ends an attempt that its dispatcher gave up.
fn withdraw(world: &Arc<World>, number: usize, id: &str) {
    let mut state = world.workers[number].state();
    state.waiting.retain(|w| w != id);
    state.running.retain(|r| r != id);
    drop(state);
    start_next(world, number);
}

/// Starts what waits, as far as there are slots.
fn start_next(world: &Arc<World>, number: usize) {
    loop {
        let worker = &world.workers[number];
        let mut state = worker.state();
        if state.running.len() >= world.scenario.workers.slots {
            return;
        }
        let Some(id) = state.waiting.pop_front() else { return };
        state.running.push(id.clone());
        let (life, booted) = (state.life, state.booted);
        drop(state);
        world.note(Seen::Began(number, id.clone()));
        let world = world.clone();
        may::go!(move || run(&world, number, life, booted, &id));
    }
}

fn run(world: &Arc<World>, number: usize, life: u32, booted: Option<Micros>, id: &str) {
    let worker = &world.workers[number];
    let (from, kind) = (Worker::uid(number), &world.scenario.workers);
    let word = |rest: String| format!(r#"{{"id":"{id}","from":"{from}",{rest}}}"#);
    let took = (kind.run_s / worker.warmth(booted, world) * 1e6) as Micros;
    let ends = world.clock.now() + took;
    world.call_back(number, id, &word(r#""state":"started""#.into()));
    world.clock.sleep_until(ends);
    {
        let mut state = worker.state();
        if state.life != life || !state.running.iter().any(|r| r == id) {
            return;
        }
        state.running.retain(|r| r != id);
    }
    world.note(Seen::Done(number, id.to_owned()));
    start_next(world, number);
    let (free, queue) = worker.load(kind.slots);
    let rest = format!(r#""state":"done","result":"made-{id}","load":{{"x0":{free},"queue":{queue}}}"#);
    world.call_back(number, id, &word(rest));
}
