//! Suspended workers while two processes of an upgrade serve.

mod common;
use common::*;
use rstest::rstest;

/// Rounds of simultaneous calls.
const ROUNDS: usize = 5;

/// Guards against a suspension that is lost in an upgrade: of two calls at the two processes before either had read what
/// the other wrote, the later set replaced the other one, and both calls were answered with `+OK`.
#[rstest]
fn calls_at_both_processes_at_the_same_time_take_effect_at_both() {
    let hosts = ["s-1", "s-2", "s-3"].map(Host::new);
    let discovery = MockDiscovery::start();
    let entries = hosts.each_ref().map(|host| host.list_entry("ready"));
    let (settings, cached_list) = (settings(0.0, 2.0), endpoint_list(7, true, &entries));
    let launch = |tmp| {
        let options = StartOptions::new(discovery.address, &settings, &cached_list);
        Dispatcher::launch(StartOptions { admin: true, inherited_listener: None, tmp, ..options })
    };
    let old = launch(None);
    let new = launch(Some(old.tmp.clone()));
    for _ in 0..ROUNDS {
        for (verb, reply, unhealthy) in [("SUSPEND", "out", 2), ("RESTORE", "back", 0)] {
            let answers = std::thread::scope(|scope| {
                let at_new = scope.spawn(|| new.admin_call(&format!("{verb} s-2")));
                (old.admin_call(&format!("{verb} s-1")), at_new.join().expect("thread panicked"))
            });
            assert_eq!(answers, (vec![format!("+OK s-1 {reply}")], vec![format!("+OK s-2 {reply}")]));
            old.wait_for_metric("/cluster_unhealthy", unhealthy.into());
            new.wait_for_metric("/cluster_unhealthy", unhealthy.into());
        }
    }
}
