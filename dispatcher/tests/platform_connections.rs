//! Connections of the platform's front and of upstream hosts: idle ones, floods, large bodies, and lost
//! connections.

mod common;
use common::platform::{DONE, world};
use common::*;
use rstest::rstest;

/// A client that sends nothing or part of a request gets an error or a close within 3 s, and one that sends
/// invalid input gets it at once, however much it sends. No such connection is kept.
#[rstest]
#[case::nothing("", 0, None)]
#[case::half_a_head("POST /api/u HT", 0, Some(408))]
#[case::half_a_body("POST /api/u HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", 0, Some(408))]
#[case::no_id("POST /api/u HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 0, Some(400))]
#[case::much("POST /api/u HTTP/1.1\r\nContent-Length: 300000\r\n\r\n", 200_000, Some(413))]
#[case::chunk("POST /api/u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8;", 2_000, Some(400))]
#[case::large_chunk("POST /api/u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", 0, Some(413))]
fn a_connection_without_a_valid_request_is_closed(
    #[case] input: &str,
    #[case] more: usize,
    #[case] status: Option<u16>,
) {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let connected = std::time::Instant::now();
    let mut client = Peer::new(connect(dispatcher.http));
    client.write(input);
    client.write(&"x".repeat(more));
    assert_eq!(client.read().map(|answer| answer.status()), status);
    assert!(client.ended());
    assert!(connected.elapsed().as_secs_f64() < 3.0);
}

/// In a flood of connections that stay after one request, or never send one, those are shed first: before
/// clients that have been served, and before clients that wait for an answer.
#[rstest]
#[case::silent("")]
#[case::refused(
    "POST /api/u HTTP/1.1\r\nX-Call-Id: c1\r\nX-Call-Class: pay\r\nX-Budget: 9\r\nContent-Length: 0\r\n\r\n"
)]
#[case::ready("GET /health/ready HTTP/1.1\r\n\r\n")]
fn a_connection_flood_does_not_block_clients(#[case] input: &str) {
    let (discovery, host) = (Discovery::start(), Host::new("s-1"));
    let known = list(7, true, &[host.line("ready")]);
    let dispatcher =
        Dispatcher::start_within((192, 128), discovery.at, &settings(0.0, 2.0), &known, None, None);
    let done = r#""state":"done","result":"r","load":{"x0":9}"#;
    let mut served = dispatcher.ask("c0", "look", 10.0);
    let (mut peer, _) = host.take();
    assert_eq!(dispatcher.call_back("c0", "s-1", done), 204);
    assert_eq!(served.read().expect("an answer").status(), 200);
    let mut in_flight = dispatcher.ask("c1", "pay", 10.0);
    assert_eq!(peer.read().expect("a request").header("x-call-id"), Some("c1"));
    peer.write(TAKEN);
    let _flood: Vec<Peer> = (0..400)
        .map(|_| {
            let mut peer = Peer::new(connect(dispatcher.http));
            peer.write(input);
            peer
        })
        .collect();
    let mut late = dispatcher.ask("c2", "look", 10.0);
    assert_eq!(peer.read().expect("a request").header("x-call-id"), Some("c2"));
    peer.write(TAKEN);
    for (id, client) in [("c1", &mut in_flight), ("c2", &mut late)] {
        assert_eq!(dispatcher.call_back(id, "s-1", done), 204);
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    // Connections with a stream in flight are identified; then the served client may be shed before them.
    if input.contains("c1") {
        return;
    }
    served.ask("c3", "look", 10.0);
    assert_eq!(peer.read().expect("a request").header("x-call-id"), Some("c3"));
    assert_eq!(dispatcher.call_back("c3", "s-1", done), 204);
    assert_eq!(served.read().expect("an answer").status(), 200);
}

/// Large bodies share the configured memory: a request for which none is left gets Retry-After, and the
/// memory of a client that disconnects is free again. The process itself occupies little: the stacks of
/// coroutines are not all allocated at the start.
#[rstest]
fn bodies_share_the_configured_memory() {
    let (discovery, host) = (Discovery::start(), Host::new("s-1"));
    let known = list(7, true, &[host.line("ready")]);
    let dispatcher =
        Dispatcher::start_within((1, 256), discovery.at, &settings(0.0, 2.0), &known, None, None);
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", dispatcher.process.id())).expect("its status");
    let own = status.lines().find_map(|l| l.strip_prefix("RssAnon:")).expect("a line");
    let own: usize = own.trim().trim_end_matches(" kB").parse().expect("a figure");
    assert!(own < 6_000, "{own} kB");
    let head = "X-Call-Id: c1\r\nX-Call-Class: look\r\nX-Budget: 10\r\nContent-Length: 60000\r\n\r\n";
    let ask = |_| {
        let mut peer = Peer::new(connect(dispatcher.http));
        peer.write(&format!("POST /api/u HTTP/1.1\r\n{head}"));
        peer
    };
    let in_flight: Vec<Peer> = (0..9).map(ask).collect();
    let answer = ask(9).read().expect("an answer");
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("1")));
    drop(in_flight);
    std::thread::scope(|threads| {
        threads.spawn(|| {
            assert_eq!(host.take().1.body.len(), 60_000);
            assert_eq!(dispatcher.call_back("c1", "s-1", DONE), 204);
        });
        let statuses = (0..100_000).map(|_| {
            let mut peer = ask(10);
            peer.write(&"x".repeat(60_000));
            peer.read().expect("an answer").status()
        });
        assert_eq!(statuses.into_iter().find(|status| *status != 503), Some(200));
    });
}

/// Some connections are reserved for withdrawals: with all of them in use, the payment of a client that has
/// disconnected would run on.
#[rstest]
fn connections_are_reserved_for_withdrawals() {
    let (discovery, host) = (Discovery::start(), Host::new("s-0"));
    let others: Vec<Host> = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8"].map(Host::new).into();
    let known = list(7, true, &[host.line("ready")]);
    let dispatcher =
        Dispatcher::start_within((192, 40), discovery.at, &settings(0.0, 9.0), &known, None, None);
    let leaving_client = dispatcher.ask("c0", "pay", 15.0);
    host.request().0.write(&TAKEN.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    assert_eq!(dispatcher.call_back("c0", "s-0", r#""state":"started""#), 204);
    let lines: Vec<String> = others.iter().map(|h| h.line("ready")).chain([host.line("draining")]).collect();
    discovery.lines.send(Some(list(8, false, &lines))).expect("a watch");
    discovery.lines.send(None).expect("a watch");
    // The second watch continues after it: the event has been applied before any request.
    for rev in [7, 8] {
        let after = format!("GET /registry/instances?watch=1&after={rev} HTTP/1.1");
        assert_eq!(discovery.asked.recv_timeout(PATIENCE), Ok(after));
    }
    let (arrived, arrivals) = std::sync::mpsc::channel();
    for other in others {
        let arrived = arrived.clone();
        std::thread::spawn(move || {
            // None of them is answered, and none is closed.
            let mut busy = Vec::new();
            loop {
                busy.push(other.request());
                let _ = arrived.send(());
            }
        });
    }
    let _clients: Vec<Peer> =
        (1..=10).map(|number| dispatcher.ask(&format!("c{number}"), "look", 15.0)).collect();
    (0..7).for_each(|_| arrivals.recv_timeout(PATIENCE).expect("a request"));
    let left = std::time::Instant::now();
    drop(leaving_client);
    assert_eq!(host.request().1.start, "DELETE /jobs/c0 HTTP/1.1");
    assert!(left.elapsed().as_secs_f64() < 10.0);
}

/// A host may lose idle connections without closing them, and a payment sent on one would be lost. One lost
/// connection makes others of its age suspect: the payment is sent on a new one.
#[rstest]
fn no_payment_is_sent_on_a_suspect_idle_connection() {
    let hosts = [Host::new("s-1"), Host::new("s-2")];
    let (_discovery, dispatcher) = world(&[&hosts[0], &hosts[1]]);
    let idle = || {
        let since = std::time::Instant::now();
        while since.elapsed().as_secs_f64() < 0.1 {
            assert_eq!(dispatcher.call_back("none", "s-1", DONE), 204);
        }
    };
    // Accepts and completes the next request, which must come on a new connection to either host.
    let expect_on_new_connection = |client: &mut Peer, id: &str| {
        let (mut peer, request, host) = accept_either(&hosts[0], &hosts[1]);
        assert_eq!(request.header("x-call-id"), Some(id));
        peer.write(TAKEN);
        assert_eq!(dispatcher.call_back(id, host.uid, DONE), 204);
        assert_eq!(client.read().expect("an answer").status(), 200);
        peer
    };
    let mut client = dispatcher.ask("c1", "look", 10.0);
    let mut first = expect_on_new_connection(&mut client, "c1");
    idle();
    client.ask("c2", "look", 10.0);
    assert_eq!(first.read().expect("a request").header("x-call-id"), Some("c2"));
    drop(first);
    // Its worker may still report on it, so it is sent to the other one.
    let _second = expect_on_new_connection(&mut client, "c2");
    idle();
    client.ask("c3", "pay", 10.0);
    let _third = expect_on_new_connection(&mut client, "c3");
}
