//! Reloads of the configuration, also rejected ones, before a shutdown. The requirements: "SIGKILL comes
//! as early as min(longest deadline, 3 s) + 0.7 s after SIGTERM"; "new configurations in a row" (docs/terms-audit.md).

mod common;
use common::http_front::{DONE_FIELDS, dispatcher_with_settings};
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

const SHORT_DEADLINE: &str = r#""giveUpS":1"#;
const LONG_DEADLINE: &str = r#""giveUpS":15"#;

/// Shuts down a dispatcher with a request in flight at a hanging worker, and returns how many seconds that takes.
fn shutdown_seconds(dispatcher: &mut Dispatcher, host: &Host) -> f64 {
    // The client keeps its connection open for a late request.
    let mut client = dispatcher.send_request("c0", "pay", 1.0);
    let (mut peer, _) = host.accept_job();
    assert_eq!(dispatcher.send_callback("c0", host.uid, DONE_FIELDS), 204);
    assert_eq!(client.read().expect("no response").status(), 200);
    let terminated_at = Instant::now();
    dispatcher.terminate();
    let _held = dispatcher.send_request("c1", "pay", 1.0);
    let request = peer.read().or_else(|| Some(host.accept_request().1)).expect("no request");
    assert_eq!(request.header("x-call-id"), Some("c1"));
    while terminated_at.elapsed() < Duration::from_millis(850) {
        std::thread::yield_now();
    }
    client.send_request("c2", "pay", 15.0);
    assert!(client.read().expect("no response").status() >= 500);
    assert!(dispatcher.process.wait_for_exit().expect("process did not exit").success());
    terminated_at.elapsed().as_secs_f64()
}

/// After a reload the time until SIGKILL may follow the deadlines of any configuration so far, also of a rejected one. A
/// graceful shutdown therefore ends by the shortest of them. Regression: it followed the newest settings in use.
#[rstest]
#[case::longer(SHORT_DEADLINE, &[(SHORT_DEADLINE, LONG_DEADLINE)])]
#[case::rejected(LONG_DEADLINE, &[(LONG_DEADLINE, SHORT_DEADLINE), (r#""name":"look""#, r#""name":"other""#)])]
fn a_shutdown_ends_by_the_shortest_limit_of_all_configurations(
    #[case] before: &str,
    #[case] changes: &[(&str, &str)],
) {
    let host = Host::new("s-1");
    let first = settings(0.0, 2.0).replace(LONG_DEADLINE, before);
    let (_discovery, mut dispatcher) = dispatcher_with_settings(&first, &[&host]);
    let mut text = std::fs::read_to_string(&dispatcher.config).expect("cannot read configuration");
    for (from, to) in changes {
        text = text.replace(from, to);
    }
    std::fs::write(&dispatcher.config, text).expect("write failed");
    dispatcher.reload("", "");
    dispatcher.wait_for_log("configuration reloaded");
    let seconds = shutdown_seconds(&mut dispatcher, &host);
    assert!(seconds < 1.7, "{seconds} s, and SIGKILL may come 0.7 s after the longest deadline of 1 s");
}
