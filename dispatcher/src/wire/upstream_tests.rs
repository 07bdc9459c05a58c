//! Connections to upstream hosts.

use super::*;
use crate::core::Payload;
use roselock::Micros;
use rstest::rstest;
use std::io::{Read, Write};
use std::time::Duration;

fn dialer() -> (std::net::TcpListener, HttpDialer, std::sync::mpsc::Receiver<Input>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let options: roselock::settings::Options =
        serde_json::from_str(r#"{"lanes":[{"name":"pay","effect":"unsafe"}]}"#).expect("options");
    let (inbox, outlet) = Inbox::new();
    let dialer = HttpDialer {
        inbox,
        site: Arc::new(options.site().expect("settings")),
        open: Arc::default(),
        most: 9,
        watch: channel().0,
        metrics: Arc::new(Metrics::new(vec!["pay".into()])),
    };
    (listener, dialer, outlet)
}

fn request(id: UpstreamId, by: Micros, begin_by: Micros) -> UpstreamRequest {
    let ask = RequestKind::Run(Arc::new(Payload {
        raw: Arc::new(b"cPOST/".to_vec()),
        id: 0..1,
        method: 1..5,
        target: 5..6,
        ..Payload::default()
    }));
    UpstreamRequest { id, kind: ask, connect_by: by, begin_by, deadline: by, class: None }
}

fn heard(outlet: &std::sync::mpsc::Receiver<Input>) -> (UpstreamId, UpstreamEvent, ConnectionState) {
    match outlet.recv_timeout(Duration::from_secs(20)) {
        Ok(Input::Upstream { id, event: heard, connection: link }) => (id, heard, link),
        _ => panic!("no word of an upstream request"),
    }
}

/// Guards against sending what was given up: the connection had been closed by its host while idle, the
/// attempt on it was ended before it was written, and opening a new connection forgot that.
#[rstest]
fn what_was_given_up_is_not_sent_on_a_new_connection() {
    let (listener, dialer, outlet) = dialer();
    let endpoint = listener.local_addr().expect("an address");
    let by = clock::now() + 20_000_000;
    let (request, heard) = (|id| request(id, by, by), || heard(&outlet));
    let link = dialer.dial(endpoint, request(1));
    let (mut host, _) = listener.accept().expect("a connection");
    assert!(host.read(&mut [0; 1024]).expect("a request") > 0);
    host.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").expect("written");
    assert!(matches!(heard(), (1, UpstreamEvent::Accepted, ConnectionState::Free)));
    drop(host);
    link.abort(2);
    assert!(link.start(request(2)));
    assert!(matches!(
        heard(),
        (2, UpstreamEvent::Ended { outcome: Outcome::ConnectFailed, .. }, ConnectionState::Closed)
    ));
    listener.set_nonblocking(true).expect("non-blocking");
    assert!(listener.accept().is_err(), "it went out on a new connection");
}

/// Guards against a repeat that goes out when its hosts do not know it any more, and against an attempt that goes out
/// once it was held back: nothing of either is written, on a kept connection or a new one.
#[rstest]
fn what_may_not_begin_is_not_written() {
    let (listener, dialer, outlet) = dialer();
    let endpoint = listener.local_addr().expect("an address");
    let by = clock::now() + 20_000_000;
    let link = dialer.dial(endpoint, request(1, by, by));
    let (mut host, _) = listener.accept().expect("a connection");
    assert!(host.read(&mut [0; 1024]).expect("a request") > 0);
    assert!(!link.cancel_unsent(), "it has left");
    host.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").expect("written");
    assert!(matches!(heard(&outlet), (1, UpstreamEvent::Accepted, ConnectionState::Free)));
    assert!(link.start(request(2, by, clock::now() - 1)));
    assert!(matches!(
        heard(&outlet),
        (2, UpstreamEvent::Ended { outcome: Outcome::NotStarted, .. }, ConnectionState::Closed)
    ));
    // As the owner does with a closed one.
    drop(link);
    host.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    assert_eq!(host.read(&mut [0; 1024]).expect("an end"), 0);
    let _link = dialer.dial(endpoint, request(3, by, clock::now() - 1));
    assert!(matches!(
        heard(&outlet),
        (3, UpstreamEvent::Ended { outcome: Outcome::NotStarted, .. }, ConnectionState::Closed)
    ));
}
