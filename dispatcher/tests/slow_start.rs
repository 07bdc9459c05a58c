//! Slow start: how many requests a worker receives just after its start. The requirements: "A worker that restarts appears
//! as `ready` with an updated time"; "the wall clock may step, seconds or an hour, either way; spans are real time"
//! (docs/terms-audit.md).

mod common;
use common::faults::Faults;
use common::*;
use rstest::rstest;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Requests that the settings allow a worker in the first second after a start: four times 0.15 of its 8 slots, at one job a
/// second.
const MAX_REQUESTS_IN_FIRST_SECOND: usize = 4;
/// Jobs that a worker runs at a time.
const SLOTS: usize = 8;

/// The wall clock of this machine plus some seconds, in milliseconds since 1970.
fn wall_clock_ms(seconds: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock is before 1970").as_millis() as i64;
    (now + seconds * 1000) as u64
}

/// Accepts each job at a worker with a 202; the channel receives its id.
fn accept_all(host: &Host) -> Receiver<String> {
    let (took, taken) = channel();
    let listener = host.listener.try_clone().expect("cannot clone listener");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut peer, took) = (HttpPeer::new(stream.expect("no connection")), took.clone());
            std::thread::spawn(move || {
                while let Some(request) = peer.read() {
                    peer.write(ACCEPTED_RESPONSE);
                    if let Some(id) = request.header("x-call-id") {
                        let _ = took.send(id.to_owned());
                    }
                }
            });
        }
    });
    taken
}

/// A job's id, and the rest of its callback with this state and so many free slots.
fn callback_with_free_slots(id: &str, state: &str, slots: usize) -> (String, String) {
    (id.to_owned(), format!(r#""state":"{state}","result":"r","load":{{"x0":{slots}}}"#))
}

/// Runs two jobs of one second, so that the dispatcher has a measured work per job and not an estimate.
fn run_two_jobs(dispatcher: &Dispatcher, taken: &Receiver<String>) {
    let clients: Vec<HttpPeer> =
        ["m1", "m2"].iter().map(|id| dispatcher.send_request(id, "look", 10.0)).collect();
    let ids: Vec<String> =
        clients.iter().map(|_| taken.recv_timeout(WAIT_TIMEOUT).expect("no job")).collect();
    let call_back = |state: &str| {
        for (id, word) in ids.iter().map(|id| callback_with_free_slots(id, state, SLOTS)) {
            assert_eq!(dispatcher.send_callback(&id, "s-1", &word), 204);
        }
    };
    let started = Instant::now();
    call_back("started");
    while started.elapsed() < Duration::from_secs(1) {
        std::thread::yield_now();
    }
    call_back("done");
    for mut client in clients {
        assert_eq!(client.read().expect("no response").status(), 200);
    }
}

/// Sends many requests at once and counts those that reach the worker within one second, less 50 ms for the test's own timing.
fn received_in_a_second(dispatcher: &Dispatcher, taken: &Receiver<String>) -> usize {
    let until = Instant::now() + Duration::from_millis(950);
    let _clients: Vec<HttpPeer> =
        (0..3 * SLOTS).map(|n| dispatcher.send_request(&format!("c{n}"), "look", 10.0)).collect();
    let mut got = 0;
    while taken.recv_timeout(until.saturating_duration_since(Instant::now())).is_ok() {
        got += 1;
    }
    got
}

/// Steps of the wall clock that stamps a worker's start time, in seconds.
const CLOCK_STEPS_S: [i64; 5] = [-3600, -20, 0, 20, 3600];

/// Counts the requests that reach a worker in the second after its restart. The worker's start time is stamped by a clock that
/// was stepped by `stepped` seconds, and the dispatcher's own clock is stepped by `own` seconds before its start.
fn received_after_restart(stepped: i64, own: i64) -> usize {
    let host = Host::new("s-1");
    let at = host.listener.local_addr().expect("no local address");
    let taken = accept_all(&host);
    let discovery = MockDiscovery::start();
    // For a clock that is behind, any other start time is in the future.
    let before = if own < 0 { 0 } else { wall_clock_ms(-100) };
    let known = endpoint_list(7, true, &[endpoint_json("s-1", at, "ready", before)]);
    let settings = settings(24.0, 1.0);
    let clock = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("clock-{}-{stepped}-{own}", std::process::id()));
    std::fs::write(&clock, own.to_string()).expect("cannot write file");
    let faults = Faults::new().with("FAULT_CLOCK", clock.display());
    let start = StartOptions {
        admin: true,
        faults: Some(faults),
        ..StartOptions::new(discovery.address, &settings, &known)
    };
    let dispatcher = Dispatcher::launch(start);
    wait_until_ready(&dispatcher);
    run_two_jobs(&dispatcher, &taken);
    let restarted = endpoint_json("s-1", at, "ready", wall_clock_ms(stepped));
    discovery.events.send(Some(endpoint_list(8, false, &[restarted]))).expect("no open watch");
    // The event is applied once the watch from its version on has been opened.
    discovery.events.send(None).expect("no open watch");
    let after = "GET /registry/instances?watch=1&after=8 HTTP/1.1".to_owned();
    while discovery.requests.recv_timeout(WAIT_TIMEOUT).expect("no call") != after {}
    received_in_a_second(&dispatcher, &taken)
}

/// Plays all steps in parallel: with each the worker receives at least one request and at most what is allowed.
fn check_all_steps(own: i64) {
    let got: Vec<(i64, usize)> = std::thread::scope(|threads| {
        let plays = CLOCK_STEPS_S
            .map(|stepped| (stepped, threads.spawn(move || received_after_restart(stepped, own))));
        plays
            .into_iter()
            .map(|(stepped, play)| (stepped, play.join().expect("run thread panicked")))
            .collect()
    });
    let within_limits = got.iter().all(|(_, sent)| (1..=MAX_REQUESTS_IN_FIRST_SECOND).contains(sent));
    assert!(
        within_limits,
        "requests in the first second by the step of the clock: {got:?}, {MAX_REQUESTS_IN_FIRST_SECOND} are allowed"
    );
}

/// Any change of a worker's start time begins slow start. Regression: a worker with a clock that was behind, or a list with
/// one, counted as warmed up.
#[rstest]
fn a_changed_start_time_begins_slow_start() {
    check_all_steps(0);
}

/// The same with a dispatcher whose own clock was stepped before its start.
#[rstest]
fn a_changed_start_time_begins_slow_start_by_any_clock() {
    check_all_steps(-3600);
    check_all_steps(3600);
}
