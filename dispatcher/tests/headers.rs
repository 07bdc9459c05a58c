//! Request headers at their limits: repeated, malformed, or with a budget that is zero or very long
//! (docs/terms-audit.md).

mod common;
use common::http_front::DONE_FIELDS;
use common::*;
use rstest::rstest;

fn request(headers: &[&str]) -> String {
    format!("POST /api/u HTTP/1.1\r\n{}\r\nContent-Length: 4\r\n\r\nbody", headers.join("\r\n"))
}

const LOOK: [&str; 3] = ["X-Call-Id: c1", "X-Call-Class: look", "X-Budget: 3"];
const PAY: [&str; 3] = ["X-Call-Id: c1", "X-Call-Class: pay", "X-Budget: 3"];

/// Starts a dispatcher with settings in which a response after its deadline has no value, as on the platform.
fn start_dispatcher(hosts: &[&Host]) -> (MockDiscovery, Dispatcher) {
    let discovery = MockDiscovery::start();
    let entries: Vec<String> = hosts.iter().map(|h| h.list_entry("ready")).collect();
    let settings = settings(0.0, 2.0).replace(r#""lateValue":1"#, r#""lateValue":0"#);
    let dispatcher = Dispatcher::start(discovery.address, &settings, &endpoint_list(7, true, &entries), None);
    (discovery, dispatcher)
}

/// A request with two headers of the same name and different values is invalid: it is unknown which of them the
/// client meant.
#[rstest]
fn a_request_with_conflicting_headers_is_rejected() {
    for second in ["X-Call-Id: c2", "X-Call-Class: look", "X-Budget: 1", "X-Caller: b", "Idempotency-Key: b"]
    {
        let host = Host::new("s-1");
        let (_discovery, dispatcher) = start_dispatcher(&[&host]);
        let mut client = HttpPeer::new(connect(dispatcher.http));
        let headers = [&PAY[..], &["X-Caller: a", "Idempotency-Key: a", second]].concat();
        client.write(&request(&headers));
        assert_eq!(client.read().expect("no response").status(), 400, "{second}");
        host.listener.set_nonblocking(true).expect("cannot set non-blocking mode");
        assert!(host.listener.accept().is_err(), "{second}: the request was forwarded");
    }
}

/// A request is served with the same header twice, with a budget of a day, and with a work hint. The hint is in
/// microseconds; read as seconds it would exceed any deadline, and the request would be shed.
#[rstest]
fn valid_headers_at_their_limits_are_served() {
    for headers in [
        [&LOOK[..], &["X-Call-Cost: 200000"]].concat(),
        [&LOOK[..], &["X-Call-Cost: much"]].concat(),
        [&PAY[..], &["x-budget: 3", "X-Call-Class: pay"]].concat(),
        vec![PAY[0], PAY[1], "X-Budget: 86400"],
    ] {
        let host = Host::new("s-1");
        let (_discovery, dispatcher) = start_dispatcher(&[&host]);
        let mut client = HttpPeer::new(connect(dispatcher.http));
        client.write(&request(&headers));
        host.accept_job();
        assert_eq!(dispatcher.send_callback("c1", "s-1", DONE_FIELDS), 204);
        assert_eq!(client.read().expect("no response").status(), 200, "{headers:?}");
    }
}

/// A request whose budget is zero or nearly zero is answered at once and not forwarded.
#[rstest]
#[case("0")]
#[case("0.0000001")]
fn a_request_without_time_left_is_answered_at_once(#[case] budget: &str) {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = start_dispatcher(&[&host]);
    let mut client = HttpPeer::new(connect(dispatcher.http));
    client.write(&request(&["X-Call-Id: c1", "X-Call-Class: pay", &format!("X-Budget: {budget}")]));
    assert!(client.read().expect("no response").status() >= 500);
    host.listener.set_nonblocking(true).expect("cannot set non-blocking mode");
    assert!(host.listener.accept().is_err(), "the request was forwarded");
}
