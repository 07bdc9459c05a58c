//! Discovery: formats of the endpoint list, silent watches and pushed lists. Each test plays the discovery service and
//! writes its HTTP responses byte by byte.

mod common;
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

/// The request line of a watch from version 7 on.
const WATCH_REQUEST: &str = "GET /registry/instances?watch=1&after=7 HTTP/1.1";

/// Starts a dispatcher whose cached endpoint list has these hosts, and accepts its first watch.
fn dispatcher_with_watch(settings: &str, hosts: &[&Host]) -> (Host, Dispatcher, Peer) {
    let service = Host::new("discovery");
    let known: Vec<String> = hosts.iter().map(|h| h.line("ready")).collect();
    let at = service.listener.local_addr().expect("an address");
    let start = Start { admin: true, ..Start::new(at, settings, "") };
    let known = list(7, true, &known);
    let dispatcher = Dispatcher::launch(Start { known: &known, ..start });
    let (mut watch, call) = service.request();
    assert_eq!(call.start, WATCH_REQUEST);
    watch.write(WATCH_RESPONSE);
    (service, dispatcher, watch)
}

/// The same JSON, indented over many lines.
fn pretty_json(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("JSON");
    serde_json::to_string_pretty(&value).expect("text")
}

/// A watch event may be indented JSON over many lines, in chunks of any length. An invalid event is dropped and counted, and
/// the last valid list stays in use. Regression: indented events were parsed and dropped line by line, and a drain was missed.
#[rstest]
#[case::one_piece(1 << 20)]
#[case::pieces(33)]
fn an_indented_event_is_applied_and_an_invalid_event_is_dropped(#[case] piece: usize) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_service, dispatcher, mut watch) = dispatcher_with_watch(&settings(0.0, 2.0), &[&first]);
    let lists = [
        pretty_json(&list(9, true, &[]))[..20].to_owned(),
        "{\"rev\":8,\"all\":true,\"targets\":{}}".into(),
        pretty_json(&list(8, false, &[first.line("draining"), second.line("ready")])),
    ];
    for piece in lists.join("\n").as_bytes().chunks(piece) {
        watch.write(&chunk(std::str::from_utf8(piece).expect("ASCII")));
    }
    let mut client = Peer::new(connect(dispatcher.http));
    // The event is applied once the list has two hosts, one of which is draining.
    let sent_at = Instant::now();
    while !dispatcher.call("METRICS")[0].contains(r#""cluster_size":2"#) {
        assert!(sent_at.elapsed() < PATIENCE);
    }
    assert!(dispatcher.call("METRICS")[0].contains(r#""lists_spoilt":2"#));
    client.ask("c1", "look", 10.0);
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
}

/// A silent watch is reopened early enough for an event to arrive within 6 s, also when it falls silent within an event.
/// Regression: silence was detected after 3 s, and never while an incomplete list trickled in.
#[rstest]
#[case::after_a_list(false)]
#[case::within_a_list_that_trickles_in(true)]
fn a_silent_watch_is_reopened_within_five_seconds(#[case] trickles: bool) {
    let host = Host::new("s-1");
    let large_fleet = settings(0.0, 2.0).replace(r#""fleetSize":1,"me":0"#, r#""fleetSize":300,"me":299"#);
    let (service, _dispatcher, mut watch) = dispatcher_with_watch(&large_fleet, &[&host]);
    watch.write(&chunk(&(list(8, false, &[]) + "\n")));
    let silent_since = Instant::now();
    let (called, calls) = std::sync::mpsc::channel();
    std::thread::spawn(move || called.send(service.request()));
    let (_peer, call) = loop {
        if trickles {
            watch.write(&chunk("{\"rev\":9,\"all\":false,\"targets\":["));
        }
        match calls.recv_timeout(Duration::from_millis(5)) {
            Ok(call) => break call,
            Err(_) => assert!(silent_since.elapsed() < PATIENCE),
        }
    };
    let took = silent_since.elapsed().as_secs_f64();
    assert!((2.4..5.0).contains(&took), "{took}");
    assert_eq!(call.start, WATCH_REQUEST.replace('7', "8"));
}

/// A watch event with an older version than the last one is not applied. Regression: it was, and a draining host was in use
/// again.
#[rstest]
fn an_event_with_an_older_version_is_not_applied() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (service, dispatcher, mut watch) = dispatcher_with_watch(&settings(0.0, 2.0), &[&first, &second]);
    watch.write(&chunk(&(list(9, false, &[first.line("draining")]) + "\n")));
    watch.write(&chunk(&(list(8, false, &[first.line("ready")]) + "\n")));
    let (mut again, call) = service.request();
    assert_eq!(call.start, "GET /registry/instances HTTP/1.1");
    let mut client = dispatcher.ask("c1", "look", 10.0);
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
    let whole = list(3, true, &[first.line("ready")]);
    again.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len()));
    assert_eq!(again.read().expect("a call").start, WATCH_REQUEST.replace('7', "3"));
    assert_eq!(dispatcher.call_back("c1", "s-2", r#""state":"done","result":"r""#), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// With pushed lists (`automatic` discovery) a dispatcher is notified of a change as soon as its agent has it, so the watch is
/// opened at once and reopened as soon as it breaks. Regression: no watch was opened, and draining hosts received requests.
#[rstest]
fn with_pushed_lists_a_watch_is_reopened_as_soon_as_it_breaks() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let pushed = settings(0.0, 2.0).replace(r#""discovery":"subscribe""#, r#""discovery":"automatic""#);
    let pushed = pushed.replace(r#""fleetSize":1,"me":0"#, r#""fleetSize":300,"me":299"#);
    let started = Instant::now();
    let (service, dispatcher, mut watch) = dispatcher_with_watch(&pushed, &[&first]);
    assert!(started.elapsed() < Duration::from_secs(2));
    for rev in 8..11 {
        watch.write(&chunk(&(list(rev, false, &[]) + "\n")));
        drop(watch);
        let broken_at = Instant::now();
        let (peer, call) = service.request();
        assert!(broken_at.elapsed() < Duration::from_millis(900));
        assert_eq!(call.start, WATCH_REQUEST.replace('7', &rev.to_string()));
        watch = peer;
        watch.write(WATCH_RESPONSE);
    }
    watch.write(&chunk(&(list(11, true, &[first.line("draining"), second.line("ready")]) + "\n")));
    while !dispatcher.call("METRICS")[0].contains(r#""cluster_size":2"#) {
        assert!(started.elapsed() < PATIENCE);
    }
    let _client = dispatcher.ask("c1", "look", 10.0);
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
}

/// Whether the readiness check succeeds.
fn is_ready(dispatcher: &Dispatcher) -> bool {
    let mut peer = Peer::new(connect(dispatcher.http));
    peer.write("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    peer.read().expect("an answer").status() == 200
}

/// With only a cached endpoint list nothing is sent and the process is not ready until the discovery service has answered or
/// rejected the first watch. Regression: requests went to hosts that had been draining since the list was cached.
#[rstest]
#[case::answered(true)]
#[case::refused(false)]
fn a_cached_list_is_used_only_after_the_discovery_service_responds(#[case] answers: bool) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let service = Host::new("discovery");
    let at = service.listener.local_addr().expect("an address");
    let known = list(7, true, &[first.line("ready")]);
    let dispatcher =
        Dispatcher::launch(Start { known: &known, admin: true, ..Start::new(at, &settings(0.0, 2.0), "") });
    let (mut watch, call) = service.request();
    assert_eq!(call.start, WATCH_REQUEST);
    let _client = dispatcher.ask("c1", "look", 10.0);
    assert!(!is_ready(&dispatcher));
    if answers {
        let changes = list(8, false, &[first.line("draining"), second.line("ready")]);
        watch.write(&(WATCH_RESPONSE.to_owned() + &chunk(&(changes + "\n"))));
        assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
    } else {
        watch.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(first.take().1.header("x-call-id"), Some("c1"));
    }
    assert!(is_ready(&dispatcher));
}

/// A watch request that is never answered is repeated early enough for an event to arrive within 6 s of the first request.
/// Regression: with 300 dispatchers it counted as queued at the service, and the next one came 6 s after its end.
#[rstest]
fn an_unanswered_watch_request_is_repeated_within_five_seconds() {
    let host = Host::new("s-1");
    let large_fleet = settings(0.0, 2.0).replace(r#""fleetSize":1,"me":0"#, r#""fleetSize":300,"me":299"#);
    let service = Host::new("discovery");
    let at = service.listener.local_addr().expect("an address");
    let known = list(7, true, &[host.line("ready")]);
    let _dispatcher = Dispatcher::launch(Start { known: &known, ..Start::new(at, &large_fleet, "") });
    let (_silent, call) = service.request();
    let started = Instant::now();
    assert_eq!(call.start, WATCH_REQUEST);
    let (_again, call) = service.request();
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    assert_eq!(call.start, WATCH_REQUEST);
}

/// After the discovery service has moved, a dispatcher first opens a watch for the changes. As the versions of the new service
/// may differ, the complete list is polled later. Regression: all dispatchers polled the complete list at once and overloaded
/// the service.
#[rstest]
fn after_discovery_moves_the_complete_list_is_polled_later() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (before, moved) = (Host::new("discovery"), Host::new("moved"));
    let address = |host: &Host| host.listener.local_addr().expect("an address");
    let known = list(7, true, &[first.line("ready")]);
    let operator = Some("[start]\nresync_after_s = 0.2\n");
    let settings = settings(0.0, 2.0);
    let dispatcher =
        Dispatcher::launch(Start { known: &known, operator, ..Start::new(address(&before), &settings, "") });
    let (mut watch, _) = before.request();
    watch.write(&(WATCH_RESPONSE.to_owned() + &chunk(&(list(7, false, &[]) + "\n"))));
    dispatcher.reload(&address(&before).to_string(), &address(&moved).to_string());
    let (mut watch, call) = moved.request();
    assert_eq!(call.start, WATCH_REQUEST);
    watch.write(&(WATCH_RESPONSE.to_owned() + &chunk(&(list(9, false, &[]) + "\n"))));
    let (mut whole, call) = moved.request();
    assert_eq!(call.start, "GET /registry/instances HTTP/1.1");
    // A list of thousands of hosts. Regression: lists were limited to 64 KiB.
    let mut lines = vec![second.line("ready")];
    lines.extend((0..3000).map(|i| target(&format!("gone-{i}"), address(&before), "draining", 0)));
    let hosts = list(9, true, &lines);
    assert!(hosts.len() > 300_000);
    whole.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{hosts}", hosts.len()));
    assert_eq!(whole.read().expect("a call").start, WATCH_REQUEST.replace('7', "9"));
    let _client = dispatcher.ask("c1", "look", 10.0);
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
}
