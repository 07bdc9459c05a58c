//! Withdrawals: jobs that a host has taken and not started move on.

mod common;
use common::platform::DONE;
use common::*;
use rstest::rstest;

/// A host that has taken the job `c1` and does not start it; another one comes up.
fn a_job_that_stands(first: &Host, second: &Host) -> (Discovery, Dispatcher, Peer, Peer) {
    let discovery = Discovery::start();
    let shared = settings(0.0, 2.0).replace(r#""fleetSize":1"#, r#""fleetSize":2"#);
    let dispatcher = Dispatcher::start(discovery.at, &shared, &list(7, true, &[first.line("ready")]), None);
    let client = dispatcher.ask("c1", "look", 10.0);
    let _kept = first.take();
    let lines = [first.line("draining"), second.line("ready")];
    discovery.lines.send(Some(list(8, false, &lines))).expect("a watch");
    let (peer, withdrawal) = first.request();
    assert_eq!(withdrawal.start, "DELETE /jobs/c1 HTTP/1.1");
    (discovery, dispatcher, client, peer)
}

/// A job that its host has taken but not started moves on, once the host has heard that it is called off: until
/// then another attempt could be there first, and the host would run a second copy.
#[rstest]
fn a_job_moves_on_only_when_its_host_knows() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_discovery, dispatcher, mut client, mut peer) = a_job_that_stands(&first, &second);
    // What comes later is there before it.
    let _other = dispatcher.ask("c2", "pay", 10.0);
    assert_eq!(second.take().1.header("x-call-id"), Some("c2"));
    assert_eq!(dispatcher.call_back("c2", "s-2", r#""state":"started""#), 204);
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
    assert_eq!(dispatcher.call_back("c1", "s-2", DONE), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// The word that ends an attempt may cross its withdrawal, which the host then may answer with anything.
#[rstest]
#[case::done(DONE)]
#[case::lost(r#""state":"lost""#)]
fn a_word_that_crosses_a_withdrawal_counts(#[case] word: &str) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_discovery, dispatcher, mut client, mut peer) = a_job_that_stands(&first, &second);
    assert_eq!(dispatcher.call_back("c1", "s-1", word), 204);
    if word != DONE {
        assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
        assert_eq!(dispatcher.call_back("c1", "s-2", DONE), 204);
    }
    peer.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// A withdrawal whose connection breaks may not have arrived: it goes out again, and the job waits on.
#[rstest]
fn a_withdrawal_that_broke_goes_out_again_before_the_job_does() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_discovery, dispatcher, mut client, peer) = a_job_that_stands(&first, &second);
    drop(peer);
    let (mut peer, withdrawal) = first.request();
    assert_eq!(withdrawal.start, "DELETE /jobs/c1 HTTP/1.1");
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(second.take().1.header("x-call-id"), Some("c1"));
    assert_eq!(dispatcher.call_back("c1", "s-2", DONE), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
}
