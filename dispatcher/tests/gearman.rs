//! Stories of the Gearman front against stand-in clients and workers.

mod common;
use common::gearman::*;
use common::*;
use rstest::{fixture, rstest};
use std::io::Write;
use std::net::SocketAddr;

const FUNCTIONS: &str = r#"cold_s = 0.0
[[function]]
name = "view"
class = "look"
deadline_s = 15.0
target = "gearman"
[[function]]
name = "bill"
class = "pay"
deadline_s = 15.0
target = "gearman"
[[function]]
name = "brief"
class = "pay"
deadline_s = 1.0
target = "gearman"
queue = false
[[function]]
name = "portal"
class = "look"
deadline_s = 15.0
target = "/api/view"
"#;

struct World {
    _discovery: Discovery,
    _dispatcher: Dispatcher,
    at: SocketAddr,
}

impl World {
    fn peer(&self) -> Gear {
        Gear::new(self.at)
    }
    fn worker(&self, functions: &[&str]) -> Gear {
        let mut worker = self.peer();
        worker.register(functions);
        worker
    }
    fn client(&self) -> Gear {
        let mut client = self.peer();
        client.send(OPTION_REQ, &["exceptions"]);
        client.expect(OPTION_RES);
        client
    }
}

fn world_with(functions: &str, promise_s: f64) -> World {
    let discovery = Discovery::start();
    let none = list(1, true, &[]);
    let dispatcher = Dispatcher::start(discovery.at, &settings(1.0, promise_s), &none, Some(functions));
    let at = dispatcher.gearman.expect("the front is on");
    World { _discovery: discovery, _dispatcher: dispatcher, at }
}

#[fixture]
fn world() -> World {
    world_with(FUNCTIONS, 2.0)
}

/// The whole path of a job, and one final word for each who waits: the same unique id joins the running job.
#[rstest]
fn one_job_serves_all_who_wait_for_it(world: World) {
    let (mut worker, mut first, mut second) = (world.worker(&["view"]), world.client(), world.client());
    let handle = first.submit("view", "u1", "data");
    let job = worker.take();
    assert_eq!(job[1..], ["view", "data"]);
    assert_eq!(second.submit("view", "u1", "data"), handle);
    worker.send(WORK_STATUS, &[&job[0], "1", "2"]);
    for client in [&mut first, &mut second] {
        assert_eq!(client.expect(WORK_STATUS), [handle.as_str(), "1", "2"]);
    }
    first.send(GET_STATUS, &[&handle]);
    assert_eq!(first.expect(STATUS_RES), [handle.as_str(), "1", "1", "1", "2"]);
    worker.send(WORK_DATA, &[&job[0], "part"]);
    worker.send(WORK_COMPLETE, &[&job[0], "result"]);
    for client in [&mut first, &mut second] {
        assert_eq!(client.expect(WORK_DATA), [handle.as_str(), "part"]);
        assert_eq!(client.expect(WORK_COMPLETE), [handle.as_str(), "result"]);
        // Nothing follows the final word: the next packet is the echo.
        client.send(ECHO_REQ, &["x"]);
        assert_eq!(client.expect(ECHO_RES), ["x"]);
    }
    first.send(GET_STATUS, &[&handle]);
    assert_eq!(first.expect(STATUS_RES)[1], "0");
}

/// A worker that drops its connection mid-job: safe work goes to another, once.
#[rstest]
fn safe_work_of_a_lost_worker_is_done_by_another(world: World) {
    let (mut lost, mut client) = (world.worker(&["view"]), world.client());
    client.submit("view", "", "data");
    lost.take();
    let mut other = world.worker(&["view"]);
    drop(lost);
    let job = other.take();
    other.send(WORK_COMPLETE, &[&job[0], "done"]);
    assert_eq!(client.expect(WORK_COMPLETE)[1], "done");
}

/// ... but a payment that may have run fails and is never run again, however willing the next worker.
#[rstest]
fn a_payment_of_a_lost_worker_fails(world: World) {
    let (mut lost, mut client) = (world.worker(&["bill"]), world.client());
    let handle = client.submit("bill", "", "data");
    lost.take();
    let mut other = world.worker(&["bill"]);
    drop(lost);
    assert_eq!(client.expect(WORK_EXCEPTION)[0], handle);
    assert_eq!(client.expect(WORK_FAIL), [handle]);
    // The next job is the first that the other worker sees.
    client.submit("bill", "", "next");
    assert_eq!(other.take()[2], "next");
}

/// A worker that takes a job and goes silent: the client has its word by the deadline, and a late result is
/// nobody's, neither its own client's nor the next one's.
#[rstest]
fn a_silent_worker_ends_at_the_deadline(world: World) {
    let (mut worker, mut client) = (world.worker(&["brief"]), world.client());
    let asked = std::time::Instant::now();
    let handle = client.submit("brief", "", "data");
    let job = worker.take();
    client.expect(WORK_EXCEPTION);
    assert_eq!(client.expect(WORK_FAIL), [handle]);
    let took = asked.elapsed().as_secs_f64();
    assert!((0.9..1.4).contains(&took), "answered after {took} s");
    worker.send(WORK_COMPLETE, &[&job[0], "late"]);
    worker.send(GRAB_JOB, &[]);
    worker.expect(NO_JOB);
    client.send(ECHO_REQ, &["x"]);
    client.expect(ECHO_RES);
}

/// A worker busy with one function is no place for another's job: that one has not run, so a payment may wait
/// for the next worker.
#[rstest]
fn a_worker_busy_elsewhere_is_full(world: World) {
    let (mut busy, mut client) = (world.worker(&["view", "bill"]), world.client());
    client.submit("view", "", "long");
    busy.take();
    let handle = client.submit("bill", "", "payment");
    let mut other = world.worker(&["bill"]);
    let job = other.take();
    assert_eq!(job[2], "payment");
    other.send(WORK_COMPLETE, &[&job[0], "paid"]);
    assert_eq!(client.expect(WORK_COMPLETE), [handle.as_str(), "paid"]);
}

/// CANT_DO and RESET_ABILITIES are drains: nothing new from then on, what it has is finished.
#[rstest]
#[case(CANT_DO, &["view"])]
#[case(RESET_ABILITIES, &[])]
fn a_draining_worker_gets_nothing_new(world: World, #[case] word: u32, #[case] args: &[&str]) {
    let (mut draining, mut client) = (world.worker(&["view"]), world.client());
    client.submit("view", "", "old");
    let job = draining.take();
    draining.send(word, args);
    draining.send(ECHO_REQ, &["heard"]);
    draining.expect(ECHO_RES);
    draining.send(WORK_COMPLETE, &[&job[0], "finished"]);
    assert_eq!(client.expect(WORK_COMPLETE)[1], "finished");
    client.submit("view", "", "new");
    let mut other = world.worker(&["view"]);
    assert_eq!(other.take()[2], "new");
    draining.send(GRAB_JOB, &[]);
    draining.expect(NO_JOB);
}

/// A job without a worker is refused or failed in time, with word of when to come back for who asked for it.
#[rstest]
fn a_job_that_nobody_can_run_is_refused(world: World) {
    let mut client = world.client();
    let handle = client.submit("brief", "", "data");
    let why = client.expect(WORK_EXCEPTION);
    assert!(why[1].starts_with("refused; try again after "), "{why:?}");
    assert_eq!(client.expect(WORK_FAIL), [handle]);
    // Without the option there is but the failure.
    let mut plain = world.peer();
    let handle = plain.submit("brief", "", "data");
    assert_eq!(plain.expect(WORK_FAIL), [handle]);
}

/// A worker's own failure is the client's, with what it said, and once.
#[rstest]
fn a_failure_is_told_once(world: World) {
    let (mut worker, mut client) = (world.worker(&["bill"]), world.client());
    let handle = client.submit("bill", "", "data");
    let job = worker.take();
    worker.send(WORK_EXCEPTION, &[&job[0], "no funds"]);
    worker.send(WORK_FAIL, &[&job[0]]);
    assert_eq!(client.expect(WORK_EXCEPTION), [handle.as_str(), "no funds"]);
    assert_eq!(client.expect(WORK_FAIL), [handle]);
}

/// Background and priority jobs run; what is not spoken here gets an ERROR, and the connection lives on.
#[rstest]
fn the_other_packets_are_known(world: World) {
    let (mut worker, mut client) = (world.worker(&["view"]), world.client());
    client.send(SUBMIT_JOB_BG, &["view", "", "background"]);
    client.expect(JOB_CREATED);
    let job = worker.take();
    assert_eq!(job[2], "background");
    let mut admin = world.peer();
    admin.until("status", "view", "view\t1\t1\t1");
    worker.send(WORK_COMPLETE, &[&job[0], ""]);
    worker.send(GRAB_JOB, &[]);
    worker.expect(NO_JOB);
    worker.send(PRE_SLEEP, &[]);
    client.send(SUBMIT_JOB_HIGH, &["view", "", "high"]);
    client.expect(JOB_CREATED);
    assert_eq!(worker.take()[2], "high");
    for (kind, args) in [(35, vec!["view"]), (SUBMIT_JOB, vec!["none", "", ""]), (SUBMIT_JOB, vec!["view"])] {
        client.send(kind, &args);
        client.expect(ERROR);
    }
    assert!(admin.line("version", 1)[0].starts_with("OK "));
    assert!(admin.line("nonsense", 1)[0].starts_with("ERR "));
    let workers = admin.line("workers", 4);
    assert!(workers.iter().any(|w| w.ends_with("- : view")), "{workers:?}");
}

/// A Gearman client reaches an HTTP host: the translator's reason to be.
#[rstest]
fn a_gearman_job_is_served_over_http() {
    let (discovery, host) = (Discovery::start(), bind());
    let at = host.local_addr().expect("an address");
    let known = list(1, true, &[target("s-1", at, "ready", 0)]);
    let dispatcher = Dispatcher::start(discovery.at, &settings(0.0, 2.0), &known, Some(FUNCTIONS));
    let mut client = Gear::new(dispatcher.gearman.expect("the front is on"));
    let handle = client.submit("portal", "", "data");
    let mut upstream = Peer::accept(&host);
    let request = upstream.read().expect("a request");
    assert_eq!(request.start, "POST /api/view HTTP/1.1");
    assert_eq!(request.body, b"data");
    upstream.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    let id = request.header("x-call-id").expect("an id");
    assert_eq!(dispatcher.call_back(id, "s-1", r#""state":"done","result":"seen""#), 204);
    assert_eq!(client.expect(WORK_COMPLETE), [handle.as_str(), "seen"]);
}

/// A worker that has just registered is cold: work beyond what it can do at that moment stays away from it,
/// however idle it is, but for one job that shows how long such jobs are; a warm one gets it all.
#[rstest]
#[case::warm("0.0", 0.3, 10)]
#[case::cold("600.0", 2.0, 1)]
fn a_cold_worker_is_not_pushed_over(#[case] cold_s: &str, #[case] promise_s: f64, #[case] may: usize) {
    let functions = FUNCTIONS.replace("cold_s = 0.0", &format!("cold_s = {cold_s}"));
    let world = world_with(&functions, promise_s);
    let (mut worker, mut client) = (world.worker(&["brief"]), world.client());
    let crowd = 10;
    (0..crowd).for_each(|_| client.send(SUBMIT_JOB, &["brief", "", "data"]));
    // The worker serves as fast as it is woken, until the dispatcher ends.
    let serving = std::thread::spawn(move || {
        while let Some(job) = worker.next_job() {
            let _ = worker.try_send(WORK_COMPLETE, &[&job[0], "ok"]);
            let _ = worker.try_send(GRAB_JOB, &[]);
        }
    });
    let (mut created, mut served, mut failed) = (0, 0, 0);
    while created < crowd || served + failed < crowd {
        match client.read().0 {
            JOB_CREATED => created += 1,
            WORK_COMPLETE => served += 1,
            WORK_FAIL => failed += 1,
            _ => {}
        }
    }
    drop(world);
    serving.join().expect("the worker ends");
    assert_eq!(served, may);
}

/// Silence and halves of packets: such connections used to stay for an hour, and at the most nobody else came in.
/// They end within 3 s, and sooner where there are too many; a worker that sleeps stays.
#[rstest]
fn who_sends_no_packet_is_not_kept(world: World) {
    let connected = std::time::Instant::now();
    let mut half = world.peer();
    half.0.write_all(b"\0REQ\0\0").expect("it is written");
    let mut worker = world.worker(&["view"]);
    let _silent: Vec<Gear> = (0..600).map(|_| world.peer()).collect();
    let mut client = world.client();
    let handle = client.submit("view", "u", "data");
    let job = worker.take();
    worker.send(WORK_COMPLETE, &[&job[0], "done"]);
    assert_eq!(client.expect(WORK_COMPLETE), [&handle, "done"]);
    assert_eq!(half.try_read(), None);
    assert!(connected.elapsed().as_secs_f64() < 3.0);
}
