//! The HTTP front end, callbacks, upstream hosts and discovery.

mod common;
use common::http_front::{DONE_FIELDS, STARTED_FIELDS, dispatcher_with_hosts};
use common::*;
use rstest::rstest;

/// A request is forwarded unchanged. Callbacks may arrive before the 202, repeatedly, or from another host or
/// incarnation: each is answered with 204, and only one counts.
#[rstest]
fn a_request_is_forwarded_unchanged_and_answered_once() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    let mut client = dispatcher.send_request("c1", "look", 10.0);
    let (mut peer, request) = host.accept_request();
    assert_eq!(request.start, "POST /api/u?q=1 HTTP/1.1");
    assert_eq!((request.header("x-call-id"), &request.body[..]), (Some("c1"), &b"body"[..]));
    assert!(request.header("x-budget").is_some_and(|b| b.parse::<f64>().is_ok_and(|b| b > 8.0 && b <= 10.0)));
    assert_eq!(dispatcher.send_callback("c1", "s-2", DONE_FIELDS), 204);
    assert_eq!(dispatcher.send_callback("other", "s-1", DONE_FIELDS), 204);
    assert_eq!(dispatcher.send_callback("c1", "s-1", STARTED_FIELDS), 204);
    assert_eq!(dispatcher.send_callback("c1", "s-1", DONE_FIELDS), 204);
    let answer = client.read().expect("no response");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"a \"b\""[..]));
    assert_eq!(dispatcher.send_callback("c1", "s-1", DONE_FIELDS), 204);
    // After the late 202 the upstream connection is free, and both connections are reused.
    peer.write(ACCEPTED_RESPONSE);
    client.send_request("c2", "pay", 10.0);
    let request = peer.read().expect("no request on the same connection");
    assert_eq!(request.header("x-call-id"), Some("c2"));
    peer.write(ACCEPTED_RESPONSE);
    assert_eq!(dispatcher.send_callback("c2", "s-1", DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
}

/// Hosts recognize a repeated request by its `Idempotency-Key`. Without the header they would run the request
/// of a retrying client a second time.
#[rstest]
fn the_idempotency_key_is_forwarded() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    let mut client = HttpPeer::new(connect(dispatcher.http));
    let head = "X-Call-Id: c1\r\nX-Call-Class: look\r\nX-Budget: 9\r\nidempotency-key:  \"8e03-a b\" \r\n";
    client.write(&format!("POST /api/u HTTP/1.1\r\n{head}Content-Length: 4\r\n\r\nbody"));
    let (mut peer, request) = host.accept_job();
    assert_eq!(request.headers.iter().filter(|h| h.starts_with("idempotency-key:")).count(), 1);
    assert_eq!(request.header("idempotency-key"), Some("\"8e03-a b\""));
    assert_eq!(&request.body[..], b"body");
    assert_eq!(dispatcher.send_callback("c1", "s-1", DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
    client.send_request("c2", "look", 9.0);
    assert_eq!(peer.read().expect("no request").header("idempotency-key"), None);
}

/// Which outcomes of an attempt allow a retry: a payment is retried only if it certainly never ran, and a
/// request that may have run is never answered with 429 or 503.
#[rstest]
#[case::error("pay", FAILED_RESPONSE, "", false)]
#[case::broken("pay", "", "", false)]
#[case::lost("pay", ACCEPTED_RESPONSE, r#""state":"lost""#, false)]
#[case::failed("pay", ACCEPTED_RESPONSE, r#""state":"failed""#, false)]
#[case::rejected("pay", REJECTED_RESPONSE, "", true)]
#[case::returned("pay", ACCEPTED_RESPONSE, r#""state":"returned""#, true)]
#[case::safe_broken("look", "", "", true)]
#[case::safe_lost("look", ACCEPTED_RESPONSE, r#""state":"lost""#, true)]
fn the_outcome_of_an_attempt_decides_on_a_retry(
    #[case] class: &str,
    #[case] response: &str,
    #[case] callback: &str,
    #[case] is_retried: bool,
) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (discovery, dispatcher) = dispatcher_with_hosts(&[&first]);
    let mut client = dispatcher.send_request("c1", class, 10.0);
    let (mut peer, _) = first.accept_request();
    // While the attempt is in flight, the second host becomes ready and the first one starts to drain.
    let lines = [first.list_entry("draining"), second.list_entry("ready")];
    discovery.events.send(Some(endpoint_list(8, false, &lines))).expect("no open watch");
    discovery.events.send(None).expect("no open watch");
    // The second watch starts from the version of the event, so the event has been applied.
    let after = |rev: u64| format!("GET /registry/instances?watch=1&after={rev} HTTP/1.1");
    for rev in [7, 8] {
        assert_eq!(discovery.requests.recv_timeout(WAIT_TIMEOUT), Ok(after(rev)));
    }
    peer.write(response);
    if callback.is_empty() {
        drop(peer);
    } else {
        assert_eq!(dispatcher.send_callback("c1", "s-1", callback), 204);
    }
    if is_retried {
        let (_peer, request) = second.accept_job();
        assert_eq!(request.header("x-call-id"), Some("c1"));
        assert_eq!(dispatcher.send_callback("c1", "s-2", DONE_FIELDS), 204);
        assert_eq!(client.read().expect("no response").status(), 200);
    } else {
        assert_eq!(client.read().expect("no response").status(), 500);
        second.listener.set_nonblocking(true).expect("cannot set non-blocking mode");
        assert!(second.listener.accept().is_err(), "the payment was retried");
    }
}

/// The attempt of a client that disconnects is cancelled: before the 202 by closing the connection, afterwards
/// by DELETE.
#[rstest]
fn a_disconnecting_client_cancels_its_attempt() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    let client = dispatcher.send_request("c1", "pay", 10.0);
    let (mut peer, _) = host.accept_request();
    drop(client);
    assert!(peer.is_closed_by_peer());
    let client = dispatcher.send_request("c2", "pay", 10.0);
    let (mut peer, _) = host.accept_job();
    assert_eq!(dispatcher.send_callback("c2", "s-1", STARTED_FIELDS), 204);
    drop(client);
    assert_eq!(peer.read().expect("no request").start, "DELETE /jobs/c2 HTTP/1.1");
}

/// When a host accepts a payment and then stays silent, the client gets a response at its deadline, and not a
/// rejection.
#[rstest]
fn an_attempt_at_a_silent_host_ends_at_the_deadline() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    let sent_at = std::time::Instant::now();
    let mut client = dispatcher.send_request("c1", "pay", 1.0);
    let (mut peer, _) = host.accept_job();
    let status = client.read().expect("no response").status();
    assert!((status == 500 || status == 504) && sent_at.elapsed().as_secs_f64() < 1.07, "{status}");
    assert_eq!(peer.read().expect("no request").start, "DELETE /jobs/c1 HTTP/1.1");
}

/// A request that is shed because it would miss its deadline is answered at once, with Retry-After: no host has
/// capacity, and the time that is left to the client would hardly suffice on a free one.
#[rstest]
fn a_request_that_would_miss_its_deadline_is_rejected_at_once() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    let sent_at = std::time::Instant::now();
    let mut client = dispatcher.send_request("c1", "look", 0.5);
    // The request may also be shed without an attempt.
    std::thread::spawn(move || host.accept_request().0.write(REJECTED_RESPONSE));
    let answer = client.read().expect("no response");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some_and(|s| s.parse::<f64>().is_ok_and(|s| s > 0.0)));
    assert!(sent_at.elapsed().as_secs_f64() < 0.4);
}

/// Nothing is written to an idle connection that its host has closed. The request is sent once, on a new one.
#[rstest]
fn a_connection_closed_while_idle_is_replaced() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    let mut client = dispatcher.send_request("c1", "pay", 10.0);
    drop(host.accept_job());
    assert_eq!(dispatcher.send_callback("c1", "s-1", DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
    client.send_request("c2", "pay", 10.0);
    let (_peer, request) = host.accept_job();
    assert_eq!(request.header("x-call-id"), Some("c2"));
    assert_eq!(dispatcher.send_callback("c2", "s-1", DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
}

/// The watch starts from the version of the cached list, resumes after the last version when it breaks, and applies
/// a complete list.
#[rstest]
fn the_watch_resumes_after_the_last_version() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (discovery, dispatcher) = dispatcher_with_hosts(&[&first]);
    let next_request = || discovery.requests.recv_timeout(WAIT_TIMEOUT).expect("no open watch");
    assert_eq!(next_request(), "GET /registry/instances?watch=1&after=7 HTTP/1.1");
    discovery.events.send(Some(endpoint_list(9, false, &[]))).expect("no open watch");
    discovery.events.send(None).expect("no open watch");
    assert_eq!(next_request(), "GET /registry/instances?watch=1&after=9 HTTP/1.1");
    // A host that a complete list does not contain is removed.
    discovery
        .events
        .send(Some(endpoint_list(10, true, &[second.list_entry("ready")])))
        .expect("no open watch");
    let mut client = HttpPeer::new(connect(dispatcher.http));
    discovery.events.send(None).expect("no open watch");
    assert_eq!(next_request(), "GET /registry/instances?watch=1&after=10 HTTP/1.1");
    client.send_request("c1", "look", 10.0);
    assert_eq!(second.accept_job().1.header("x-call-id"), Some("c1"));
}

/// The process is ready only while a ready host is known: not before the first one, nor once the last one drains.
#[rstest]
fn readiness_requires_a_ready_host() {
    let host = Host::new("s-1");
    let (discovery, dispatcher) = dispatcher_with_hosts(&[]);
    let mut client = HttpPeer::new(connect(dispatcher.http));
    let mut status = || {
        client.write("GET /health/ready HTTP/1.1\r\n\r\n");
        client.read().expect("no response").status()
    };
    assert_eq!(status(), 503);
    for (rev, state, expected) in [(8, "ready", 200), (9, "draining", 503)] {
        discovery
            .events
            .send(Some(endpoint_list(rev, false, &[host.list_entry(state)])))
            .expect("no open watch");
        assert!(
            (0..100_000).any(|_| status() == expected),
            "the readiness check did not follow the state {state} in time"
        );
    }
}

/// Malformed input is answered with an error status, and the dispatcher continues to serve.
#[rstest]
#[case::no_http("nonsense\r\n\r\n", 400)]
#[case::no_id("POST /api/u HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400)]
#[case::no_class(
    "POST /api/u HTTP/1.1\r\nX-Call-Id: a\r\nX-Call-Class: x\r\nX-Budget: 1\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::no_budget(
    "POST /api/u HTTP/1.1\r\nX-Call-Id: a\r\nX-Call-Class: pay\r\nX-Budget: NaN\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::lengths("POST /api/u HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400)]
#[case::smuggled("POST /api/u HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400)]
#[case::call_back("POST /v1/job-events HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 400)]
#[case::unknown_path("GET /nowhere HTTP/1.1\r\n\r\n", 404)]
#[case::large("POST /api/u HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413)]
#[case::huge("POST /api/u HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413)]
fn malformed_input_is_answered(#[case] input: &str, #[case] status: u16) {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    let mut client = HttpPeer::new(connect(dispatcher.http));
    client.write(input);
    assert_eq!(client.read().expect("no response").status(), status);
    let long = format!("GET / HTTP/1.1\r\nX: {}\r\n", "x".repeat(20_000));
    let mut client = HttpPeer::new(connect(dispatcher.http));
    client.write(&long);
    assert_eq!(client.read().expect("no response").status(), 431);
    wait_until_ready(&dispatcher);
}

/// After SIGTERM requests in flight are answered, new ones are served, and then the process exits with success.
/// Connections stay open for a while, as their clients cannot connect elsewhere until the next process listens. The host
/// reports each start: otherwise each request counts as long, and one whose deadline is near may not be worth its price.
#[rstest]
fn after_sigterm_all_requests_are_answered_before_the_exit() {
    let host = Host::new("s-1");
    let (_discovery, mut dispatcher) = dispatcher_with_hosts(&[&host]);
    let mut in_flight = dispatcher.send_request("c1", "pay", 10.0);
    let (mut peer, _) = host.accept_job();
    let terminated_at = std::time::Instant::now();
    dispatcher.terminate();
    let mut ready = HttpPeer::new(connect(dispatcher.http));
    let became_unready = (0..).find(|_| {
        ready.write("GET /health/ready HTTP/1.1\r\n\r\n");
        ready.read().is_none_or(|answer| answer.status() == 503)
    });
    assert!(became_unready.is_some());
    let mut late = dispatcher.send_request("c2", "pay", 10.0);
    let request = peer.read().or_else(|| Some(host.accept_request().1)).expect("no request");
    assert_eq!(request.header("x-call-id"), Some("c2"));
    peer.write(ACCEPTED_RESPONSE);
    for (id, client) in [("c1", &mut in_flight), ("c2", &mut late)] {
        assert_eq!(dispatcher.send_callback(id, "s-1", STARTED_FIELDS), 204);
        assert_eq!(dispatcher.send_callback(id, "s-1", DONE_FIELDS), 204);
        let answer = client.read().expect("no response");
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
    // The connections stay open for a while, and then close after a response.
    for number in 3.. {
        let id = format!("c{number}");
        in_flight.send_request(&id, "pay", 10.0);
        assert_eq!(peer.read().expect("no request").header("x-call-id"), Some(&*id));
        peer.write(ACCEPTED_RESPONSE);
        assert_eq!(dispatcher.send_callback(&id, "s-1", STARTED_FIELDS), 204);
        assert_eq!(dispatcher.send_callback(&id, "s-1", DONE_FIELDS), 204);
        let answer = in_flight.read().expect("no response");
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == Some("close") {
            break;
        }
    }
    assert!(terminated_at.elapsed().as_secs_f64() > 1.0);
    // A request that arrives late is answered before SIGKILL may come.
    late.send_request("c0", "pay", 10.0);
    assert_eq!(peer.read().expect("no request").header("x-call-id"), Some("c0"));
    peer.write(ACCEPTED_RESPONSE);
    assert!(matches!(late.read().expect("no response").status(), 500 | 504));
    assert!(dispatcher.process.wait_for_exit().expect("process did not exit").success());
    assert!(terminated_at.elapsed().as_secs_f64() < 3.7);
}

/// After SIGHUP the watch moves to the configured address at once. If the versions of the new service differ, its
/// response to that one request starts with the complete list. Requests in flight are served. An invalid file
/// changes nothing.
#[rstest]
fn sighup_moves_discovery_without_losing_requests() {
    let (host, other) = (Host::new("s-1"), Host::new("s-2"));
    let (mut discovery, mut dispatcher) = dispatcher_with_hosts(&[&host]);
    let next_request = |d: &MockDiscovery| d.requests.recv_timeout(WAIT_TIMEOUT).expect("no call");
    assert_eq!(next_request(&discovery), "GET /registry/instances?watch=1&after=7 HTTP/1.1");
    let mut in_flight = dispatcher.send_request("c1", "pay", 10.0);
    let (_peer, _) = host.accept_job();
    let mut before = 7;
    for rev in [3, 2] {
        dispatcher.reload(r#""discovery":"#, r#""discovery":0,"#);
        dispatcher.wait_for_log("configuration rejected, keeping the current one");
        dispatcher.reload(r#""discovery":0,"#, r#""discovery":"#);
        dispatcher.wait_for_log("configuration reloaded");
        let moved =
            MockDiscovery::start_with_list(Some(endpoint_list(rev, true, &[other.list_entry("ready")])));
        dispatcher.reload(&discovery.address.to_string(), &moved.address.to_string());
        assert_eq!(next_request(&moved), format!("GET /registry/instances?watch=1&after={before} HTTP/1.1"));
        (discovery, before) = (moved, rev);
    }
    // The first host is no longer listed.
    let mut client = dispatcher.send_request("c2", "pay", 10.0);
    let (_peer, _) = other.accept_job();
    for (id, from, client) in [("c1", "s-1", &mut in_flight), ("c2", "s-2", &mut client)] {
        assert_eq!(dispatcher.send_callback(id, from, DONE_FIELDS), 204);
        assert_eq!(client.read().expect("no response").status(), 200);
    }
    dispatcher.terminate();
    assert!(dispatcher.process.wait_for_exit().expect("process did not exit").success());
}

/// A reused request id is rejected while the first request is in flight and afterwards. Otherwise a payment would be
/// sent twice under one id. An id that was never sent to a host may be reused.
#[rstest]
fn a_reused_id_is_answered_with_conflict() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    assert_eq!(dispatcher.send_request("c1", "pay", 0.0).read().expect("no response").status(), 500);
    let mut client = dispatcher.send_request("c1", "pay", 10.0);
    let (mut peer, _) = host.accept_job();
    let reuse = || dispatcher.send_request("c1", "pay", 10.0).read().expect("no response").status();
    assert_eq!(reuse(), 409);
    assert_eq!(dispatcher.send_callback("c1", "s-1", DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
    assert_eq!(reuse(), 409);
    client.send_request("c2", "pay", 10.0);
    assert_eq!(peer.read().expect("no request").header("x-call-id"), Some("c2"));
}

/// The last chunk may be followed by trailer fields (RFC 9112, 7.1.2), and any part may arrive separately.
#[rstest]
#[case::no_trailers("4\r\nbo", "dy\r\n0\r\n\r\n")]
#[case::trailers("4\r\nbody\r\n0\r\nX-Sum: 5f3a\r\nX-D", "one: 1\r\n\r\n")]
#[case::trailers_in_pieces("4\r\nbody\r\n0\r", "\nX-Sum: 5f3a\r\n\r\n")]
fn a_chunked_body_with_trailers_is_served(#[case] first: &str, #[case] rest: &str) {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    let mut client = HttpPeer::new(connect(dispatcher.http));
    let head = "POST /api/u HTTP/1.1\r\nX-Call-Id: c1\r\nX-Call-Class: look\r\nX-Budget: 9\r\n";
    client.write(&format!("{head}Transfer-Encoding: chunked\r\n\r\n{first}"));
    std::thread::sleep(std::time::Duration::from_millis(30));
    client.write(rest);
    let (mut peer, request) = host.accept_job();
    assert_eq!(&request.body[..], b"body");
    assert_eq!(dispatcher.send_callback("c1", "s-1", DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
    // The connection is reused, so no part of the trailers was read as the next request.
    client.send_request("c2", "look", 9.0);
    let request = peer.read().expect("no request on the same connection");
    assert_eq!(request.header("x-call-id"), Some("c2"));
}
