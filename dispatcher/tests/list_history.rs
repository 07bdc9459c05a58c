//! What the list has told, and how much of it there may be. The pages' words: "Nothing new to a draining, gone or suspended
//! host 500 ms after told"; a fleet has "3,200 workers at most"; "lists may come indented" (docs/terms-audit.md).

mod common;
use common::*;
use rstest::rstest;
use std::time::Instant;

const STREAM: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn whole(list: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
}

/// A dispatcher that knows these hosts at version 5, and its first watch.
fn watched(hosts: &[&Host]) -> (Host, Dispatcher, Peer) {
    let service = Host::new("discovery");
    let known: Vec<String> = hosts.iter().map(|h| h.line("ready")).collect();
    let at = service.listener.local_addr().expect("an address");
    let settings = settings(0.0, 2.0);
    let known = list(5, true, &known);
    let dispatcher = Dispatcher::launch(Start { admin: true, ..Start::new(at, &settings, &known) });
    let (mut watch, _) = service.request();
    watch.write(STREAM);
    (service, dispatcher, watch)
}

/// Asks once, takes the request at whichever host gets it, and serves it; the host's name.
fn ask_once<'a>(dispatcher: &Dispatcher, id: &str, hosts: [&'a Host; 2]) -> &'a str {
    let mut client = dispatcher.ask(id, "look", 10.0);
    let (mut peer, request, host) = accept_either(hosts[0], hosts[1]);
    assert_eq!(request.header("x-call-id"), Some(id));
    peer.write(&TAKEN.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    assert_eq!(dispatcher.call_back(id, host.uid, r#""state":"done","result":"r","load":{"x0":1}"#), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
    host.uid
}

/// A drain that was told at version 6 was untold by the whole list of a replica that lags behind, at version 5. What has
/// been told stays told until a later version, another start or a move of the list service says otherwise.
#[rstest]
fn an_older_list_takes_nothing_back() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (service, dispatcher, mut watch) = watched(&[&first, &second]);
    watch.write(&chunk(&(list(6, false, &[first.line("draining")]) + "\n")));
    drop(watch);
    let (mut watch, _) = service.request();
    watch.write(
        &(STREAM.to_owned() + &chunk(&(list(5, true, &[first.line("ready"), second.line("ready")]) + "\n"))),
    );
    // It has been heeded once the watch that asks on has been opened.
    drop(watch);
    let (mut watch, _) = service.request();
    watch.write(&(STREAM.to_owned() + &chunk(&(list(5, false, &[]) + "\n"))));
    for number in 0..6 {
        assert_eq!(ask_once(&dispatcher, &format!("c{number}"), [&first, &second]), "s-2");
    }
    // A later version says that it is in use again.
    watch.write(&chunk(&(list(7, false, &[first.line("ready"), second.line("draining")]) + "\n")));
    let told = Instant::now();
    while ask_once(&dispatcher, &format!("d{:?}", told.elapsed()), [&first, &second]) != "s-1" {
        assert!(told.elapsed() < PATIENCE);
    }
}

/// A whole list of 3,200 workers with long names and further fields, indented, was over the bound of 1 MiB, and discovery
/// was lost for good.
#[rstest]
fn the_longest_list_is_read() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (service, dispatcher, mut watch) = watched(&[&first]);
    // Changes of what is not known here ask for the whole list.
    watch.write(&chunk(&(list(9, false, &[]) + "\n")));
    watch.write(&chunk(&(list(8, false, &[]) + "\n")));
    let (mut again, call) = service.request();
    assert_eq!(call.start, "GET /registry/instances HTTP/1.1");
    let at = service.listener.local_addr().expect("an address");
    let name = |n: usize| format!("worker-{n}-{}", "x".repeat(120));
    let mut lines = vec![second.line("ready")];
    lines.extend((0..3_200).map(|n| {
        let line = target(&name(n), at, "draining", 0);
        line.replacen(
            '{',
            &format!(r#"{{"labels":{{"rack":"{}","owner":"{}"}},"#, "r".repeat(60), "o".repeat(60)),
            1,
        )
    }));
    let value: serde_json::Value = serde_json::from_str(&list(9, true, &lines)).expect("JSON");
    let text = serde_json::to_string_pretty(&value).expect("text");
    assert!(text.len() > 1 << 20, "{}", text.len());
    again.write(&whole(&text));
    let call = again.read().expect("a watch after the list");
    assert_eq!(call.start, "GET /registry/instances?watch=1&after=9 HTTP/1.1");
    assert!(dispatcher.call("METRICS")[0].contains(r#""lists_spoilt":0"#));
    let _client = dispatcher.ask("c1", "look", 10.0);
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
}
