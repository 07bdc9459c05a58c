//! Requests that were read and whose connection then ends. The page's words: "One that has been read and whose connection
//! is closed with no answer is lost, on a new connection too" (docs/terms-audit.md).

mod common;
use common::platform::DONE;
use common::*;
use rstest::rstest;
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

fn world(hosts: &[&Host]) -> (Discovery, Dispatcher) {
    let discovery = Discovery::start();
    let known: Vec<String> = hosts.iter().map(|h| h.line("ready")).collect();
    let known = list(7, true, &known);
    let settings = settings(0.0, 2.0);
    let dispatcher = Dispatcher::launch(Start::new(discovery.at, &settings, &known));
    (discovery, dispatcher)
}

fn request(id: &str, class: &str) -> String {
    let head = format!("X-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget: 10");
    format!("POST /api/u HTTP/1.1\r\n{head}\r\nContent-Length: 4\r\n\r\nbody")
}

/// Waits until the process ends connections with their next answers.
fn until_connections_close(dispatcher: &Dispatcher) {
    let began = Instant::now();
    loop {
        let mut probe = Peer::new(connect(dispatcher.http));
        probe.write("GET /health/ready HTTP/1.1\r\n\r\n");
        if probe.read().expect("an answer").header("connection") == Some("close") {
            return;
        }
        assert!(began.elapsed() < PATIENCE);
    }
}

/// A request that had been read behind a held one was dropped when the process ended connections with their next answers.
#[rstest]
fn what_was_read_before_the_last_answer_of_a_process_is_answered() {
    let host = Host::new("s-1");
    let (_discovery, mut dispatcher) = world(&[&host]);
    let mut client = Peer::new(connect(dispatcher.http));
    client.write(&(request("c0", "pay") + &request("c1", "look") + &request("c2", "pay")));
    let (_peer, _) = host.take();
    dispatcher.terminate();
    until_connections_close(&dispatcher);
    assert_eq!(dispatcher.call_back("c0", "s-1", DONE), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
    for id in ["c1", "c2"] {
        let answer = client.read().unwrap_or_else(|| panic!("{id} was read and had no answer"));
        assert!(answer.status() >= 500, "{id}: its worker is silent");
    }
    assert!(client.ended());
    assert!(dispatcher.process.end().expect("its end").success());
}

/// A worker that takes each job on and tells its id, on all of its connections.
fn takes_all(host: Host) -> Receiver<String> {
    let (took, taken) = channel();
    std::thread::spawn(move || {
        for stream in host.listener.incoming() {
            let (mut peer, took) = (Peer::new(stream.expect("a connection")), took.clone());
            std::thread::spawn(move || {
                while let Some(request) = peer.read() {
                    peer.write(TAKEN);
                    let id = request.header("x-call-id").unwrap_or_default().to_owned();
                    if took.send(id).is_err() {
                        return;
                    }
                }
            });
        }
    });
    taken
}

/// Of many requests at once, those that were read are answered, each in its turn.
#[rstest]
fn many_requests_at_once_are_all_answered() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let taken = takes_all(host);
    let mut client = Peer::new(connect(dispatcher.http));
    let many = 100;
    let requests: String = (0..many).map(|number| request(&format!("c{number}"), "look")).collect();
    assert!(requests.len() > 8 * 1024);
    client.write(&requests);
    for number in 0..many {
        let id = taken.recv_timeout(PATIENCE).expect("the next request");
        assert_eq!(id, format!("c{number}"));
        assert_eq!(dispatcher.call_back(&id, "s-1", DONE), 204);
        let answer = client.read().unwrap_or_else(|| panic!("{id} was read and had no answer"));
        assert_eq!(answer.status(), 200);
    }
}
