//! Callbacks that are repeated, late, or of an earlier attempt. The operators' pages: "It repeats each call
//! until it is answered, at most ten times; a call may arrive before the 202"; "each worker gets one attempt
//! of a request at a time" (docs/terms-audit.md).

mod common;
use common::platform::{DONE, world};
use common::*;
use rstest::rstest;
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

const RETURNED: &str = r#""state":"returned","load":{"x0":1}"#;
const STARTED: &str = r#""state":"started""#;

/// Lets a scripted worker serve its attempts; the result receives the number of each attempt.
fn serve_attempts(
    host: &Host,
    dispatcher: &Dispatcher,
    mut handle: impl FnMut(usize, &dyn Fn(&str), &mut Peer) + Send + 'static,
) -> Receiver<usize> {
    let (received, attempts) = channel();
    let (listener, uid, http) = (host.listener.try_clone().expect("a clone"), host.uid, dispatcher.http);
    std::thread::spawn(move || {
        let mut number = 0;
        for stream in listener.incoming() {
            let mut peer = Peer::new(stream.expect("a connection"));
            let Some(request) = peer.read() else { continue };
            let Some(id) = request.header("x-call-id").map(str::to_owned) else { continue };
            number += 1;
            let call = |rest: &str| {
                let mut caller = Peer::new(connect(http));
                let body = format!(r#"{{"id":"{id}","from":"{uid}",{rest}}}"#);
                let length = body.len();
                caller.write(&format!(
                    "POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"
                ));
                caller.read().expect("an answer");
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
    TAKEN.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
}

/// A worker returns a job, and would do so again; each callback comes twice and before its 202. A second
/// return must not be taken for a repetition of the first, or the client would wait until its deadline.
#[rstest]
fn a_returned_job_is_rescheduled_or_rejected_at_once() {
    ["look", "pay"].into_iter().for_each(check_returned_job);
}

fn check_returned_job(class: &str) {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let _attempts = serve_attempts(&host, &dispatcher, |_, call, peer| {
        call(RETURNED);
        call(RETURNED);
        peer.write(&accepted_and_closing());
    });
    let asked = Instant::now();
    let mut client = dispatcher.ask("c1", class, 3.0);
    assert_eq!(client.read().expect("an answer").status(), 503);
    assert!(asked.elapsed().as_secs_f64() < 1.0, "after {:?}", asked.elapsed());
}

/// A `returned` callback is repeated, as its response was lost, when the worker has the job again and runs
/// it. Taken for the end of that attempt, it would make the payment run twice.
#[rstest]
fn a_repeated_return_sends_no_started_payment_again() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let attempts = serve_attempts(&host, &dispatcher, |number, call, peer| {
        peer.write(&accepted_and_closing());
        if number > 1 {
            call(STARTED);
        }
        call(r#""state":"returned""#);
    });
    let mut client = dispatcher.ask("c1", "pay", 3.0);
    assert!(client.read().expect("an answer").status() >= 500);
    let sent: Vec<usize> = attempts.try_iter().collect();
    assert!(sent.len() <= 2, "sent {sent:?}: a payment that had started went out again");
}

/// The callback that ended an attempt is repeated when the next one runs at another host: it says nothing
/// about that one.
#[rstest]
#[case::failed(r#""state":"failed""#)]
#[case::lost(r#""state":"lost""#)]
#[case::returned(RETURNED)]
fn a_repeated_callback_ends_no_attempt_at_another_host(#[case] callback: &'static str) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_discovery, dispatcher) = world(&[&first, &second]);
    let (ended, ends) = channel();
    for host in [&first, &second] {
        let ended = ended.clone();
        let uid = host.uid;
        let _attempts = serve_attempts(host, &dispatcher, move |_, _, peer| {
            peer.write(&accepted_and_closing());
            let _ = ended.send(uid);
        });
    }
    let mut client = dispatcher.ask("c1", "look", 10.0);
    let first_host = ends.recv_timeout(PATIENCE).expect("an attempt");
    assert_eq!(dispatcher.call_back("c1", first_host, callback), 204);
    let second_host = ends.recv_timeout(PATIENCE).expect("a second attempt");
    assert_ne!(first_host, second_host, "its worker may still tell of the first one");
    assert_eq!(dispatcher.call_back("c1", first_host, callback), 204);
    assert_eq!(dispatcher.call_back("c1", second_host, STARTED), 204);
    assert_eq!(dispatcher.call_back("c1", first_host, callback), 204);
    assert_eq!(dispatcher.call_back("c1", second_host, DONE), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert!(ends.try_recv().is_err(), "a third attempt");
}
