//! The list service: serves one call after another, each in a stated time; who waits too long is turned away. Then it
//! keeps the watch: changes as they come, an empty line every 2 s.

use crate::http::{Connection, answer};
use crate::ledger::Seen;
use crate::links::{Harm, Party};
use crate::run::World;
use crate::{Micros, SECOND};
use may::net::TcpListener;
use may::sync::mpsc::{Receiver, Sender, channel};
use serde::{Deserialize, Serialize};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How a call ends that waited too long, or that comes while the service is out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// A 503.
    #[default]
    Answer503,
    /// The connection is closed.
    Reset,
    /// Nothing is said.
    Silence,
    /// A whole list of nobody.
    Empty,
}

/// A span in which the service does not do what it should.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// From when, in seconds since the start.
    pub from_s: f64,
    /// Until when.
    pub until_s: f64,
    /// How calls end; watches that are open end, too, but for silence.
    pub failure: Failure,
}

/// One worker as the list has it.
#[derive(Clone, Debug)]
pub struct Line {
    /// Its name.
    pub uid: String,
    /// Where it is.
    pub endpoint: String,
    /// Its zone.
    pub zone: String,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// When its process started, as Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

impl Line {
    fn json(&self) -> serde_json::Value {
        serde_json::json!({"uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": "m", "state": self.state,
            "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

/// A list or its changes, as on the wire.
pub fn object(rev: u64, all: bool, lines: &[Line]) -> String {
    let targets: Vec<_> = lines.iter().map(Line::json).collect();
    serde_json::json!({"rev": rev, "all": all, "targets": targets}).to_string()
}

#[derive(Default)]
struct State {
    rev: u64,
    lines: Vec<Line>,
    /// By worker number: what to tell of whom, as of which rev.
    changed: Vec<u64>,
    watches: Vec<(usize, Sender<Change>)>,
    free_at: Micros,
    /// When those in the queue leave it.
    queue: Vec<Micros>,
    listed: Vec<bool>,
}

#[derive(Clone)]
enum Change {
    /// The text of a change, and whom it drains.
    Text(Arc<str>, Arc<[usize]>),
    End,
}

/// The service.
pub struct List {
    state: Mutex<State>,
}

impl List {
    /// One with these lines at rev 1.
    pub fn new(lines: Vec<Line>, dispatchers: usize) -> List {
        let state = State {
            rev: 1,
            changed: vec![1; lines.len()],
            lines,
            listed: vec![false; dispatchers],
            ..State::default()
        };
        List { state: Mutex::new(state) }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The lines as of now, with their rev.
    pub fn lines(&self) -> (u64, Vec<Line>) {
        let state = self.state();
        (state.rev, state.lines.clone())
    }

    /// Changes lines, by worker number, in one revision, and tells all watches.
    pub fn change(&self, change: impl Fn(usize, &mut Line), workers: std::ops::Range<usize>) {
        let mut state = self.state();
        state.rev += 1;
        let rev = state.rev;
        for w in workers.clone() {
            change(w, &mut state.lines[w]);
            state.changed[w] = rev;
        }
        let drains: Vec<usize> = workers.clone().filter(|w| state.lines[*w].state != "ready").collect();
        let text = Change::Text(object(rev, false, &state.lines[workers]).into(), drains.into());
        state.watches.retain(|(_, watch)| watch.send(text.clone()).is_ok());
    }

    /// Ends all watches at once, as a restart of the service does.
    pub fn end_watches(&self) {
        self.state().watches.drain(..).for_each(|(_, watch)| _ = watch.send(Change::End));
    }

    /// A dispatcher starts anew: its first list counts again.
    pub fn forget(&self, dispatcher: usize) {
        self.state().listed[dispatcher] = false;
    }
}

/// Serves one dispatcher on a listener of its own, for ever.
pub fn serve(world: &Arc<World>, dispatcher: usize, listener: &TcpListener) {
    for stream in listener.incoming() {
        let (Some(stream), world) = (world.own(stream), world.clone()) else { continue };
        may::go!(move || _ = talk(&world, dispatcher, Connection::new(stream)));
    }
}

fn talk(world: &World, dispatcher: usize, mut connection: Connection) -> std::io::Result<()> {
    let (me, it) = (Party::List, Party::Dispatcher(dispatcher));
    while let Some(request) = connection.read()? {
        match world.harm(it, me).or(world.harm(me, it)) {
            Some(Harm::Reset) => return Ok(()),
            Some(Harm::Silent) => return silent(world, it, me),
            Some(Harm::Late) | None => {}
        }
        let Some(failure) = wait_for_turn(world, dispatcher) else {
            let path = &request.start[1];
            let after = path.split_once("after=").and_then(|(_, rev)| rev.parse().ok());
            if path.contains("watch=1") {
                return watch(world, dispatcher, connection, after.unwrap_or(0));
            }
            let (rev, lines) = world.list.lines();
            listed(world, dispatcher, &lines);
            connection.write(&answer(200, "", &object(rev, true, &lines)))?;
            continue;
        };
        world.note(Seen::CallFailed(dispatcher));
        match failure {
            Failure::Answer503 => connection.write(&answer(503, "", ""))?,
            Failure::Reset => return Ok(()),
            Failure::Silence => return silent(world, it, me),
            Failure::Empty if request.start[1].contains("watch=1") => {
                connection.write("HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                chunk(&mut connection, &object(world.list.lines().0, true, &[]))?;
                while world.scenario.list.out(world.clock.now()).is_some() && !world.ended() {
                    world.clock.sleep_until(world.clock.now() + SECOND / 10);
                }
                return Ok(());
            }
            Failure::Empty => connection.write(&answer(200, "", &object(world.list.lines().0, true, &[])))?,
        }
    }
    Ok(())
}

/// Keeps a connection open without a word until the harm is over, for a while at least.
fn silent(world: &World, it: Party, me: Party) -> std::io::Result<()> {
    world.clock.sleep_until(world.clock.now() + 4 * SECOND);
    while world.harm(it, me).is_some() && !world.ended() {
        world.clock.sleep_until(world.clock.now() + SECOND / 10);
    }
    Ok(())
}

/// Waits until the service has worked on a call; how it fails if it does.
fn wait_for_turn(world: &World, dispatcher: usize) -> Option<Failure> {
    let (now, figures) = (world.clock.now(), &world.scenario.list);
    if let Some(outage) = figures.out(now) {
        world.note(Seen::Call(dispatcher, 0));
        return Some(outage.failure);
    }
    let (call, wait) = ((figures.call_ms * 1e3) as Micros, (figures.wait_s * 1e6) as Micros);
    let mut state = world.list.state();
    state.queue.retain(|leaves| *leaves > now);
    let begins = state.free_at.max(now);
    let fails = begins - now > wait;
    if !fails || figures.works_on_late_calls {
        state.free_at = begins + call;
    }
    let ends = if fails { now + wait } else { begins + call };
    state.queue.push(ends);
    let queue = state.queue.len();
    drop(state);
    world.note(Seen::Call(dispatcher, queue));
    world.clock.sleep_until(ends);
    fails.then_some(figures.failure)
}

/// Notes what a list that is written tells.
fn listed(world: &World, dispatcher: usize, lines: &[Line]) {
    for (w, _) in lines.iter().enumerate().filter(|(_, l)| l.state != "ready") {
        world.note(Seen::Told(dispatcher, w));
    }
    if !std::mem::replace(&mut world.list.state().listed[dispatcher], true) {
        world.note(Seen::Listed(dispatcher));
    }
}

fn watch(world: &World, dispatcher: usize, mut connection: Connection, after: u64) -> std::io::Result<()> {
    let (tell, told): (Sender<Change>, Receiver<Change>) = channel();
    let (rev, lines, first) = {
        let mut state = world.list.state();
        state.watches.push((dispatcher, tell));
        let news = |w: &usize| state.changed[*w] > after;
        let lines: Vec<Line> = (0..state.lines.len()).filter(news).map(|w| state.lines[w].clone()).collect();
        (state.rev, lines, state.lines.clone())
    };
    listed(world, dispatcher, &first);
    connection.write("HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    // A rev of another life of the service says nothing here: the whole list.
    let object = if after > rev { object(rev, true, &first) } else { object(rev, false, &lines) };
    chunk(&mut connection, &object)?;
    let (me, it) = (Party::List, Party::Dispatcher(dispatcher));
    let mut said = world.clock.now();
    loop {
        let change = told.recv_timeout(Duration::from_millis(200));
        match world.harm(me, it) {
            Some(Harm::Reset) => return Ok(()),
            Some(Harm::Silent) => {
                // Its news are lost with the connection.
                return silent(world, it, me);
            }
            Some(Harm::Late) | None => {}
        }
        match change {
            Ok(Change::Text(text, drains)) => {
                drains.iter().for_each(|w| world.note(Seen::Told(dispatcher, *w)));
                chunk(&mut connection, &text)?;
                said = world.clock.now();
            }
            Err(RecvTimeoutError::Timeout) if world.clock.now() - said < 2 * SECOND => {}
            Err(RecvTimeoutError::Timeout) => {
                chunk(&mut connection, "")?;
                said = world.clock.now();
            }
            Ok(Change::End) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
        }
        let out = world.scenario.list.out(world.clock.now());
        if world.ended() || out.is_some_and(|o| o.failure != Failure::Silence) {
            return Ok(());
        }
    }
}

fn chunk(connection: &mut Connection, line: &str) -> std::io::Result<()> {
    connection.write(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1))
}
