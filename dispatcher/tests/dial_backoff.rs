//! Dial backoff: hosts that accept only a few connections and reject further ones.

mod common;
use common::*;
use rstest::rstest;
use std::net::{Shutdown, TcpListener};

const DONE_FIELDS: &str = r#""state":"done","result":"made","load":{"x0":4}"#;

/// Closes each new connection at once. The channel receives a message for each.
fn close_all(listener: &TcpListener) -> std::sync::mpsc::Receiver<()> {
    let (listener, (closed, notified)) =
        (listener.try_clone().expect("cannot clone listener"), std::sync::mpsc::channel());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.shutdown(Shutdown::Both);
            if closed.send(()).is_err() {
                return;
            }
        }
    });
    notified
}

/// Starts a dispatcher whose only host has one connection in use and has just closed a second one.
fn dispatcher_with_full_host(host: &Host, key: &str) -> (MockDiscovery, Dispatcher, HttpPeer, [HttpPeer; 2]) {
    let discovery = MockDiscovery::start();
    let (settings, cached_list) = (settings(0.0, 9.0), endpoint_list(7, true, &[host.list_entry("ready")]));
    let operator = format!("[start]\n{key} = true\n");
    let start = StartOptions {
        operator: Some(&operator),
        ..StartOptions::new(discovery.address, &settings, &cached_list)
    };
    let mut dispatcher = Dispatcher::launch(start);
    if key == "door" {
        assert_eq!(
            dispatcher.wait_for_log_since_start("start.door: "),
            "this key has been renamed; expected: start.dial_backoff"
        );
    }
    // The host reports more free slots than are needed, so that only the connections are scarce.
    let mut first = dispatcher.send_request("c0", "look", 15.0);
    let (mut peer, _) = host.accept_job();
    assert_eq!(dispatcher.send_callback("c0", "s-1", DONE_FIELDS), 204);
    assert_eq!(first.read().expect("no response").status(), 200);
    first.send_request("c1", "look", 15.0);
    assert_eq!(peer.read().expect("no second request").header("x-call-id"), Some("c1"));
    let closed = close_all(&host.listener);
    let second = dispatcher.send_request("c2", "look", 15.0);
    closed.recv_timeout(WAIT_TIMEOUT).expect("no closed connection");
    (discovery, dispatcher, peer, [first, second])
}

/// A host that rejects connections does not count as failed, and a payment is not written to a rejected connection: both
/// requests wait for the open connection. The former name of the key has the same effect, with a warning in the log.
#[rstest]
#[case::key("dial_backoff")]
#[case::former_key("door")]
fn requests_to_a_full_host_wait_for_an_open_connection(#[case] key: &str) {
    let host = Host::new("s-1");
    let (_discovery, dispatcher, mut peer, [mut first, mut second]) = dispatcher_with_full_host(&host, key);
    let mut third = dispatcher.send_request("c3", "pay", 15.0);
    // A round trip after it, by which the dispatcher has read it.
    assert_eq!(dispatcher.send_callback("none", "s-1", DONE_FIELDS), 204);
    peer.write(ACCEPTED_RESPONSE);
    // Both waiting requests arrive on the same connection, in either order.
    let mut next = || {
        let request = peer.read().expect("no waiting request");
        peer.write(ACCEPTED_RESPONSE);
        request.header("x-call-id").map(str::to_owned)
    };
    let mut received = [next(), next()];
    received.sort();
    assert_eq!(received, [Some("c2".into()), Some("c3".into())]);
    assert_eq!(dispatcher.send_callback("c1", "s-1", DONE_FIELDS), 204);
    for (id, client) in [("c2", &mut second), ("c3", &mut third)] {
        assert_eq!(dispatcher.send_callback(id, "s-1", DONE_FIELDS), 204);
        assert_eq!(client.read().expect("no response").status(), 200);
    }
    assert_eq!(first.read().expect("no response").status(), 200);
}
