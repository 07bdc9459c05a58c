//! Callbacks that are repeated, late, or for an earlier attempt. The operators' pages: "It repeats each call
//! until it is answered, at most ten times; a call may arrive before the 202"; "each worker gets one attempt
//! of a request at a time" (docs/terms-audit.md).

mod common;
use common::http_front::{DONE_FIELDS, STARTED_FIELDS, dispatcher_with_hosts};
use common::*;
use rstest::rstest;
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

const RETURNED_FIELDS: &str = r#""state":"returned","load":{"x0":1}"#;

/// Serves the attempts at a host with `handle`. The channel receives the number of each attempt.
fn serve_attempts(
    host: &Host,
    dispatcher: &Dispatcher,
    mut handle: impl FnMut(usize, &dyn Fn(&str), &mut HttpPeer) + Send + 'static,
) -> Receiver<usize> {
    let (received, attempts) = channel();
    let (listener, uid, http) =
        (host.listener.try_clone().expect("cannot clone listener"), host.uid, dispatcher.http);
    std::thread::spawn(move || {
        let mut number = 0;
        for stream in listener.incoming() {
            let mut peer = HttpPeer::new(stream.expect("no connection"));
            let Some(request) = peer.read() else { continue };
            let Some(id) = request.header("x-call-id").map(str::to_owned) else { continue };
            number += 1;
            let call = |rest: &str| {
                let mut caller = HttpPeer::new(connect(http));
                let body = format!(r#"{{"id":"{id}","from":"{uid}",{rest}}}"#);
                let length = body.len();
                caller.write(&format!(
                    "POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"
                ));
                caller.read().expect("no response");
            };
            handle(number, &call, &mut peer);
            // Each attempt uses a new connection.
            if received.send(number).is_err() {
                return;
            }
        }
    });
    attempts
}

fn accepted_and_closing() -> String {
    ACCEPTED_RESPONSE.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
}

/// A worker returns a job, and would do so again; each callback is sent twice and before its 202. The return of a
/// second attempt must not be mistaken for a repeated callback of the first, otherwise the client waits until its
/// deadline.
#[rstest]
fn a_returned_job_is_rescheduled_or_rejected_at_once() {
    ["look", "pay"].into_iter().for_each(check_returned_job);
}

fn check_returned_job(class: &str) {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    let _attempts = serve_attempts(&host, &dispatcher, |_, call, peer| {
        call(RETURNED_FIELDS);
        call(RETURNED_FIELDS);
        peer.write(&accepted_and_closing());
    });
    let sent_at = Instant::now();
    let mut client = dispatcher.send_request("c1", class, 3.0);
    assert_eq!(client.read().expect("no response").status(), 503);
    assert!(sent_at.elapsed().as_secs_f64() < 1.0, "after {:?}", sent_at.elapsed());
}

/// A `returned` callback whose response was lost is repeated after the worker has received the job again and runs
/// it. If the callback ended the new attempt, the payment would run twice.
#[rstest]
fn a_repeated_return_sends_no_started_payment_again() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&host]);
    let attempts = serve_attempts(&host, &dispatcher, |number, call, peer| {
        peer.write(&accepted_and_closing());
        if number > 1 {
            call(STARTED_FIELDS);
        }
        call(r#""state":"returned""#);
    });
    let mut client = dispatcher.send_request("c1", "pay", 3.0);
    assert!(client.read().expect("no response").status() >= 500);
    let sent: Vec<usize> = attempts.try_iter().collect();
    assert!(sent.len() <= 2, "sent {sent:?}: a payment that had started was sent again");
}

/// The callback that ended an attempt is repeated while the next attempt runs at another host, and does not end that
/// one.
#[rstest]
#[case::failed(r#""state":"failed""#)]
#[case::lost(r#""state":"lost""#)]
#[case::returned(RETURNED_FIELDS)]
fn a_repeated_callback_ends_no_attempt_at_another_host(#[case] callback: &'static str) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_discovery, dispatcher) = dispatcher_with_hosts(&[&first, &second]);
    let (ended, ends) = channel();
    for host in [&first, &second] {
        let ended = ended.clone();
        let uid = host.uid;
        let _attempts = serve_attempts(host, &dispatcher, move |_, _, peer| {
            peer.write(&accepted_and_closing());
            let _ = ended.send(uid);
        });
    }
    let mut client = dispatcher.send_request("c1", "look", 10.0);
    let first_host = ends.recv_timeout(WAIT_TIMEOUT).expect("no attempt");
    assert_eq!(dispatcher.send_callback("c1", first_host, callback), 204);
    let second_host = ends.recv_timeout(WAIT_TIMEOUT).expect("no second attempt");
    assert_ne!(first_host, second_host, "the first host may still report on its attempt");
    assert_eq!(dispatcher.send_callback("c1", first_host, callback), 204);
    assert_eq!(dispatcher.send_callback("c1", second_host, STARTED_FIELDS), 204);
    assert_eq!(dispatcher.send_callback("c1", first_host, callback), 204);
    assert_eq!(dispatcher.send_callback("c1", second_host, DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
    assert!(ends.try_recv().is_err(), "a third attempt");
}
