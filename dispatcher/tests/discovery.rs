//! Stories of the list service: how lists are written, watches that fall silent, and lists that are pushed. The service
//! is played word by word.

mod common;
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

const STREAM: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const WATCH: &str = "GET /registry/instances?watch=1&after=7 HTTP/1.1";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A dispatcher that knows these hosts, and its first watch.
fn watched(settings: &str, hosts: &[&Host]) -> (Host, Dispatcher, Peer) {
    let service = Host::new("discovery");
    let known: Vec<String> = hosts.iter().map(|h| h.line("ready")).collect();
    let at = service.listener.local_addr().expect("an address");
    let start = Start { admin: true, ..Start::new(at, settings, "") };
    let known = list(7, true, &known);
    let dispatcher = Dispatcher::launch(Start { known: &known, ..start });
    let (mut watch, call) = service.request();
    assert_eq!(call.start, WATCH);
    watch.write(STREAM);
    (service, dispatcher, watch)
}

fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("JSON");
    serde_json::to_string_pretty(&value).expect("text")
}

/// A list on a watch that was written over many indented lines was dropped line by line, and a drain not heard of. What
/// makes no sense is dropped and counted, and the last good list stays.
#[rstest]
#[case::one_piece(1 << 20)]
#[case::pieces(33)]
fn an_indented_list_is_heeded_and_a_spoilt_one_dropped(#[case] piece: usize) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_service, dispatcher, mut watch) = watched(&settings(0.0, 2.0), &[&first]);
    let lists = [
        indented(&list(9, true, &[]))[..20].to_owned(),
        "{\"rev\":8,\"all\":true,\"targets\":{}}".into(),
        indented(&list(8, false, &[first.line("draining"), second.line("ready")])),
    ];
    for piece in lists.join("\n").as_bytes().chunks(piece) {
        watch.write(&chunk(std::str::from_utf8(piece).expect("ASCII")));
    }
    let mut client = Peer::new(connect(dispatcher.http));
    // The word has arrived once there are two hosts in the list, one of them out of use.
    let told = Instant::now();
    while !dispatcher.call("METRICS")[0].contains(r#""cluster_size":2"#) {
        assert!(told.elapsed() < PATIENCE);
    }
    assert!(dispatcher.call("METRICS")[0].contains(r#""lists_spoilt":2"#));
    client.ask("c1", "look", 10.0);
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
}

/// A watch that falls silent is opened anew in time to be told within 6 s, however its last bytes look: silence was found
/// after 3 s, and with a list that trickles in, never.
#[rstest]
#[case::after_a_list(false)]
#[case::in_a_list_that_trickles(true)]
fn a_silent_watch_is_opened_anew_in_time(#[case] trickles: bool) {
    let host = Host::new("s-1");
    let fleet = settings(0.0, 2.0).replace(r#""fleetSize":1,"me":0"#, r#""fleetSize":300,"me":299"#);
    let (service, _dispatcher, mut watch) = watched(&fleet, &[&host]);
    watch.write(&chunk(&(list(8, false, &[]) + "\n")));
    let silent = Instant::now();
    let (called, calls) = std::sync::mpsc::channel();
    std::thread::spawn(move || called.send(service.request()));
    let (_peer, call) = loop {
        if trickles {
            watch.write(&chunk("{\"rev\":9,\"all\":false,\"targets\":["));
        }
        match calls.recv_timeout(Duration::from_millis(5)) {
            Ok(call) => break call,
            Err(_) => assert!(silent.elapsed() < PATIENCE),
        }
    };
    let took = silent.elapsed().as_secs_f64();
    assert!((2.4..5.0).contains(&took), "{took}");
    assert_eq!(call.start, WATCH.replace('7', "8"));
}

/// Changes that go back to an earlier version were taken for news: a host that drains was in use again.
#[rstest]
fn changes_that_go_back_are_no_news() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (service, dispatcher, mut watch) = watched(&settings(0.0, 2.0), &[&first, &second]);
    watch.write(&chunk(&(list(9, false, &[first.line("draining")]) + "\n")));
    watch.write(&chunk(&(list(8, false, &[first.line("ready")]) + "\n")));
    let (mut again, call) = service.request();
    assert_eq!(call.start, "GET /registry/instances HTTP/1.1");
    let mut client = dispatcher.ask("c1", "look", 10.0);
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
    let whole = list(3, true, &[first.line("ready")]);
    again.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len()));
    assert_eq!(again.read().expect("a call").start, WATCH.replace('7', "3"));
    assert_eq!(dispatcher.call_back("c1", "s-2", r#""state":"done","result":"r""#), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// Where lists are pushed nobody watched at all, and hosts that drain were sent to up to the end. What the agent has
/// counts as told from the first moment on, so the watch is opened at once, and again as soon as it breaks.
#[rstest]
fn where_lists_are_pushed_the_watch_is_always_open() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let pushed = settings(0.0, 2.0).replace(r#""discovery":"subscribe""#, r#""discovery":"automatic""#);
    let pushed = pushed.replace(r#""fleetSize":1,"me":0"#, r#""fleetSize":300,"me":299"#);
    let began = Instant::now();
    let (service, dispatcher, mut watch) = watched(&pushed, &[&first]);
    assert!(began.elapsed() < Duration::from_secs(2));
    for rev in 8..11 {
        watch.write(&chunk(&(list(rev, false, &[]) + "\n")));
        drop(watch);
        let broke = Instant::now();
        let (peer, call) = service.request();
        assert!(broke.elapsed() < Duration::from_millis(900));
        assert_eq!(call.start, WATCH.replace('7', &rev.to_string()));
        watch = peer;
        watch.write(STREAM);
    }
    watch.write(&chunk(&(list(11, true, &[first.line("draining"), second.line("ready")]) + "\n")));
    while !dispatcher.call("METRICS")[0].contains(r#""cluster_size":2"#) {
        assert!(began.elapsed() < PATIENCE);
    }
    let _client = dispatcher.ask("c1", "look", 10.0);
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
}

/// Whether a probe of readiness succeeds.
fn is_ready(dispatcher: &Dispatcher) -> bool {
    let mut peer = Peer::new(connect(dispatcher.http));
    peer.write("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    peer.read().expect("an answer").status() == 200
}

/// A dispatcher with a list of before its start sent to hosts that drained meanwhile: they counted as told. Nothing is
/// sent, and the process is not ready, until the list service has answered, or has refused to.
#[rstest]
#[case::answered(true)]
#[case::refused(false)]
fn a_list_of_before_the_start_waits_for_the_service(#[case] answers: bool) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let service = Host::new("discovery");
    let at = service.listener.local_addr().expect("an address");
    let known = list(7, true, &[first.line("ready")]);
    let dispatcher =
        Dispatcher::launch(Start { known: &known, admin: true, ..Start::new(at, &settings(0.0, 2.0), "") });
    let (mut watch, call) = service.request();
    assert_eq!(call.start, WATCH);
    let _client = dispatcher.ask("c1", "look", 10.0);
    assert!(!is_ready(&dispatcher));
    if answers {
        let changes = list(8, false, &[first.line("draining"), second.line("ready")]);
        watch.write(&(STREAM.to_owned() + &chunk(&(changes + "\n"))));
        assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
    } else {
        watch.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(first.take().1.header("x-call-id"), Some("c1"));
    }
    assert!(is_ready(&dispatcher));
}

/// A call whose connection came up and was never answered was taken for one in a long queue: with 300 dispatchers the next
/// one came 6 s after its end. It comes in time to be told within 6 s of the first.
#[rstest]
fn a_call_that_is_never_answered_is_made_again_in_time() {
    let host = Host::new("s-1");
    let fleet = settings(0.0, 2.0).replace(r#""fleetSize":1,"me":0"#, r#""fleetSize":300,"me":299"#);
    let service = Host::new("discovery");
    let at = service.listener.local_addr().expect("an address");
    let known = list(7, true, &[host.line("ready")]);
    let _dispatcher = Dispatcher::launch(Start { known: &known, ..Start::new(at, &fleet, "") });
    let (_silent, call) = service.request();
    let began = Instant::now();
    assert_eq!(call.start, WATCH);
    let (_again, call) = service.request();
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert_eq!(call.start, WATCH);
}

/// After a move all dispatchers asked for the whole list and then for a watch, at once, which was too much for the service.
/// Only what changed is asked for at once; as its versions might be others, the whole list follows later.
#[rstest]
fn after_a_move_the_whole_list_follows_later() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (before, moved) = (Host::new("discovery"), Host::new("moved"));
    let address = |host: &Host| host.listener.local_addr().expect("an address");
    let known = list(7, true, &[first.line("ready")]);
    let operator = Some("[start]\nresync_after_s = 0.2\n");
    let settings = settings(0.0, 2.0);
    let dispatcher =
        Dispatcher::launch(Start { known: &known, operator, ..Start::new(address(&before), &settings, "") });
    let (mut watch, _) = before.request();
    watch.write(&(STREAM.to_owned() + &chunk(&(list(7, false, &[]) + "\n"))));
    dispatcher.reload(&address(&before).to_string(), &address(&moved).to_string());
    let (mut watch, call) = moved.request();
    assert_eq!(call.start, WATCH);
    watch.write(&(STREAM.to_owned() + &chunk(&(list(9, false, &[]) + "\n"))));
    let (mut whole, call) = moved.request();
    assert_eq!(call.start, "GET /registry/instances HTTP/1.1");
    // As long as that of thousands of hosts: lists were bounded by 64 KiB.
    let mut lines = vec![second.line("ready")];
    lines.extend((0..3000).map(|i| target(&format!("gone-{i}"), address(&before), "draining", 0)));
    let hosts = list(9, true, &lines);
    assert!(hosts.len() > 300_000);
    whole.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{hosts}", hosts.len()));
    assert_eq!(whole.read().expect("a call").start, WATCH.replace('7', "9"));
    let _client = dispatcher.ask("c1", "look", 10.0);
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
}
