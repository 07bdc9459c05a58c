//! The list service: serves one call after another, each in a stated time; who waits too long is turned away. Then it
//! keeps the watch: changes as they come, an empty line every 2 s.

use crate::http::{CHUNKED_HEAD, Connection, answer, chunk};
use crate::ledger::Seen;
use crate::links::{Harm, Party};
use crate::list::{Change, Line, object};
use crate::outage::Failure;
use crate::time::{Micros, SECOND};
use crate::world::World;
use may::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;

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
                connection.write(CHUNKED_HEAD)?;
                connection.write(&chunk(&object(world.list.lines().0, true, &[])))?;
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
    let opened = world.list.watch(dispatcher, after);
    listed(world, dispatcher, &opened.all);
    connection.write(CHUNKED_HEAD)?;
    connection.write(&chunk(&opened.first))?;
    let (me, it) = (Party::List, Party::Dispatcher(dispatcher));
    let mut said = world.clock.now();
    loop {
        let change = opened.changes.recv_timeout(Duration::from_millis(200));
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
                connection.write(&chunk(&text))?;
                said = world.clock.now();
            }
            Err(RecvTimeoutError::Timeout) if world.clock.now() - said < 2 * SECOND => {}
            Err(RecvTimeoutError::Timeout) => {
                connection.write(&chunk(""))?;
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
