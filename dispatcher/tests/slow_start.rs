//! Slow start: how many requests a worker receives right after its start. The requirements: "A worker that restarts appears
//! as `ready` with an updated time"; "the wall clock may step, seconds or an hour, either way; spans are real time"
//! (docs/terms-audit.md).

mod common;
use common::faults::Faults;
use common::*;
use rstest::rstest;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The requests that the settings allow to a worker in the first second after its start: four times 0.15 of its 8 slots, at
/// one job per second.
const MAX_REQUESTS_IN_FIRST_SECOND: usize = 4;
/// Jobs that a worker runs concurrently.
const SLOTS: usize = 8;

/// The wall clock plus an offset in seconds, in milliseconds since the Unix epoch.
fn wall_clock_ms(offset_s: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock is before 1970").as_millis() as i64;
    (now + offset_s * 1000) as u64
}

/// Accepts each job at a worker with a 202. The channel receives its id.
fn accept_all(host: &Host) -> Receiver<String> {
    let (accepted, accepted_ids) = channel();
    let listener = host.listener.try_clone().expect("cannot clone listener");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut peer, accepted) = (HttpPeer::new(stream.expect("no connection")), accepted.clone());
            std::thread::spawn(move || {
                while let Some(request) = peer.read() {
                    peer.write(ACCEPTED_RESPONSE);
                    if let Some(id) = request.header("x-call-id") {
                        let _ = accepted.send(id.to_owned());
                    }
                }
            });
        }
    });
    accepted_ids
}

/// The id of a job, and the fields of its callback with this state and number of free slots.
fn callback_with_free_slots(id: &str, state: &str, slots: usize) -> (String, String) {
    (id.to_owned(), format!(r#""state":"{state}","result":"r","load":{{"x0":{slots}}}"#))
}

/// Runs two jobs of one second, so that the dispatcher knows the work per job from a measurement and not from an estimate.
fn run_two_jobs(dispatcher: &Dispatcher, accepted_ids: &Receiver<String>) {
    let clients: Vec<HttpPeer> =
        ["m1", "m2"].iter().map(|id| dispatcher.send_request(id, "look", 10.0)).collect();
    let ids: Vec<String> =
        clients.iter().map(|_| accepted_ids.recv_timeout(WAIT_TIMEOUT).expect("no job")).collect();
    let send_callbacks = |state: &str| {
        for (id, fields) in ids.iter().map(|id| callback_with_free_slots(id, state, SLOTS)) {
            assert_eq!(dispatcher.send_callback(&id, "s-1", &fields), 204);
        }
    };
    let started_at = Instant::now();
    send_callbacks("started");
    while started_at.elapsed() < Duration::from_secs(1) {
        std::thread::yield_now();
    }
    send_callbacks("done");
    for mut client in clients {
        assert_eq!(client.read().expect("no response").status(), 200);
    }
}

/// Sends many requests at once and counts those that reach the worker within one second, less 50 ms for delays of the test.
fn received_in_a_second(dispatcher: &Dispatcher, accepted_ids: &Receiver<String>) -> usize {
    let until = Instant::now() + Duration::from_millis(950);
    let _clients: Vec<HttpPeer> =
        (0..3 * SLOTS).map(|n| dispatcher.send_request(&format!("c{n}"), "look", 10.0)).collect();
    let mut received = 0;
    while accepted_ids.recv_timeout(until.saturating_duration_since(Instant::now())).is_ok() {
        received += 1;
    }
    received
}

/// Steps of the wall clock from which a worker's start time is taken, in seconds.
const CLOCK_STEPS_S: [i64; 5] = [-3600, -20, 0, 20, 3600];

/// Counts the requests that reach a worker in the second after its restart. The worker's start time comes from a clock that
/// was stepped by `worker_step_s`, and the dispatcher's clock is stepped by `dispatcher_step_s` before its start.
fn received_after_restart(worker_step_s: i64, dispatcher_step_s: i64) -> usize {
    let host = Host::new("s-1");
    let at = host.listener.local_addr().expect("no local address");
    let accepted_ids = accept_all(&host);
    let discovery = MockDiscovery::start();
    // To a clock that is behind, any other start time is in the future.
    let old_start_ms = if dispatcher_step_s < 0 { 0 } else { wall_clock_ms(-100) };
    let cached_list = endpoint_list(7, true, &[endpoint_json("s-1", at, "ready", old_start_ms)]);
    let settings = settings(24.0, 1.0);
    let clock = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("clock-{}-{worker_step_s}-{dispatcher_step_s}", std::process::id()));
    std::fs::write(&clock, dispatcher_step_s.to_string()).expect("cannot write file");
    let faults = Faults::new().with("FAULT_CLOCK", clock.display());
    let start = StartOptions {
        admin: true,
        faults: Some(faults),
        ..StartOptions::new(discovery.address, &settings, &cached_list)
    };
    let dispatcher = Dispatcher::launch(start);
    wait_until_ready(&dispatcher);
    run_two_jobs(&dispatcher, &accepted_ids);
    let restarted = endpoint_json("s-1", at, "ready", wall_clock_ms(worker_step_s));
    discovery.events.send(Some(endpoint_list(8, false, &[restarted]))).expect("no open watch");
    // The event has been applied once the next watch has been opened from its version.
    discovery.events.send(None).expect("no open watch");
    let next_watch = "GET /registry/instances?watch=1&after=8 HTTP/1.1".to_owned();
    while discovery.requests.recv_timeout(WAIT_TIMEOUT).expect("no call") != next_watch {}
    received_in_a_second(&dispatcher, &accepted_ids)
}

/// Checks all steps in parallel: with each one the worker receives at least one request and at most the allowed number.
fn check_all_steps(dispatcher_step_s: i64) {
    let received: Vec<(i64, usize)> = std::thread::scope(|threads| {
        let runs = CLOCK_STEPS_S.map(|worker_step_s| {
            (worker_step_s, threads.spawn(move || received_after_restart(worker_step_s, dispatcher_step_s)))
        });
        runs.into_iter()
            .map(|(worker_step_s, run)| (worker_step_s, run.join().expect("run thread panicked")))
            .collect()
    });
    let within_limits = received.iter().all(|(_, count)| (1..=MAX_REQUESTS_IN_FIRST_SECOND).contains(count));
    assert!(
        within_limits,
        "requests in the first second by the step of the clock: {received:?}, {MAX_REQUESTS_IN_FIRST_SECOND} are allowed"
    );
}

/// Any change of a worker's start time begins slow start. Regression: a worker counted as warmed up if its clock, or that of
/// the list, was behind.
#[rstest]
fn a_changed_start_time_begins_slow_start() {
    check_all_steps(0);
}

/// Slow start also begins if the clock of the dispatcher was stepped before its start.
#[rstest]
fn a_changed_start_time_begins_slow_start_by_any_clock() {
    check_all_steps(-3600);
    check_all_steps(3600);
}
