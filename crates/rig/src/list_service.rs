//! The list service: serves one call after another, each in a stated time; who waits too long is turned away. Then it
//! keeps the watch: changes as they come, an empty line every 2 s.

use crate::http::{CHUNKED_HEAD, Connection, answer, chunk};
use crate::ledger::Observation;
use crate::links::{Fault, Participant};
use crate::list::{ListEntry, WatchEvent, list_json};
use crate::outage::Failure;
use crate::test_environment::TestEnvironment;
use crate::time::{Micros, SECOND};
use may::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;

/// Serves one dispatcher on a listener of its own, for ever.
pub fn serve(world: &Arc<TestEnvironment>, dispatcher: usize, listener: &TcpListener) {
    for stream in listener.incoming() {
        let (Some(stream), world) = (world.own(stream), world.clone()) else { continue };
        may::go!(move || _ = talk(&world, dispatcher, Connection::new(stream)));
    }
}

fn talk(world: &TestEnvironment, dispatcher: usize, mut connection: Connection) -> std::io::Result<()> {
    let (me, it) = (Participant::List, Participant::Dispatcher(dispatcher));
    while let Some(request) = connection.read()? {
        match world.harm(it, me).or(world.harm(me, it)) {
            Some(Fault::Reset) => return Ok(()),
            Some(Fault::Silent) => return silent(world, it, me),
            Some(Fault::Late) | None => {}
        }
        let Some(failure) = wait_for_turn(world, dispatcher) else {
            let path = &request.start[1];
            let after = path.split_once("after=").and_then(|(_, rev)| rev.parse().ok());
            if path.contains("watch=1") {
                return watch(world, dispatcher, connection, after.unwrap_or(0));
            }
            let (rev, lines) = world.list.lines();
            listed(world, dispatcher, &lines);
            connection.write(&answer(200, "", &list_json(rev, true, &lines)))?;
            continue;
        };
        world.record(Observation::ListCallFailed(dispatcher));
        match failure {
            Failure::Answer503 => connection.write(&answer(503, "", ""))?,
            Failure::Reset => return Ok(()),
            Failure::Silence => return silent(world, it, me),
            Failure::Empty if request.start[1].contains("watch=1") => {
                connection.write(CHUNKED_HEAD)?;
                connection.write(&chunk(&list_json(world.list.lines().0, true, &[])))?;
                while world.scenario.list.outage_at(world.clock.now()).is_some() && !world.is_over() {
                    world.clock.sleep_until(world.clock.now() + SECOND / 10);
                }
                return Ok(());
            }
            Failure::Empty => {
                connection.write(&answer(200, "", &list_json(world.list.lines().0, true, &[])))?
            }
        }
    }
    Ok(())
}

/// Keeps a connection open without a word until the harm is over, for a while at least.
fn silent(world: &TestEnvironment, it: Participant, me: Participant) -> std::io::Result<()> {
    world.clock.sleep_until(world.clock.now() + 4 * SECOND);
    while world.harm(it, me).is_some() && !world.is_over() {
        world.clock.sleep_until(world.clock.now() + SECOND / 10);
    }
    Ok(())
}

/// Waits until the service has worked on a call; how it fails if it does.
fn wait_for_turn(world: &TestEnvironment, dispatcher: usize) -> Option<Failure> {
    let (now, figures) = (world.clock.now(), &world.scenario.list);
    if let Some(outage) = figures.outage_at(now) {
        world.record(Observation::ListCall(dispatcher, 0));
        return Some(outage.failure);
    }
    let (call, wait) = ((figures.call_ms * 1e3) as Micros, (figures.max_wait_s * 1e6) as Micros);
    let mut state = world.list.state();
    state.queue_exit_times.retain(|leaves| *leaves > now);
    let begins = state.free_at.max(now);
    let fails = begins - now > wait;
    if !fails || figures.works_on_late_calls {
        state.free_at = begins + call;
    }
    let ends = if fails { now + wait } else { begins + call };
    state.queue_exit_times.push(ends);
    let queue = state.queue_exit_times.len();
    drop(state);
    world.record(Observation::ListCall(dispatcher, queue));
    world.clock.sleep_until(ends);
    fails.then_some(figures.failure)
}

/// Notes what a list that is written tells.
fn listed(world: &TestEnvironment, dispatcher: usize, lines: &[ListEntry]) {
    for (w, _) in lines.iter().enumerate().filter(|(_, l)| l.state != "ready") {
        world.record(Observation::DrainNotified(dispatcher, w));
    }
    if !std::mem::replace(&mut world.list.state().list_received[dispatcher], true) {
        world.record(Observation::ListReceived(dispatcher));
    }
}

fn watch(
    world: &TestEnvironment,
    dispatcher: usize,
    mut connection: Connection,
    after: u64,
) -> std::io::Result<()> {
    let opened = world.list.watch(dispatcher, after);
    listed(world, dispatcher, &opened.entries);
    connection.write(CHUNKED_HEAD)?;
    connection.write(&chunk(&opened.first))?;
    let (me, it) = (Participant::List, Participant::Dispatcher(dispatcher));
    let mut said = world.clock.now();
    loop {
        let change = opened.changes.recv_timeout(Duration::from_millis(200));
        match world.harm(me, it) {
            Some(Fault::Reset) => return Ok(()),
            Some(Fault::Silent) => {
                // Its news are lost with the connection.
                return silent(world, it, me);
            }
            Some(Fault::Late) | None => {}
        }
        match change {
            Ok(WatchEvent::Text(text, drains)) => {
                drains.iter().for_each(|w| world.record(Observation::DrainNotified(dispatcher, *w)));
                connection.write(&chunk(&text))?;
                said = world.clock.now();
            }
            Err(RecvTimeoutError::Timeout) if world.clock.now() - said < 2 * SECOND => {}
            Err(RecvTimeoutError::Timeout) => {
                connection.write(&chunk(""))?;
                said = world.clock.now();
            }
            Ok(WatchEvent::End) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
        }
        let out = world.scenario.list.outage_at(world.clock.now());
        if world.is_over() || out.is_some_and(|o| o.failure != Failure::Silence) {
            return Ok(());
        }
    }
}
