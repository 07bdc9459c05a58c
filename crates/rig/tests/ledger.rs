//! Tests of the ledger's rules, of scenario parsing and scaling, of link faults and of net claims.

use roselock_rig::ledger::{Ledger, MissedNotifications, Observation, RequestEnd, Tolerances, WarmUp};
use roselock_rig::links::{Fault, LinkEffect, LinkFault, Links, Participant};
use roselock_rig::net::claim_subnet;
use roselock_rig::scenario::{Scenario, all};
use roselock_rig::{Micros, SECOND};
use rstest::rstest;

const MS: Micros = SECOND / 1000;

fn request_sent(id: String, repeatable: bool, deadline: Micros) -> Observation {
    Observation::RequestSent { id, repeatable, deadline }
}

fn worker_started(worker: usize, cold_budget: f64, warm_budget: f64, duration: Micros) -> Observation {
    Observation::WorkerStarted(WarmUp { worker, cold_budget, warm_budget, duration })
}

/// A history that breaks no rule: a request of each class, one served and one rejected, a drain and a warm-up.
fn correct_history() -> Vec<(Micros, Observation)> {
    let (pay, look) = ("d0-1".to_owned(), "d1-2".to_owned());
    vec![
        (0, worker_started(1, 2.0, 10.0, 20 * SECOND)),
        (10 * MS, request_sent(pay.clone(), false, 10 * SECOND)),
        (11 * MS, Observation::JobReceived(0, pay.clone())),
        (11 * MS, Observation::JobSent { dispatcher: 0, worker: 0 }),
        (12 * MS, Observation::JobStarted(0, pay.clone())),
        (100 * MS, Observation::DrainNotified { dispatcher: 0, worker: 0 }),
        (200 * MS, request_sent(look.clone(), true, 5 * SECOND)),
        (210 * MS, Observation::JobReceived(1, look.clone())),
        (210 * MS, Observation::JobSent { dispatcher: 1, worker: 1 }),
        (220 * MS, Observation::JobStarted(1, look.clone())),
        (600 * MS, Observation::JobSent { dispatcher: 0, worker: 0 }),
        (900 * MS, Observation::RequestEnded(pay, RequestEnd::Served)),
        (901 * MS, Observation::RequestEnded(look, RequestEnd::Rejected)),
    ]
}

/// Each violation that is added to a correct history is reported, under its rule and only once.
#[rstest]
#[case::correct(vec![], None)]
#[case::answered_twice(vec![(950 * MS, Observation::RequestEnded("d0-1".into(), RequestEnd::Served))], Some("one answer"))]
#[case::lost(vec![(SECOND, request_sent("d0-3".into(), true, 2 * SECOND)), (SECOND, Observation::RequestEnded("d0-3".into(), RequestEnd::Lost))],
    Some("one answer"))]
#[case::late(vec![(SECOND, request_sent("d0-3".into(), true, 2 * SECOND)), (3 * SECOND, Observation::RequestEnded("d0-3".into(), RequestEnd::Served))],
    Some("one answer"))]
#[case::never_answered(vec![(SECOND, request_sent("d0-3".into(), true, 2 * SECOND)), (4 * SECOND, Observation::ConnectionClosed(0))], Some("one answer"))]
#[case::paid_twice(vec![(SECOND, Observation::JobStarted(1, "d0-1".into()))], Some("no second payment"))]
#[case::paid_twice_and_recorded_late(vec![(SECOND, Observation::JobStarted(0, "d0-9".into())), (SECOND + 1, Observation::JobStarted(1, "d0-9".into())),
    (2 * SECOND, request_sent("d0-9".into(), false, 9 * SECOND)), (2 * SECOND, Observation::RequestEnded("d0-9".into(), RequestEnd::Served))],
    Some("no second payment"))]
#[case::not_requested(vec![(SECOND, Observation::JobStarted(1, "d0-8".into()))], Some("asked for"))]
#[case::restarted_after_a_drain(vec![(SECOND, worker_started(0, 9.0, 9.0, SECOND)), (SECOND, Observation::JobSent { dispatcher: 0, worker: 0 })], None)]
#[case::safe_job_started_twice(vec![(SECOND, Observation::JobStarted(0, "d1-2".into()))], None)]
#[case::sent_after_the_drain(vec![(SECOND, Observation::JobSent { dispatcher: 0, worker: 0 })], Some("drain"))]
#[case::sent_by_a_dispatcher_without_notification(vec![(SECOND, Observation::JobSent { dispatcher: 1, worker: 0 })], None)]
#[case::sent_by_a_new_process(vec![(SECOND, Observation::DispatcherStarted(0)), (2 * SECOND, Observation::JobSent { dispatcher: 0, worker: 0 })], None)]
#[case::sent_by_a_new_process_after_its_notification(vec![(SECOND, Observation::DispatcherStarted(0)), (SECOND, Observation::DrainNotified { dispatcher: 0, worker: 0 }), (2 * SECOND, Observation::JobSent { dispatcher: 0, worker: 0 })],
    Some("drain"))]
#[case::notified_while_stopped(vec![(SECOND, Observation::DispatcherResumed(0)), (SECOND + 300 * MS, Observation::JobSent { dispatcher: 0, worker: 0 })], None)]
#[case::sent_late_after_a_stop(vec![(SECOND, Observation::DispatcherResumed(0)), (SECOND + 700 * MS, Observation::JobSent { dispatcher: 0, worker: 0 })], Some("drain"))]
#[case::burst_to_a_cold_worker((0..4).map(|i| (SECOND + i, Observation::JobReceived(1, format!("d0-{i}")))).collect(), Some("cold budget"))]
#[case::burst_to_a_warm_worker((0..9).map(|i| (21 * SECOND + i, Observation::JobReceived(1, format!("d0-{i}")))).collect(), None)]
fn every_violation_is_reported(#[case] added: Vec<(Micros, Observation)>, #[case] rule: Option<&str>) {
    let mut history = correct_history();
    history.extend(added);
    let violations = Ledger(history).violations(Tolerances::default());
    assert_eq!(violations.first().map(|first| first.rule), rule, "{violations:?}");
    assert!(violations.len() <= 1, "{violations:?}");
}

/// Guards against a judge that overlooks requests to workers whose drain a dispatcher has missed (issue 53), and against one that
/// blames a dispatcher that could not know of it. The worker is listed as draining at 10 s.
#[rstest]
#[case::in_time(vec![], 16_500, false)]
#[case::late(vec![], 16_700, true)]
#[case::unreachable(vec![(9_000, reachable(false))], 20_000, false)]
#[case::reachable_again(vec![(9_000, reachable(false)), (12_000, reachable(true))], 18_500, false)]
#[case::reachable_for_long(vec![(9_000, reachable(false)), (12_000, reachable(true))], 18_700, true)]
#[case::a_new_process(vec![(13_000, Observation::DispatcherStarted(0))], 19_500, false)]
#[case::after_a_move(vec![(11_000, Observation::DiscoveryMoved(0))], 15_700, true)]
#[case::right_after_a_move(vec![(11_000, Observation::DiscoveryMoved(0))], 15_500, false)]
#[case::a_move_before(vec![(9_000, Observation::DiscoveryMoved(0))], 15_700, false)]
#[case::ready_again(vec![(12_000, Observation::WorkerListed { worker: 0, is_ready: true })], 19_000, false)]
fn a_missed_notification_counts(
    #[case] between: Vec<(Micros, Observation)>,
    #[case] sent_at_ms: Micros,
    #[case] is_violation: bool,
) {
    let mut history = vec![(0, Observation::DispatcherStarted(0))];
    history.push((10_000, Observation::WorkerListed { worker: 0, is_ready: false }));
    history.extend(between);
    history.push((sent_at_ms, Observation::JobSent { dispatcher: 0, worker: 0 }));
    let mut ledger =
        Ledger(history.into_iter().map(|(at_ms, observation)| (at_ms * MS, observation)).collect());
    ledger.0.sort_by_key(|(at, _)| *at);
    let missed_notifications = MissedNotifications::Counted;
    let counted = ledger.violations(Tolerances { missed_notifications, ..Tolerances::default() });
    assert_eq!(counted.iter().any(|violation| violation.rule == "drain"), is_violation, "{counted:?}");
    assert!(ledger.violations(Tolerances::default()).is_empty(), "such changes count only where asked for");
}

fn reachable(is_reachable: bool) -> Observation {
    Observation::DiscoveryReachable { dispatcher: 0, is_reachable }
}

#[rstest]
fn scenarios_scale_to_300_dispatchers() {
    for scenario in all() {
        let scaled = scenario.clone().scaled_to(300);
        assert_eq!(scaled.processes, 300, "{}", scaled.name);
        assert!(scaled.worker_count >= scenario.worker_count);
        for event in &scaled.events {
            let count =
                if event.targets.is_of_dispatchers() { scaled.processes } else { scaled.worker_count };
            assert!(event.targets.members(count).end <= count);
        }
    }
}

#[rstest]
#[case("name", "unknown field")]
#[case(
    "[[cut]]\nfrom_s = 0.0\nuntil_s = 1.0\nfrom = \"dispatcher\"\nto = \"list\"\nharm = \"silent\"",
    "is not a participant group"
)]
#[case("rate = -1.0", "rate")]
#[case(
    "[[cut]]\nfrom_s = 0.0\nuntil_s = 1.0\nfrom = \"list\"\nto = \"dispatchers\"\nharm = \"late\"",
    "require harm"
)]
#[case("[clients]\nburst = 1.0\nburst_at_s = 4.0", "within the run")]
fn invalid_scenario_is_rejected_with_the_reason(#[case] line: &str, #[case] reason: &str) {
    let header = "name = \"x\"\nabout = \"y\"\nprocesses = 2\nworkers_n = 1\nseconds = 3.0\n";
    let text = match line {
        "name" => format!("{header}rate = 1.0\nnam = 3"),
        line if line.starts_with("rate") => format!("{header}{line}"),
        line => format!("{header}rate = 1.0\n{line}"),
    };
    let error = Scenario::parse(&text).expect_err("an invalid scenario").to_string();
    assert!(error.contains(reason), "{error}");
}

/// A one-way fault does not affect the other direction, and no fault applies outside its time or its participants.
#[rstest]
#[case(true, [Some(Fault::Silent), None])]
#[case(false, [Some(Fault::Silent), Some(Fault::Silent)])]
fn link_fault_applies_by_direction_and_time(#[case] one_way: bool, #[case] expected: [Option<Fault>; 2]) {
    let group = |text: &str| text.to_owned().try_into().expect("a group");
    let from = group("dispatchers[0..2]");
    let to = group("workers");
    let (late_ms, jitter_ms) = (100.0, 50.0);
    let silent =
        LinkFault { from_s: 1.0, until_s: 2.0, from, to, one_way, fault: Fault::Silent, late_ms, jitter_ms };
    let late = LinkFault { from_s: 1.5, until_s: 3.0, fault: Fault::Late, ..silent.clone() };
    let links = Links(vec![late, silent]);
    let dispatcher = Participant::Dispatcher(1);
    let worker = Participant::Worker(3);
    let faults = |now| {
        let forward = links.effect(dispatcher, worker, now, 0.5);
        let backward = links.effect(worker, dispatcher, now, 0.5);
        [forward.fault, backward.fault]
    };
    assert_eq!(faults(SECOND * 3 / 2), expected);
    assert_eq!((faults(SECOND / 2), faults(2 * SECOND)), ([None; 2], [None; 2]));
    let outside = links.effect(Participant::Dispatcher(2), worker, SECOND * 3 / 2, 0.5);
    assert_eq!(outside, LinkEffect { fault: None, delay: 0 });
    assert_eq!(
        links.effect(dispatcher, worker, 2 * SECOND, 0.5),
        LinkEffect { fault: None, delay: SECOND / 8 },
        "after the silence, the delay is 100 ms plus half of the 50 ms jitter"
    );
}

/// Regression: concurrent runs in one process shared a net and sometimes got the same port, so jobs of one run reached
/// workers of another.
#[rstest]
fn concurrent_runs_claim_different_nets() {
    let first = claim_subnet().expect("a net");
    let second = claim_subnet().expect("another net");
    assert_ne!(first.net, second.net);
}
