//! Dial backoff: hosts that accept few connections and reject further ones.

mod common;
use common::*;
use rstest::rstest;
use std::net::{Shutdown, TcpListener};

const DONE: &str = r#""state":"done","result":"made","load":{"x0":4}"#;

/// Closes each new connection at once; the channel is notified of each.
fn close_all(listener: &TcpListener) -> std::sync::mpsc::Receiver<()> {
    let (listener, (closed, notified)) = (listener.try_clone().expect("a clone"), std::sync::mpsc::channel());
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

/// Starts a dispatcher with one host that has one connection in use and has just closed a second one.
fn dispatcher_with_full_host(host: &Host, key: &str) -> (Discovery, Dispatcher, Peer, [Peer; 2]) {
    let discovery = Discovery::start();
    let (settings, known) = (settings(0.0, 9.0), list(7, true, &[host.line("ready")]));
    let operator = format!("[start]\n{key} = true\n");
    let start = Start { operator: Some(&operator), ..Start::new(discovery.at, &settings, &known) };
    let mut dispatcher = Dispatcher::launch(start);
    if key == "door" {
        assert_eq!(
            dispatcher.has_logged("start.door: "),
            "this key has another name now; expected: start.dial_backoff"
        );
    }
    // The host reports more capacity than is needed: only connections are few.
    let mut first = dispatcher.ask("c0", "look", 15.0);
    let (mut peer, _) = host.take();
    assert_eq!(dispatcher.call_back("c0", "s-1", DONE), 204);
    assert_eq!(first.read().expect("an answer").status(), 200);
    first.ask("c1", "look", 15.0);
    assert_eq!(peer.read().expect("the next one").header("x-call-id"), Some("c1"));
    let closed = close_all(&host.listener);
    let second = dispatcher.ask("c2", "look", 15.0);
    closed.recv_timeout(PATIENCE).expect("a connection that is closed");
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
    let mut third = dispatcher.ask("c3", "pay", 15.0);
    // A round trip after it, so that the dispatcher has read it.
    assert_eq!(dispatcher.call_back("none", "s-1", DONE), 204);
    peer.write(TAKEN);
    // In either order, on the same connection.
    let mut next = || {
        let request = peer.read().expect("one that waited");
        peer.write(TAKEN);
        request.header("x-call-id").map(str::to_owned)
    };
    let mut received = [next(), next()];
    received.sort();
    assert_eq!(received, [Some("c2".into()), Some("c3".into())]);
    assert_eq!(dispatcher.call_back("c1", "s-1", DONE), 204);
    for (id, client) in [("c2", &mut second), ("c3", &mut third)] {
        assert_eq!(dispatcher.call_back(id, "s-1", DONE), 204);
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    assert_eq!(first.read().expect("an answer").status(), 200);
}
