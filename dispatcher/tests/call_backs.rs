//! Call-backs that come again, late, or of an attempt before. The pages' words: "It repeats each call until it is answered,
//! at most ten times; a call may arrive before the 202"; "each worker gets one attempt of a request at a time"
//! (docs/terms-audit.md).

mod common;
use common::platform::{DONE, world};
use common::*;
use rstest::rstest;
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

const RETURNED: &str = r#""state":"returned","load":{"x0":1}"#;
const STARTED: &str = r#""state":"started""#;

/// What a scripted worker does with an attempt, and that it got one.
fn serve(
    host: &Host,
    dispatcher: &Dispatcher,
    mut does: impl FnMut(usize, &dyn Fn(&str), &mut Peer) + Send + 'static,
) -> Receiver<usize> {
    let (got, attempts) = channel();
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
            does(number, &call, &mut peer);
            // Each attempt comes on a new connection.
            if got.send(number).is_err() {
                return;
            }
        }
    });
    attempts
}

fn taken_and_closed() -> String {
    TAKEN.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
}

/// A worker that hands a job back, and would do so again, with each call coming twice and before its 202: the second time
/// was taken for a repeat of the first, and the client waited up to its deadline.
#[rstest]
fn a_job_that_is_handed_back_is_placed_or_refused_at_once() {
    ["look", "pay"].into_iter().for_each(hand_back);
}

fn hand_back(class: &str) {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let _attempts = serve(&host, &dispatcher, |_, call, peer| {
        call(RETURNED);
        call(RETURNED);
        peer.write(&taken_and_closed());
    });
    let asked = Instant::now();
    let mut client = dispatcher.ask("c1", class, 3.0);
    assert_eq!(client.read().expect("an answer").status(), 503);
    assert!(asked.elapsed().as_secs_f64() < 1.0, "after {:?}", asked.elapsed());
}

/// A `returned` that comes again, as its answer was lost, when the worker has the job anew and runs it: taken for the end
/// of that attempt, it would have the payment run twice.
#[rstest]
fn a_word_that_comes_again_sends_no_payment_twice() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let attempts = serve(&host, &dispatcher, |number, call, peer| {
        peer.write(&taken_and_closed());
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

/// The word that ended an attempt comes again when the next one runs elsewhere: it says nothing of that one.
#[rstest]
#[case::failed(r#""state":"failed""#)]
#[case::lost(r#""state":"lost""#)]
#[case::returned(RETURNED)]
fn a_word_that_comes_again_ends_no_attempt_elsewhere(#[case] word: &'static str) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_discovery, dispatcher) = world(&[&first, &second]);
    let (ended, ends) = channel();
    for host in [&first, &second] {
        let ended = ended.clone();
        let uid = host.uid;
        let _attempts = serve(host, &dispatcher, move |_, _, peer| {
            peer.write(&taken_and_closed());
            let _ = ended.send(uid);
        });
    }
    let mut client = dispatcher.ask("c1", "look", 10.0);
    let one = ends.recv_timeout(PATIENCE).expect("an attempt");
    assert_eq!(dispatcher.call_back("c1", one, word), 204);
    let other = ends.recv_timeout(PATIENCE).expect("a second attempt");
    assert_ne!(one, other, "its worker may still tell of the first one");
    assert_eq!(dispatcher.call_back("c1", one, word), 204);
    assert_eq!(dispatcher.call_back("c1", other, STARTED), 204);
    assert_eq!(dispatcher.call_back("c1", one, word), 204);
    assert_eq!(dispatcher.call_back("c1", other, DONE), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert!(ends.try_recv().is_err(), "a third attempt");
}
