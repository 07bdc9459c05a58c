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
