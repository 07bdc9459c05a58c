//! Discovery: formats of the endpoint list, silent watches and pushed lists. Each test acts as the discovery service and
//! writes its HTTP responses itself.

mod common;
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

/// The request line of a watch from version 7 on.
const WATCH_REQUEST: &str = "GET /registry/instances?watch=1&after=7 HTTP/1.1";

/// Starts a dispatcher whose cached endpoint list has these hosts, and accepts its first watch.
fn dispatcher_with_watch(settings: &str, hosts: &[&Host]) -> (Host, Dispatcher, HttpPeer) {
    let service = Host::new("discovery");
    let entries: Vec<String> = hosts.iter().map(|h| h.list_entry("ready")).collect();
    let at = service.listener.local_addr().expect("no local address");
    let start = StartOptions { admin: true, ..StartOptions::new(at, settings, "") };
    let cached_list = endpoint_list(7, true, &entries);
    let dispatcher = Dispatcher::launch(StartOptions { cached_list: &cached_list, ..start });
    let (mut watch, call) = service.accept_request();
    assert_eq!(call.start, WATCH_REQUEST);
    watch.write(WATCH_RESPONSE);
    (service, dispatcher, watch)
}

/// The same JSON, indented over many lines.
fn pretty_json(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("invalid JSON");
    serde_json::to_string_pretty(&value).expect("cannot write JSON")
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
        pretty_json(&endpoint_list(9, true, &[]))[..20].to_owned(),
        "{\"rev\":8,\"all\":true,\"targets\":{}}".into(),
        pretty_json(&endpoint_list(8, false, &[first.list_entry("draining"), second.list_entry("ready")])),
    ];
    for piece in lists.join("\n").as_bytes().chunks(piece) {
        watch.write(&chunk(std::str::from_utf8(piece).expect("not ASCII")));
    }
    let mut client = HttpPeer::new(connect(dispatcher.http));
    // The event is applied once the list has two hosts, one of which is draining.
    let sent_at = Instant::now();
    while !dispatcher.admin_call("METRICS")[0].contains(r#""cluster_size":2"#) {
        assert!(sent_at.elapsed() < WAIT_TIMEOUT);
    }
    assert!(dispatcher.admin_call("METRICS")[0].contains(r#""lists_spoilt":2"#));
    client.send_request("c1", "look", 10.0);
    assert_eq!(second.accept_job().1.header("x-call-id"), Some("c1"));
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
    watch.write(&chunk(&(endpoint_list(8, false, &[]) + "\n")));
    let silent_since = Instant::now();
    let (called, calls) = std::sync::mpsc::channel();
    std::thread::spawn(move || called.send(service.accept_request()));
    let (_peer, call) = loop {
        if trickles {
            watch.write(&chunk("{\"rev\":9,\"all\":false,\"targets\":["));
        }
        match calls.recv_timeout(Duration::from_millis(5)) {
            Ok(call) => break call,
            Err(_) => assert!(silent_since.elapsed() < WAIT_TIMEOUT),
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
    watch.write(&chunk(&(endpoint_list(9, false, &[first.list_entry("draining")]) + "\n")));
    watch.write(&chunk(&(endpoint_list(8, false, &[first.list_entry("ready")]) + "\n")));
    let (mut again, call) = service.accept_request();
    assert_eq!(call.start, "GET /registry/instances HTTP/1.1");
    let mut client = dispatcher.send_request("c1", "look", 10.0);
    assert_eq!(second.accept_job().1.header("x-call-id"), Some("c1"));
    let complete_list = endpoint_list(3, true, &[first.list_entry("ready")]);
    again
        .write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{complete_list}", complete_list.len()));
    assert_eq!(again.read().expect("no call").start, WATCH_REQUEST.replace('7', "3"));
    assert_eq!(dispatcher.send_callback("c1", "s-2", r#""state":"done","result":"r""#), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
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
        watch.write(&chunk(&(endpoint_list(rev, false, &[]) + "\n")));
        drop(watch);
        let broken_at = Instant::now();
        let (peer, call) = service.accept_request();
        assert!(broken_at.elapsed() < Duration::from_millis(900));
        assert_eq!(call.start, WATCH_REQUEST.replace('7', &rev.to_string()));
        watch = peer;
        watch.write(WATCH_RESPONSE);
    }
    watch.write(&chunk(
        &(endpoint_list(11, true, &[first.list_entry("draining"), second.list_entry("ready")]) + "\n"),
    ));
    while !dispatcher.admin_call("METRICS")[0].contains(r#""cluster_size":2"#) {
        assert!(started.elapsed() < WAIT_TIMEOUT);
    }
    let _client = dispatcher.send_request("c1", "look", 10.0);
    assert_eq!(second.accept_job().1.header("x-call-id"), Some("c1"));
}

/// Makes one readiness check.
fn is_ready(dispatcher: &Dispatcher) -> bool {
    let mut peer = HttpPeer::new(connect(dispatcher.http));
    peer.write("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    peer.read().expect("no response").status() == 200
}

/// With only a cached endpoint list nothing is sent and the process is not ready until the discovery service has answered or
/// rejected the first watch. Regression: requests went to hosts that had been draining since the list was cached.
#[rstest]
#[case::answered(true)]
#[case::refused(false)]
fn a_cached_list_is_used_only_after_the_discovery_service_responds(#[case] answers: bool) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let service = Host::new("discovery");
    let at = service.listener.local_addr().expect("no local address");
    let cached_list = endpoint_list(7, true, &[first.list_entry("ready")]);
    let dispatcher = Dispatcher::launch(StartOptions {
        cached_list: &cached_list,
        admin: true,
        ..StartOptions::new(at, &settings(0.0, 2.0), "")
    });
    let (mut watch, call) = service.accept_request();
    assert_eq!(call.start, WATCH_REQUEST);
    let _client = dispatcher.send_request("c1", "look", 10.0);
    assert!(!is_ready(&dispatcher));
    if answers {
        let changes = endpoint_list(8, false, &[first.list_entry("draining"), second.list_entry("ready")]);
        watch.write(&(WATCH_RESPONSE.to_owned() + &chunk(&(changes + "\n"))));
        assert_eq!(second.accept_job().1.header("x-call-id"), Some("c1"));
    } else {
        watch.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(first.accept_job().1.header("x-call-id"), Some("c1"));
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
    let at = service.listener.local_addr().expect("no local address");
    let cached_list = endpoint_list(7, true, &[host.list_entry("ready")]);
    let _dispatcher = Dispatcher::launch(StartOptions {
        cached_list: &cached_list,
        ..StartOptions::new(at, &large_fleet, "")
    });
    let (_silent, call) = service.accept_request();
    let started = Instant::now();
    assert_eq!(call.start, WATCH_REQUEST);
    let (_again, call) = service.accept_request();
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
    let address = |host: &Host| host.listener.local_addr().expect("no local address");
    let cached_list = endpoint_list(7, true, &[first.list_entry("ready")]);
    let operator = Some("[start]\nresync_after_s = 0.2\n");
    let settings = settings(0.0, 2.0);
    let dispatcher = Dispatcher::launch(StartOptions {
        cached_list: &cached_list,
        operator,
        ..StartOptions::new(address(&before), &settings, "")
    });
    let (mut watch, _) = before.accept_request();
    watch.write(&(WATCH_RESPONSE.to_owned() + &chunk(&(endpoint_list(7, false, &[]) + "\n"))));
    dispatcher.reload(&address(&before).to_string(), &address(&moved).to_string());
    let (mut watch, call) = moved.accept_request();
    assert_eq!(call.start, WATCH_REQUEST);
    watch.write(&(WATCH_RESPONSE.to_owned() + &chunk(&(endpoint_list(9, false, &[]) + "\n"))));
    let (mut poll, call) = moved.accept_request();
    assert_eq!(call.start, "GET /registry/instances HTTP/1.1");
    // A list of thousands of hosts. Regression: lists were limited to 64 KiB.
    let mut lines = vec![second.list_entry("ready")];
    lines.extend((0..3000).map(|i| endpoint_json(&format!("gone-{i}"), address(&before), "draining", 0)));
    let hosts = endpoint_list(9, true, &lines);
    assert!(hosts.len() > 300_000);
    poll.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{hosts}", hosts.len()));
    assert_eq!(poll.read().expect("no call").start, WATCH_REQUEST.replace('7', "9"));
    let _client = dispatcher.send_request("c1", "look", 10.0);
    assert_eq!(second.accept_job().1.header("x-call-id"), Some("c1"));
}
