//! Versions and size of the endpoint list. The requirements: "Nothing new to a draining, gone or suspended
//! host 500 ms after told"; a fleet has "3,200 workers at most"; "lists may come indented" (docs/terms-audit.md).

mod common;
use common::*;
use rstest::rstest;
use std::time::Instant;

/// The response to a poll of the complete list.
fn list_response(list: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
}

/// Starts a dispatcher whose cached endpoint list has these hosts at version 5, and accepts its first watch.
fn dispatcher_with_watch(hosts: &[&Host]) -> (Host, Dispatcher, HttpPeer) {
    let service = Host::new("discovery");
    let entries: Vec<String> = hosts.iter().map(|h| h.list_entry("ready")).collect();
    let at = service.listener.local_addr().expect("no local address");
    let settings = settings(0.0, 2.0);
    let cached_list = endpoint_list(5, true, &entries);
    let dispatcher =
        Dispatcher::launch(StartOptions { admin: true, ..StartOptions::new(at, &settings, &cached_list) });
    let (mut watch, _) = service.accept_request();
    watch.write(WATCH_RESPONSE);
    (service, dispatcher, watch)
}

/// Sends a request, serves it at the host that receives it, and returns the id of that host.
fn serve_one<'a>(dispatcher: &Dispatcher, id: &str, hosts: [&'a Host; 2]) -> &'a str {
    let mut client = dispatcher.send_request(id, "look", 10.0);
    let (mut peer, request, host) = accept_either(hosts[0], hosts[1]);
    assert_eq!(request.header("x-call-id"), Some(id));
    peer.write(&ACCEPTED_RESPONSE.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    assert_eq!(dispatcher.send_callback(id, host.uid, r#""state":"done","result":"r","load":{"x0":1}"#), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
    host.uid
}

/// A draining state stays in force until a later version, a restart of the host or a move of the discovery service changes it.
/// Regression: a drain of version 6 was reverted by the complete list of a lagging replica, at version 5.
#[rstest]
fn an_older_list_does_not_revert_a_drain() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (service, dispatcher, mut watch) = dispatcher_with_watch(&[&first, &second]);
    watch.write(&chunk(&(endpoint_list(6, false, &[first.list_entry("draining")]) + "\n")));
    drop(watch);
    let (mut watch, _) = service.accept_request();
    watch.write(
        &(WATCH_RESPONSE.to_owned()
            + &chunk(
                &(endpoint_list(5, true, &[first.list_entry("ready"), second.list_entry("ready")]) + "\n"),
            )),
    );
    // The list is applied once the next watch has been opened.
    drop(watch);
    let (mut watch, _) = service.accept_request();
    watch.write(&(WATCH_RESPONSE.to_owned() + &chunk(&(endpoint_list(5, false, &[]) + "\n"))));
    for number in 0..6 {
        assert_eq!(serve_one(&dispatcher, &format!("c{number}"), [&first, &second]), "s-2");
    }
    // A later version sets the first host to ready poll.
    watch.write(&chunk(
        &(endpoint_list(7, false, &[first.list_entry("ready"), second.list_entry("draining")]) + "\n"),
    ));
    let sent_at = Instant::now();
    while serve_one(&dispatcher, &format!("d{:?}", sent_at.elapsed()), [&first, &second]) != "s-1" {
        assert!(sent_at.elapsed() < WAIT_TIMEOUT);
    }
}

/// The complete list of the largest fleet is accepted: 3,200 workers with long names and additional fields, indented.
/// Regression: it exceeded a limit of 1 MiB, and discovery failed permanently.
#[rstest]
fn the_list_of_the_largest_fleet_is_accepted() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (service, dispatcher, mut watch) = dispatcher_with_watch(&[&first]);
    // An event with an older version makes the dispatcher poll the complete list.
    watch.write(&chunk(&(endpoint_list(9, false, &[]) + "\n")));
    watch.write(&chunk(&(endpoint_list(8, false, &[]) + "\n")));
    let (mut poll, call) = service.accept_request();
    assert_eq!(call.start, "GET /registry/instances HTTP/1.1");
    let at = service.listener.local_addr().expect("no local address");
    let name = |n: usize| format!("worker-{n}-{}", "x".repeat(120));
    let mut lines = vec![second.list_entry("ready")];
    lines.extend((0..3_200).map(|n| {
        let line = endpoint_json(&name(n), at, "draining", 0);
        line.replacen(
            '{',
            &format!(r#"{{"labels":{{"rack":"{}","owner":"{}"}},"#, "r".repeat(60), "o".repeat(60)),
            1,
        )
    }));
    let value: serde_json::Value =
        serde_json::from_str(&endpoint_list(9, true, &lines)).expect("invalid JSON");
    let text = serde_json::to_string_pretty(&value).expect("cannot write JSON");
    assert!(text.len() > 1 << 20, "{}", text.len());
    poll.write(&list_response(&text));
    let call = poll.read().expect("no watch after the list");
    assert_eq!(call.start, "GET /registry/instances?watch=1&after=9 HTTP/1.1");
    assert!(dispatcher.admin_call("METRICS")[0].contains(r#""lists_spoilt":0"#));
    let _client = dispatcher.send_request("c1", "look", 10.0);
    assert_eq!(second.accept_job().1.header("x-call-id"), Some("c1"));
}
