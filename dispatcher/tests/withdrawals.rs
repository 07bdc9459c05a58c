//! Withdrawals: a job that its host has accepted but not started migrates to another host.

mod common;
use common::http_front::DONE_FIELDS;
use common::*;
use rstest::rstest;

/// Starts a dispatcher whose first host has accepted the job `c1` without starting it when the second host becomes
/// ready. The withdrawal has been received on the returned upstream connection.
fn start_with_stalled_job(first: &Host, second: &Host) -> (MockDiscovery, Dispatcher, HttpPeer, HttpPeer) {
    let discovery = MockDiscovery::start();
    let shared = settings(0.0, 2.0).replace(r#""fleetSize":1"#, r#""fleetSize":2"#);
    let dispatcher = Dispatcher::start(
        discovery.address,
        &shared,
        &endpoint_list(7, true, &[first.list_entry("ready")]),
        None,
    );
    let client = dispatcher.send_request("c1", "look", 10.0);
    let _connection = first.accept_job();
    let lines = [first.list_entry("draining"), second.list_entry("ready")];
    discovery.events.send(Some(endpoint_list(8, false, &lines))).expect("no open watch");
    let (peer, withdrawal) = first.accept_request();
    assert_eq!(withdrawal.start, "DELETE /jobs/c1 HTTP/1.1");
    (discovery, dispatcher, client, peer)
}

/// A job migrates only once its host has responded to the withdrawal. A second attempt that overtakes the withdrawal
/// could make the host run a second copy.
#[rstest]
fn a_job_migrates_only_after_its_withdrawal_is_answered() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_discovery, dispatcher, mut client, mut peer) = start_with_stalled_job(&first, &second);
    // A later job is sent before the withdrawn one.
    let _other = dispatcher.send_request("c2", "pay", 10.0);
    assert_eq!(second.accept_job().1.header("x-call-id"), Some("c2"));
    assert_eq!(dispatcher.send_callback("c2", "s-2", r#""state":"started""#), 204);
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(second.accept_job().1.header("x-call-id"), Some("c1"));
    assert_eq!(dispatcher.send_callback("c1", "s-2", DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
}

/// The callback that ends an attempt may cross its withdrawal. The host may then respond to the withdrawal with any
/// status.
#[rstest]
#[case::done(DONE_FIELDS)]
#[case::lost(r#""state":"lost""#)]
fn a_callback_that_crosses_a_withdrawal_counts(#[case] state: &str) {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_discovery, dispatcher, mut client, mut peer) = start_with_stalled_job(&first, &second);
    assert_eq!(dispatcher.send_callback("c1", "s-1", state), 204);
    if state != DONE_FIELDS {
        assert_eq!(second.accept_job().1.header("x-call-id"), Some("c1"));
        assert_eq!(dispatcher.send_callback("c1", "s-2", DONE_FIELDS), 204);
    }
    peer.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(client.read().expect("no response").status(), 200);
}

/// A withdrawal whose connection is lost may not have arrived: it is sent again, and the job keeps waiting.
#[rstest]
fn a_lost_withdrawal_is_repeated_before_the_job_migrates() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_discovery, dispatcher, mut client, peer) = start_with_stalled_job(&first, &second);
    drop(peer);
    let (mut peer, withdrawal) = first.accept_request();
    assert_eq!(withdrawal.start, "DELETE /jobs/c1 HTTP/1.1");
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(second.accept_job().1.header("x-call-id"), Some("c1"));
    assert_eq!(dispatcher.send_callback("c1", "s-2", DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
}
