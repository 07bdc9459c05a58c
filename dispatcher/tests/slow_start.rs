//! Slow start: what a worker that has just started is sent. The pages' words: "A worker that restarts appears as `ready` with
//! an updated time"; "the wall clock may step, seconds or an hour, either way; spans are real time" (docs/terms-audit.md).

mod common;
use common::faults::Faults;
use common::*;
use rstest::rstest;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the settings allow a worker in its first second after a start: four times 0.15 of its 8 slots at a job a second.
const ALLOWED: usize = 4;
const SLOTS: usize = 8;

/// The wall clock of this machine, in milliseconds, moved by some seconds.
fn wall(seconds: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as i64;
    (now + seconds * 1000) as u64
}

/// A worker that takes each job on and tells its id.
fn takes_all(host: &Host) -> Receiver<String> {
    let (took, taken) = channel();
    let listener = host.listener.try_clone().expect("a clone");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut peer, took) = (Peer::new(stream.expect("a connection")), took.clone());
            std::thread::spawn(move || {
                while let Some(request) = peer.read() {
                    peer.write(TAKEN);
                    if let Some(id) = request.header("x-call-id") {
                        let _ = took.send(id.to_owned());
                    }
                }
            });
        }
    });
    taken
}

fn free(id: &str, state: &str, slots: usize) -> (String, String) {
    (id.to_owned(), format!(r#""state":"{state}","result":"r","load":{{"x0":{slots}}}"#))
}

/// Two jobs of a second run, so that a job's work is measured and not guessed.
fn measure(dispatcher: &Dispatcher, taken: &Receiver<String>) {
    let clients: Vec<Peer> = ["m1", "m2"].iter().map(|id| dispatcher.ask(id, "look", 10.0)).collect();
    let ids: Vec<String> = clients.iter().map(|_| taken.recv_timeout(PATIENCE).expect("a job")).collect();
    let tell = |state: &str| {
        for (id, word) in ids.iter().map(|id| free(id, state, SLOTS)) {
            assert_eq!(dispatcher.call_back(&id, "s-1", &word), 204);
        }
    };
    let started = Instant::now();
    tell("started");
    while started.elapsed() < Duration::from_secs(1) {
        std::thread::yield_now();
    }
    tell("done");
    for mut client in clients {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
}

/// How many of many requests at once reach the worker in one span of a second, less what the test's own clock may be off.
fn in_a_second(dispatcher: &Dispatcher, taken: &Receiver<String>) -> usize {
    let until = Instant::now() + Duration::from_millis(950);
    let _clients: Vec<Peer> =
        (0..3 * SLOTS).map(|n| dispatcher.ask(&format!("c{n}"), "look", 10.0)).collect();
    let mut got = 0;
    while taken.recv_timeout(until.saturating_duration_since(Instant::now())).is_ok() {
        got += 1;
    }
    got
}

/// The steps of the clock that a worker's start is told by, in seconds.
const STEPS: [i64; 5] = [-3600, -20, 0, 20, 3600];

/// How many requests reach a worker in a second after it has restarted, by a clock that was stepped by some seconds, at a
/// dispatcher whose own was stepped before its start.
fn after_a_restart(stepped: i64, own: i64) -> usize {
    let host = Host::new("s-1");
    let at = host.listener.local_addr().expect("an address");
    let taken = takes_all(&host);
    let discovery = Discovery::start();
    // A clock that stands back finds any other start in the future.
    let before = if own < 0 { 0 } else { wall(-100) };
    let known = list(7, true, &[target("s-1", at, "ready", before)]);
    let settings = settings(24.0, 1.0);
    let clock = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("clock-{}-{stepped}-{own}", std::process::id()));
    std::fs::write(&clock, own.to_string()).expect("a file");
    let faults = Faults::new().with("FAULT_CLOCK", clock.display());
    let start = Start { admin: true, faults: Some(faults), ..Start::new(discovery.at, &settings, &known) };
    let dispatcher = Dispatcher::launch(start);
    until_ready(&dispatcher);
    measure(&dispatcher, &taken);
    let restarted = target("s-1", at, "ready", wall(stepped));
    discovery.lines.send(Some(list(8, false, &[restarted]))).expect("a watch");
    // The change has been heeded once the watch that asks on from it has been opened.
    discovery.lines.send(None).expect("a watch");
    let after = "GET /registry/instances?watch=1&after=8 HTTP/1.1".to_owned();
    while discovery.asked.recv_timeout(PATIENCE).expect("a call") != after {}
    in_a_second(&dispatcher, &taken)
}

/// Plays all steps side by side: none may send the worker more than it is allowed, nor nothing at all.
fn play_all_steps(own: i64) {
    let got: Vec<(i64, usize)> = std::thread::scope(|threads| {
        let plays = STEPS.map(|stepped| (stepped, threads.spawn(move || after_a_restart(stepped, own))));
        plays.into_iter().map(|(stepped, play)| (stepped, play.join().expect("a play"))).collect()
    });
    let kept = got.iter().all(|(_, sent)| (1..=ALLOWED).contains(sent));
    assert!(kept, "requests in the first second by the step of the clock: {got:?}, {ALLOWED} are allowed");
}

/// A changed time is a start, whatever it says: a worker whose clock, or the list's, stood back counted as warm.
#[rstest]
fn a_changed_start_time_is_a_start() {
    play_all_steps(0);
}

/// The same where the dispatcher's own clock was stepped before its start.
#[rstest]
fn a_changed_start_time_is_a_start_by_any_clock() {
    play_all_steps(-3600);
    play_all_steps(3600);
}
