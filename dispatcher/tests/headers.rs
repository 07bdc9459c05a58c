//! The headers of a request, at their limits: twice, nothing, more than anybody waits (docs/terms-audit.md).

mod common;
use common::platform::DONE;
use common::*;
use rstest::rstest;

fn request(headers: &[&str]) -> String {
    format!("POST /api/u HTTP/1.1\r\n{}\r\nContent-Length: 4\r\n\r\nbody", headers.join("\r\n"))
}

const LOOK: [&str; 3] = ["X-Call-Id: c1", "X-Call-Class: look", "X-Budget: 3"];
const PAY: [&str; 3] = ["X-Call-Id: c1", "X-Call-Class: pay", "X-Budget: 3"];

/// A dispatcher whose answers are worth nothing once they are late, as on the platform.
fn world(hosts: &[&Host]) -> (Discovery, Dispatcher) {
    let discovery = Discovery::start();
    let known: Vec<String> = hosts.iter().map(|h| h.line("ready")).collect();
    let settings = settings(0.0, 2.0).replace(r#""lateValue":1"#, r#""lateValue":0"#);
    let dispatcher = Dispatcher::start(discovery.at, &settings, &list(7, true, &known), None);
    (discovery, dispatcher)
}

/// Of two headers of a name the first was taken, whatever the second said: which of them the client meant is not known.
#[rstest]
fn two_headers_that_differ_are_no_request() {
    for second in ["X-Call-Id: c2", "X-Call-Class: look", "X-Budget: 1", "X-Caller: b", "Idempotency-Key: b"]
    {
        let host = Host::new("s-1");
        let (_discovery, dispatcher) = world(&[&host]);
        let mut client = Peer::new(connect(dispatcher.http));
        let headers = [&PAY[..], &["X-Caller: a", "Idempotency-Key: a", second]].concat();
        client.write(&request(&headers));
        assert_eq!(client.read().expect("an answer").status(), 400, "{second}");
        host.listener.set_nonblocking(true).expect("non-blocking");
        assert!(host.listener.accept().is_err(), "{second}: it was sent on");
    }
}

/// What makes sense is served: the same header twice, more time than anybody waits, and a guess at the work, which is in
/// microseconds: it was taken for seconds, and the job for one that nobody can serve in time.
#[rstest]
fn what_makes_sense_is_served() {
    for headers in [
        [&LOOK[..], &["X-Call-Cost: 200000"]].concat(),
        [&LOOK[..], &["X-Call-Cost: much"]].concat(),
        [&PAY[..], &["x-budget: 3", "X-Call-Class: pay"]].concat(),
        vec![PAY[0], PAY[1], "X-Budget: 86400"],
    ] {
        let host = Host::new("s-1");
        let (_discovery, dispatcher) = world(&[&host]);
        let mut client = Peer::new(connect(dispatcher.http));
        client.write(&request(&headers));
        host.take();
        assert_eq!(dispatcher.call_back("c1", "s-1", DONE), 204);
        assert_eq!(client.read().expect("an answer").status(), 200, "{headers:?}");
    }
}

/// What has no time left is answered at once and does not begin.
#[rstest]
#[case("0")]
#[case("0.0000001")]
fn no_time_left_is_answered_at_once(#[case] budget: &str) {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let mut client = Peer::new(connect(dispatcher.http));
    client.write(&request(&["X-Call-Id: c1", "X-Call-Class: pay", &format!("X-Budget: {budget}")]));
    assert!(client.read().expect("an answer").status() >= 500);
    host.listener.set_nonblocking(true).expect("non-blocking");
    assert!(host.listener.accept().is_err(), "it was sent on");
}
