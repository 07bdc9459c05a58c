//! All rules hold while system calls fail as Linux documents (docs/terms-audit.md). A fault injection library is
//! preloaded into the dispatcher. Every n-th call of a kind fails, so that the failures are at the same places in
//! each run.

mod common;
use common::faults::Faults;
use common::*;
use rstest::rstest;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// The requests of a run, half of which must not run twice.
const REQUESTS: usize = 200;
const CLIENTS: usize = 8;

/// Whether a request must not run twice.
fn must_run_once(id: &str) -> bool {
    id.rsplit('-').next().and_then(|n| n.parse::<usize>().ok()).is_some_and(|n| n % 2 == 1)
}

/// The attempts that the workers have received.
#[derive(Default)]
struct ReceivedAttempts {
    ids: Vec<String>,
    /// Requests that must not run twice and were received twice.
    repeated: HashSet<String>,
}

/// Serves a worker's connections for the rest of the test. It accepts each job and sends the callback for its
/// completion at once, up to ten times until one is answered.
fn serve_worker(host: Host, dispatcher: std::net::SocketAddr, received: &Arc<Mutex<ReceivedAttempts>>) {
    let received = received.clone();
    std::thread::spawn(move || {
        for stream in host.listener.incoming() {
            let (mut peer, received) = (HttpPeer::new(stream.expect("no connection")), received.clone());
            std::thread::spawn(move || {
                while let Some(request) = peer.read() {
                    let id = request.header("x-call-id").unwrap_or_default().to_owned();
                    if !request.start.starts_with("POST") {
                        peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                    {
                        let mut received = received.lock().expect("lock is poisoned");
                        if must_run_once(&id) && received.ids.contains(&id) {
                            received.repeated.insert(id.clone());
                        }
                        received.ids.push(id.clone());
                    }
                    // Each attempt opens a new connection.
                    peer.write(&ACCEPTED_RESPONSE.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
                    report_done(dispatcher, &id, host.uid);
                    return;
                }
            });
        }
    });
}

fn report_done(dispatcher: std::net::SocketAddr, id: &str, from: &str) {
    for _ in 0..10 {
        let Ok(stream) = std::net::TcpStream::connect(dispatcher) else { continue };
        let mut peer = HttpPeer::new(stream);
        let body = format!(
            r#"{{"id":"{id}","from":"{from}","state":"done","result":"made-{id}","load":{{"x0":9}}}}"#
        );
        peer.write(&format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
        if peer.read().is_some_and(|answer| answer.status() == 204) {
            return;
        }
    }
}

/// Sends a client's request. Returns the status, or `None` without a complete response.
fn send_request(at: std::net::SocketAddr, idle: &mut Option<HttpPeer>, id: &str, class: &str) -> Option<u16> {
    // The operators' page: a client retries once on a new connection if a reused one was closed.
    for _ in 0..2 {
        let is_new = idle.is_none();
        let mut peer = idle.take().or_else(|| std::net::TcpStream::connect(at).ok().map(HttpPeer::new))?;
        peer.send_request(id, class, 5.0);
        if let Some(answer) = peer.read() {
            if answer.status() == 200 {
                assert_eq!(answer.body, format!("made-{id}").as_bytes());
            }
            if answer.header("connection") != Some("close") {
                *idle = Some(peer);
            }
            return Some(answer.status());
        }
        if is_new {
            return None;
        }
    }
    None
}

/// Runs clients and three workers against a dispatcher whose system calls fail. Returns how many requests ended with
/// each status.
fn run_requests(faults: Faults) -> Vec<(Option<u16>, usize)> {
    let hosts = ["s-1", "s-2", "s-3"].map(Host::new);
    let entries: Vec<String> = hosts.iter().map(|h| h.list_entry("ready")).collect();
    let (discovery, cached_list, settings) =
        (MockDiscovery::start(), endpoint_list(7, true, &entries), settings(0.0, 2.0));
    let start = StartOptions {
        faults: Some(faults),
        ..StartOptions::new(discovery.address, &settings, &cached_list)
    };
    let dispatcher = Dispatcher::launch(start);
    let at = dispatcher.http;
    let received = Arc::<Mutex<ReceivedAttempts>>::default();
    hosts.into_iter().for_each(|host| serve_worker(host, at, &received));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            std::thread::spawn(move || {
                let mut idle = None;
                let send_nth = |n: usize| {
                    // Every fourth request uses a new connection.
                    if n.is_multiple_of(4) {
                        idle = None;
                    }
                    send_request(
                        at,
                        &mut idle,
                        &format!("c{client}-{n}"),
                        if must_run_once(&n.to_string()) { "pay" } else { "look" },
                    )
                };
                (0..REQUESTS / CLIENTS).map(send_nth).collect::<Vec<_>>()
            })
        })
        .collect();
    let statuses: Vec<Option<u16>> =
        clients.into_iter().flat_map(|client| client.join().expect("client thread panicked")).collect();
    assert!(received.lock().expect("lock is poisoned").repeated.is_empty(), "ran twice");
    let mut distinct = statuses.clone();
    distinct.sort();
    distinct.dedup();
    let count_of = |status| statuses.iter().filter(|other| **other == status).count();
    distinct.into_iter().map(|status| (status, count_of(status))).collect()
}

/// Whichever system calls fail in the dispatcher, each request is served, as its workers and clients are healthy.
#[rstest]
#[case::accept(&[("FAULT_ACCEPT", 3)])]
#[case::write(&[("FAULT_SEND", 3)])]
#[case::wait(&[("FAULT_EPOLL", 3)])]
#[case::read(&[("FAULT_RECV", 5)])]
#[case::socket(&[("FAULT_SOCKET", 3)])]
#[case::connect(&[("FAULT_CONNECT", 3)])]
#[case::all(&[
    ("FAULT_ACCEPT", 7), ("FAULT_SOCKET", 11), ("FAULT_CONNECT", 13), ("FAULT_RECV", 17), ("FAULT_SEND", 19), ("FAULT_EPOLL", 23),
])]
fn failing_system_calls_lose_no_request(#[case] kinds: &[(&'static str, u32)]) {
    let faults = kinds.iter().fold(Faults::new(), |faults, (call, every)| faults.with(call, every));
    assert_eq!(run_requests(faults), [(Some(200), REQUESTS)]);
}

/// Intermittently unreachable workers may cause rejections, but no request is lost, and no payment runs twice.
#[rstest]
fn unreachable_workers_lose_no_request() {
    let statuses = run_requests(Faults::new().with("FAULT_UNREACHABLE", 5).with("FAULT_RECV", 17));
    let served = statuses.iter().find(|(status, _)| *status == Some(200)).map_or(0, |(_, count)| *count);
    assert!(statuses.iter().all(|(status, _)| matches!(status, Some(200 | 503))), "{statuses:?}");
    assert!(served > REQUESTS / 2, "{statuses:?}");
}

/// A long shortage of file descriptors uses up no attempt and does not count as a failure of the worker. Waiting
/// requests are sent once it is over, unless their client has disconnected.
#[rstest]
fn a_long_descriptor_shortage_uses_up_no_attempt() {
    let host = Host::new("s-1");
    let (discovery, cached_list, settings) =
        (MockDiscovery::start(), endpoint_list(7, true, &[host.list_entry("ready")]), settings(0.0, 2.0));
    let shortage_file =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("short-{}", std::process::id()));
    let faults = Faults::new().with("FAULT_SOCKET", 1).with("FAULT_WHILE", shortage_file.display());
    let start = StartOptions {
        faults: Some(faults),
        admin: true,
        ..StartOptions::new(discovery.address, &settings, &cached_list)
    };
    let dispatcher = Dispatcher::launch(start);
    wait_until_ready(&dispatcher);
    std::fs::write(&shortage_file, "").expect("cannot write file");
    let mut staying_client = dispatcher.send_request("c1", "pay", 10.0);
    let leaving_client = dispatcher.send_request("c2", "pay", 10.0);
    // Longer than four attempts whose connections time out.
    let began = std::time::Instant::now();
    while !dispatcher.admin_call("METRICS")[0].contains(r#""current":2"#) {
        assert!(began.elapsed() < WAIT_TIMEOUT);
    }
    while began.elapsed().as_secs_f64() < 2.5 {
        assert!(dispatcher.admin_call("METRICS")[0].contains(r#""current":2"#));
    }
    drop(leaving_client);
    while !dispatcher.admin_call("METRICS")[0].contains(r#""current":1"#) {
        assert!(began.elapsed() < WAIT_TIMEOUT);
    }
    std::fs::remove_file(&shortage_file).expect("cannot remove file");
    let (_peer, request) = host.accept_job();
    assert_eq!(request.header("x-call-id"), Some("c1"));
    assert_eq!(dispatcher.send_callback("c1", "s-1", common::http_front::DONE_FIELDS), 204);
    assert_eq!(staying_client.read().expect("no response").status(), 200);
    assert!(dispatcher.admin_call("METRICS")[0].contains(r#""sends":1,"current":0"#));
}

/// A process that has no descriptor for its listener at the start waits for one, as an exit would count as a crash.
#[rstest]
fn the_start_waits_for_a_descriptor() {
    let host = Host::new("s-1");
    let (discovery, cached_list, settings) =
        (MockDiscovery::start(), endpoint_list(7, true, &[host.list_entry("ready")]), settings(0.0, 2.0));
    let shortage_file =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("start-{}", std::process::id()));
    std::fs::write(&shortage_file, "").expect("cannot write file");
    let faults = Faults::new().with("FAULT_SOCKET", 1).with("FAULT_WHILE", shortage_file.display());
    let marker = shortage_file.clone();
    let shortage = std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_millis(500));
        std::fs::remove_file(marker).expect("cannot remove file");
    });
    let start = StartOptions {
        faults: Some(faults),
        ..StartOptions::new(discovery.address, &settings, &cached_list)
    };
    let dispatcher = Dispatcher::launch(start);
    shortage.join().expect("shortage thread panicked");
    wait_until_ready(&dispatcher);
}
