//! Request ids while two processes of an upgrade accept on one listener. Each test chooses the process that accepts a
//! connection by stopping the other one meanwhile.

mod common;
use common::*;
use roselock_rig::process::Signal;
use rstest::rstest;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

const DONE_FIELDS: &str = r#""state":"done","result":"r""#;
/// The time that a client waits, in seconds.
const BUDGET_S: f64 = 10.0;

/// The two processes of an upgrade.
struct Upgrade {
    old: Dispatcher,
    new: Dispatcher,
    at: SocketAddr,
    _discovery: MockDiscovery,
}

impl Upgrade {
    /// Starts both processes, each with this state of the host in its cached list.
    fn start(host: &Host, state_at_old: &str, state_at_new: &str) -> Upgrade {
        let listener = bind();
        let at = listener.local_addr().expect("no local address");
        let discovery = MockDiscovery::start();
        let settings = settings(0.0, 2.0);
        let launch = |state: &str, tmp| {
            let cached_list = endpoint_list(7, true, &[host.list_entry(state)]);
            let inherited: TcpListener = listener.try_clone().expect("cannot clone listener");
            Dispatcher::launch(StartOptions {
                admin: true,
                inherited_listener: Some(inherited),
                tmp,
                ..StartOptions::new(discovery.address, &settings, &cached_list)
            })
        };
        let old = launch(state_at_old, None);
        let new = launch(state_at_new, Some(old.tmp.clone()));
        Upgrade { old, new, at, _discovery: discovery }
    }

    /// The process with the open request, and the other one.
    fn owner_and_other(&self, is_old_owner: bool) -> (&Dispatcher, &Dispatcher) {
        if is_old_owner { (&self.old, &self.new) } else { (&self.new, &self.old) }
    }

    /// Sends a client's request on a new connection.
    fn send_request(&self, id: &str, budget: f64) -> HttpPeer {
        let mut client = HttpPeer::new(connect(self.at));
        client.send_request(id, "pay", budget);
        client
    }

    /// Sends a request and returns the status of its answer.
    fn status_of(&self, id: &str) -> u16 {
        self.send_request(id, BUDGET_S).read().expect("no response").status()
    }
}

/// Stops a process, and waits until each of its threads has stopped.
fn stop(dispatcher: &Dispatcher) {
    dispatcher.process.signal(Signal::SIGSTOP).expect("cannot stop process");
    let since = Instant::now();
    while !thread_states(dispatcher.process.id()).iter().all(|state| *state == 'T') {
        assert!(since.elapsed() < WAIT_TIMEOUT, "the process has not stopped");
        std::thread::yield_now();
    }
}

/// Kills a process, and waits until it has ended.
fn kill(dispatcher: &mut Dispatcher) {
    dispatcher.process.signal(Signal::SIGKILL).expect("cannot kill process");
    dispatcher.process.wait_for_exit().expect("the process has not ended");
}

/// The states of the threads of a process, as the operating system abbreviates them.
fn thread_states(process: u32) -> Vec<char> {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).expect("no such process");
    let state = |thread: std::io::Result<std::fs::DirEntry>| {
        let path = thread.expect("cannot list threads").path().join("stat");
        let stat = std::fs::read_to_string(path).unwrap_or_default();
        // The name before it, in parentheses, may contain any character.
        stat.rsplit_once(") ").and_then(|(_, fields)| fields.chars().next())
    };
    threads.filter_map(state).collect()
}

/// Runs `action` while a process is stopped, so that the other one accepts all connections.
fn while_stopped<T>(stopped: &Dispatcher, action: impl FnOnce() -> T) -> T {
    stop(stopped);
    let result = action();
    stopped.process.signal(Signal::SIGCONT).expect("cannot continue process");
    result
}

/// Asserts that no further connection has been made to a host.
fn assert_no_further_attempt(host: &Host) {
    host.listener.set_nonblocking(true).expect("cannot set non-blocking");
    let accepted = host.listener.accept().map(|(_, from)| from).map_err(|error| error.kind());
    assert_eq!(accepted, Err(ErrorKind::WouldBlock));
    host.listener.set_nonblocking(false).expect("cannot set blocking");
}

/// Guards against a payment that runs twice (review/1): the process without an open request took another request with
/// its id, and sent it to a worker. It rejects the id while the request is open and after it has ended.
#[rstest]
fn an_open_id_is_rejected_by_the_other_process_of_an_upgrade(#[values(true, false)] is_old_owner: bool) {
    let host = Host::new("s-1");
    let upgrade = Upgrade::start(&host, "ready", "ready");
    let (owner, other) = upgrade.owner_and_other(is_old_owner);
    let mut client = while_stopped(other, || {
        let client = upgrade.send_request("c1", BUDGET_S);
        owner.wait_for_metric("/current", 1.into());
        client
    });
    let (_peer, _) = host.accept_job();
    assert_eq!(while_stopped(owner, || upgrade.status_of("c1")), 409);
    assert_eq!(owner.send_callback("c1", "s-1", DONE_FIELDS), 204);
    let answer = client.read().expect("no response");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"r"[..]));
    assert_eq!(while_stopped(owner, || upgrade.status_of("c1")), 409);
    assert_no_further_attempt(&host);
}

/// Guards against an id that is rejected though its request never ran: a request that ends without an attempt releases
/// its id, and so does one whose process is killed before an attempt.
#[rstest]
fn an_id_that_was_never_sent_can_be_used_at_the_other_process(#[values(true, false)] is_killed: bool) {
    let host = Host::new("s-1");
    let mut upgrade = Upgrade::start(&host, "draining", "ready");
    let budget = if is_killed { BUDGET_S } else { 0.3 };
    let mut first = while_stopped(&upgrade.new, || {
        let client = upgrade.send_request("c1", budget);
        upgrade.old.wait_for_metric("/current", 1.into());
        client
    });
    if is_killed {
        assert_eq!(while_stopped(&upgrade.old, || upgrade.status_of("c1")), 409, "it is still open");
        kill(&mut upgrade.old);
        assert!(first.read().is_none(), "an answer of a killed process");
    } else {
        let status = first.read().expect("no response").status();
        assert!([500, 503, 504].contains(&status), "{status}");
        stop(&upgrade.old);
    }
    let mut again = upgrade.send_request("c1", BUDGET_S);
    let (_peer, _) = host.accept_job();
    assert_eq!(upgrade.new.send_callback("c1", "s-1", DONE_FIELDS), 204);
    assert_eq!(again.read().expect("no response").status(), 200);
}

/// Guards against a payment that runs twice after a kill: the worker may still run what the killed process has sent.
#[rstest]
fn an_id_that_was_sent_is_rejected_after_its_process_was_killed() {
    let host = Host::new("s-1");
    let mut upgrade = Upgrade::start(&host, "ready", "ready");
    let (mut client, _peer) = while_stopped(&upgrade.new, || {
        let client = upgrade.send_request("c1", BUDGET_S);
        (client, host.accept_job().0)
    });
    kill(&mut upgrade.old);
    assert!(client.read().is_none(), "an answer of a killed process");
    assert_eq!(upgrade.status_of("c1"), 409);
    assert_no_further_attempt(&host);
}
