//! The conformance suite against the Gearman front end, and against front ends with a defect.

mod common;
use common::*;
use roselock_gearman_conformance::defect::{DEFECTS, Defect, relay};
use roselock_gearman_conformance::{Case, all, run};
use rstest::rstest;

const FUNCTIONS: &str = r#"cold_s = 0.0
max_functions = 1024
admins = ["127.0.0.1"]
[default]
class = "look"
class_high = "pay"
deadline_s = 15.0
target = "gearman"
"#;

fn start_front() -> (MockDiscovery, Dispatcher) {
    let discovery = MockDiscovery::start();
    let dispatcher = Dispatcher::start(
        discovery.address,
        &settings(0.0, 0.2),
        &endpoint_list(1, true, &[]),
        Some(FUNCTIONS),
    );
    (discovery, dispatcher)
}

fn failed_cases(at: std::net::SocketAddr, cases: &[Case], run_id: &str) -> Vec<String> {
    let results = run(at, cases, run_id).into_iter();
    results.filter_map(|(case, r)| Some(format!("{}: {}", case.name, r.err()?))).collect()
}

/// The front end passes each case of the suite, also through the relay without a defect.
#[rstest]
fn the_front_conforms() {
    let (_discovery, dispatcher) = start_front();
    let cases = all();
    assert!(cases.len() >= 100, "{} cases", cases.len());
    let at = dispatcher.gearman.expect("Gearman front is not enabled");
    let failed = failed_cases(at, &cases, "direct");
    assert!(failed.is_empty(), "{} of {}:\n{}", failed.len(), cases.len(), failed.join("\n"));
    let relayed = relay(at, Defect::None);
    let client_cases: Vec<Case> = cases.into_iter().filter(|c| c.name.starts_with("client-")).collect();
    assert_eq!(failed_cases(relayed, &client_cases, "relayed"), Vec::<String>::new());
}

/// Each injected defect fails at least one case, which shows that the suite can fail.
#[rstest]
fn each_defect_is_found() {
    let (_discovery, dispatcher) = start_front();
    let at = dispatcher.gearman.expect("Gearman front is not enabled");
    // Only a few cases: one that fails takes its whole time-out.
    let few = ["client-complete", "client-status-relayed", "client-exception-asked", "status-queued"];
    let mut cases: Vec<Case> = all().into_iter().filter(|c| few.contains(&c.name.as_str())).collect();
    for case in &mut cases {
        case.within_ms = 1500;
    }
    for defect in DEFECTS {
        let found = failed_cases(relay(at, defect), &cases, &format!("{defect:?}"));
        assert!(!found.is_empty(), "{defect:?} was not found");
    }
}
