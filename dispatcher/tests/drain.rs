//! Nothing new is sent to a worker that drains or is suspended, 500 ms after the notification, however the dispatcher is held up in
//! between. A library that is preloaded into the dispatcher holds the thread of the coroutines, as a shortage of processor time
//! does.

mod common;
use common::faults::Faults;
use common::gearman::{GRAB_JOB, GearmanPeer, NO_JOB, NOOP};
use common::http_front::DONE_FIELDS;
use common::*;
use rstest::rstest;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long after a notification a request may still be sent.
const GRACE: Duration = Duration::from_millis(500);
/// How long the thread of the coroutines is held: longer than [`GRACE`].
const HOLD_MS: u64 = 600;

/// The file that holds reads of a dispatcher.
struct Hold(PathBuf);

impl Hold {
    /// A file for one test. Nothing is held until [`Hold::begin`].
    fn new(test: &str) -> Hold {
        Hold(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{}", std::process::id())))
    }
    fn faults(&self) -> Faults {
        Faults::new().with("FAULT_HOLD_RECV", self.0.display())
    }
    /// Holds the reads on connections with this port at either end from now on.
    fn begin(&self, port: u16) {
        // The dispatcher must not read half of the file.
        let new = self.0.with_extension("new");
        std::fs::write(&new, format!("{port} {HOLD_MS}")).expect("cannot write file");
        std::fs::rename(&new, &self.0).expect("cannot rename file");
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Starts a dispatcher with an admin address that logs each attempt, and whose cached endpoint list has this host.
fn launch(discovery: &MockDiscovery, host: &Host, tmp: Option<PathBuf>, hold: &Hold) -> Dispatcher {
    let (settings, cached_list) = (settings(0.0, 2.0), endpoint_list(7, true, &[host.list_entry("ready")]));
    let options = StartOptions::new(discovery.address, &settings, &cached_list);
    let operator = Some("[log]\nlevel = \"debug\"\n");
    Dispatcher::launch(StartOptions { admin: true, operator, tmp, faults: Some(hold.faults()), ..options })
}

/// Serves one request, after which the connection to the host is idle. Returns the host's end of it.
fn leave_an_idle_connection(dispatcher: &Dispatcher, host: &Host) -> HttpPeer {
    let mut client = dispatcher.send_request("c1", "look", 10.0);
    let (peer, _) = host.accept_job();
    assert_eq!(dispatcher.send_callback("c1", host.uid, DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
    peer
}

/// The port of the host's end of a connection.
fn port(host: &Host) -> u16 {
    host.listener.local_addr().expect("no local address").port()
}

/// Waits until the grace period after a notification is over.
fn wait_for_grace(notified_at: Instant) {
    while notified_at.elapsed() < GRACE {
        std::thread::yield_now();
    }
}

/// Asserts that the next request that either host receives has this id, and is at the second one.
fn assert_received_by_second(id: &str, first: &Host, second: &Host) {
    let (_peer, request, host) = accept_either(first, second);
    assert_eq!((request.header("x-call-id"), host.uid), (Some(id), second.uid));
}

/// Whether a request arrives at the host, on this connection or on a new one, later than [`GRACE`] after the notification.
/// Waits for several holds in a row.
fn is_sent_late(host: &Host, idle: &mut HttpPeer, notified_at: Instant) -> bool {
    let until = notified_at + 6 * Duration::from_millis(HOLD_MS);
    host.listener.set_nonblocking(true).expect("cannot set non-blocking mode");
    let idle_stream = idle.0.get_ref();
    idle_stream.set_nonblocking(true).expect("cannot set non-blocking mode");
    while Instant::now() < until {
        let is_sent = matches!(idle_stream.peek(&mut [0]), Ok(bytes) if bytes > 0);
        if (is_sent || host.listener.accept().is_ok()) && notified_at.elapsed() > GRACE {
            return true;
        }
        std::thread::yield_now();
    }
    false
}

/// Guards against a request that is sent to a suspended worker (issue 53): an attempt that waited for its coroutine on a reused
/// connection counted as written, so the suspension did not cancel it.
#[rstest]
fn an_attempt_that_waits_on_a_reused_connection_is_cancelled_by_a_suspension() {
    let (discovery, host) = (MockDiscovery::start(), Host::new("s-1"));
    let hold = Hold::new("suspension");
    let mut dispatcher = launch(&discovery, &host, None, &hold);
    // The other process of an upgrade, which is not held.
    let other = launch(&discovery, &host, Some(dispatcher.tmp.clone()), &Hold::new("nothing"));
    let mut idle = leave_an_idle_connection(&dispatcher, &host);
    hold.begin(port(&host));
    let _client = dispatcher.send_request("c2", "look", 10.0);
    dispatcher.wait_for_log("id=\"c2\" worker=\"s-1\"");
    assert_eq!(other.admin_call("SUSPEND s-1"), ["+OK s-1 out"]);
    assert!(!is_sent_late(&host, &mut idle, Instant::now()), "the request was sent to the suspended worker");
}

/// Guards against requests to a draining worker (issue 53): a list was applied only with the end of its chunk, which may come later
/// than the list, or never if the watch falls silent within the chunk.
#[rstest]
fn a_list_is_applied_before_the_end_of_its_chunk() {
    let (service, first, second) = (Host::new("discovery"), Host::new("s-1"), Host::new("s-2"));
    let cached_list = endpoint_list(7, true, &[first.list_entry("ready")]);
    let address = service.listener.local_addr().expect("no local address");
    let settings = settings(0.0, 2.0);
    let options = StartOptions::new(address, &settings, &cached_list);
    let dispatcher = Dispatcher::launch(StartOptions { admin: true, ..options });
    let (mut watch, _) = service.accept_request();
    let change = endpoint_list(8, false, &[first.list_entry("draining"), second.list_entry("ready")]) + "\n";
    let with_end = chunk(&change);
    watch.write(&(WATCH_RESPONSE.to_owned() + with_end.strip_suffix("\r\n").expect("no end of the chunk")));
    wait_for_grace(Instant::now());
    let _client = dispatcher.send_request("c1", "look", 10.0);
    assert_received_by_second("c1", &first, &second);
}

/// Guards against the same with a complete list: it was applied only with the end of the response.
#[rstest]
fn a_complete_list_is_applied_before_the_end_of_its_response() {
    let (service, first, second) = (Host::new("discovery"), Host::new("s-1"), Host::new("s-2"));
    let cached_list = endpoint_list(7, true, &[first.list_entry("ready")]);
    let address = service.listener.local_addr().expect("no local address");
    let settings = settings(0.0, 2.0);
    let dispatcher = Dispatcher::launch(StartOptions::new(address, &settings, &cached_list));
    let (mut watch, _) = service.accept_request();
    // Changes of an older revision, after which the complete list is fetched.
    watch.write(&(WATCH_RESPONSE.to_owned() + &chunk(&(endpoint_list(6, false, &[]) + "\n"))));
    let (mut answer, call) = service.accept_request();
    assert_eq!(call.start, "GET /registry/instances HTTP/1.1");
    let current = endpoint_list(8, true, &[first.list_entry("draining"), second.list_entry("ready")]);
    answer.write(&(WATCH_RESPONSE.to_owned() + &chunk(&current)));
    wait_for_grace(Instant::now());
    let _client = dispatcher.send_request("c1", "look", 10.0);
    assert_received_by_second("c1", &first, &second);
}

/// Guards against requests to a worker that drains unnoticed (issue 53): an attempt that waited for a descriptor was sent after the
/// endpoint list had expired.
#[rstest]
fn an_attempt_that_waits_for_a_descriptor_ends_with_the_list() {
    let (service, host) = (Host::new("discovery"), Host::new("s-1"));
    let cached_list = endpoint_list(7, true, &[host.list_entry("ready")]);
    let address = service.listener.local_addr().expect("no local address");
    let settings = settings(0.0, 2.0);
    let shortage =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("drain-shortage-{}", std::process::id()));
    let faults = Some(Faults::new().with("FAULT_SOCKET", 1).with("FAULT_WHILE", shortage.display()));
    let mut dispatcher =
        Dispatcher::launch(StartOptions { faults, ..StartOptions::new(address, &settings, &cached_list) });
    let (mut watch, _) = service.accept_request();
    watch.write(&(WATCH_RESPONSE.to_owned() + &chunk(&(endpoint_list(8, false, &[]) + "\n"))));
    wait_until_ready(&dispatcher);
    std::fs::write(&shortage, "").expect("cannot write file");
    drop(watch);
    let _client = dispatcher.send_request("c1", "pay", 15.0);
    dispatcher.wait_for_log("endpoint list expired");
    let expired_at = Instant::now();
    wait_for_grace(expired_at);
    std::fs::remove_file(&shortage).expect("cannot remove file");
    host.listener.set_nonblocking(true).expect("cannot set non-blocking mode");
    while expired_at.elapsed() < 3 * GRACE {
        assert!(host.listener.accept().is_err(), "the attempt was sent after the list had expired");
        std::thread::yield_now();
    }
}

/// Guards against a job that a suspended Gearman worker gets (issue 53): a job that was reserved for the worker before the
/// suspension was kept until the worker asked for it.
#[rstest]
fn a_job_that_a_gearman_worker_has_not_grabbed_is_cancelled_by_a_suspension() {
    let discovery = MockDiscovery::start();
    let (settings, cached_list) = (settings(0.0, 2.0), endpoint_list(1, true, &[]));
    let function =
        "[[function]]\nname = \"view\"\nclass = \"look\"\ndeadline_s = 15.0\ntarget = \"gearman\"\n";
    let functions = format!("cold_s = 0.0\ngrab_s = 10.0\n{function}");
    let gearman = Some(functions.as_str());
    let options = StartOptions::new(discovery.address, &settings, &cached_list);
    let dispatcher = Dispatcher::launch(StartOptions { admin: true, gearman, ..options });
    let address = dispatcher.gearman.expect("no Gearman address");
    let mut worker = GearmanPeer::new(address);
    worker.register(&["view"]);
    let mut client = GearmanPeer::new(address);
    client.submit("view", "", "data");
    worker.expect(NOOP);
    assert_eq!(dispatcher.admin_call("SUSPEND gearman-1"), ["+OK gearman-1 out"]);
    wait_for_grace(Instant::now());
    worker.send(GRAB_JOB, &[]);
    worker.expect(NO_JOB);
}

/// Guards against requests to a worker that drained before the start (issue 53): a discovery service that answers each call after
/// 3.5 s was taken for one that is down, and the cached list was used without end.
#[rstest]
fn a_slow_discovery_service_is_waited_for_at_the_start() {
    let (service, first, second) = (Host::new("discovery"), Host::new("s-1"), Host::new("s-2"));
    let address = service.listener.local_addr().expect("no local address");
    let current = endpoint_list(8, true, &[first.list_entry("draining"), second.list_entry("ready")]) + "\n";
    std::thread::spawn(move || {
        for stream in service.listener.incoming() {
            let mut watch = HttpPeer::new(stream.expect("no connection"));
            let current = current.clone();
            std::thread::spawn(move || {
                watch.read().expect("no request");
                std::thread::sleep(Duration::from_millis(3_500));
                watch.write(&(WATCH_RESPONSE.to_owned() + &chunk(&current)));
                watch.read();
            });
        }
    });
    let cached_list = endpoint_list(7, true, &[first.list_entry("ready")]);
    let settings = settings(0.0, 2.0);
    let dispatcher = Dispatcher::launch(StartOptions::new(address, &settings, &cached_list));
    let _client = dispatcher.send_request("c1", "look", 20.0);
    assert_received_by_second("c1", &first, &second);
}
