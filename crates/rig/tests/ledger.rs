//! The ledger finds each defect that is put into a history, and none in a sound one.

use roselock_rig::ledger::{Ledger, Observation, RequestEnd, Tolerances};
use roselock_rig::links::{Fault, LinkFault, Links, Participant};
use roselock_rig::run::claim_net;
use roselock_rig::scenario::{Scenario, all};
use roselock_rig::{Micros, SECOND};
use rstest::rstest;

const MS: Micros = SECOND / 1000;

/// A payment and a look that go well beside a drain and a cold start.
fn sound() -> Vec<(Micros, Observation)> {
    let (pay, look) = ("d0-1".to_owned(), "d1-2".to_owned());
    vec![
        (0, Observation::WorkerStarted(1, 2.0, 10.0, 20 * SECOND)),
        (10 * MS, Observation::RequestSent(pay.clone(), false, 10 * SECOND)),
        (11 * MS, Observation::JobReceived(0, pay.clone())),
        (11 * MS, Observation::JobSentBy(0, 0)),
        (12 * MS, Observation::JobStarted(0, pay.clone())),
        (100 * MS, Observation::DrainNotified(0, 0)),
        (200 * MS, Observation::RequestSent(look.clone(), true, 5 * SECOND)),
        (210 * MS, Observation::JobReceived(1, look.clone())),
        (210 * MS, Observation::JobSentBy(1, 1)),
        (220 * MS, Observation::JobStarted(1, look.clone())),
        (600 * MS, Observation::JobSentBy(0, 0)),
        (900 * MS, Observation::RequestEnded(pay, RequestEnd::Served)),
        (901 * MS, Observation::RequestEnded(look, RequestEnd::Rejected)),
    ]
}

#[rstest]
#[case::sound(vec![], None)]
#[case::answered_twice(vec![(950 * MS, Observation::RequestEnded("d0-1".into(), RequestEnd::Served))], Some("one answer"))]
#[case::lost(vec![(SECOND, Observation::RequestSent("d0-3".into(), true, 2 * SECOND)), (SECOND, Observation::RequestEnded("d0-3".into(), RequestEnd::Lost))],
    Some("one answer"))]
#[case::late(vec![(SECOND, Observation::RequestSent("d0-3".into(), true, 2 * SECOND)), (3 * SECOND, Observation::RequestEnded("d0-3".into(), RequestEnd::Served))],
    Some("one answer"))]
#[case::never(vec![(SECOND, Observation::RequestSent("d0-3".into(), true, 2 * SECOND)), (4 * SECOND, Observation::ConnectionClosed(0))], Some("one answer"))]
#[case::paid_twice(vec![(SECOND, Observation::JobStarted(1, "d0-1".into()))], Some("no second payment"))]
#[case::paid_twice_and_written_down_late(vec![(SECOND, Observation::JobStarted(0, "d0-9".into())), (SECOND + 1, Observation::JobStarted(1, "d0-9".into())),
    (2 * SECOND, Observation::RequestSent("d0-9".into(), false, 9 * SECOND)), (2 * SECOND, Observation::RequestEnded("d0-9".into(), RequestEnd::Served))],
    Some("no second payment"))]
#[case::nobody_asked(vec![(SECOND, Observation::JobStarted(1, "d0-8".into()))], Some("asked for"))]
#[case::back_from_a_drain(vec![(SECOND, Observation::WorkerStarted(0, 9.0, 9.0, SECOND)), (SECOND, Observation::JobSentBy(0, 0))], None)]
#[case::looked_twice(vec![(SECOND, Observation::JobStarted(0, "d1-2".into()))], None)]
#[case::after_the_drain(vec![(SECOND, Observation::JobSentBy(0, 0))], Some("drain"))]
#[case::by_one_not_told(vec![(SECOND, Observation::JobSentBy(1, 0))], None)]
#[case::by_a_new_process(vec![(SECOND, Observation::DispatcherStarted(0)), (2 * SECOND, Observation::JobSentBy(0, 0))], None)]
#[case::by_a_new_process_that_was_told(vec![(SECOND, Observation::DispatcherStarted(0)), (SECOND, Observation::DrainNotified(0, 0)), (2 * SECOND, Observation::JobSentBy(0, 0))],
    Some("drain"))]
#[case::told_while_stopped(vec![(SECOND, Observation::DispatcherResumed(0)), (SECOND + 300 * MS, Observation::JobSentBy(0, 0))], None)]
#[case::stopped_and_late(vec![(SECOND, Observation::DispatcherResumed(0)), (SECOND + 700 * MS, Observation::JobSentBy(0, 0))], Some("drain"))]
#[case::burst((0..4).map(|i| (SECOND + i, Observation::JobReceived(1, format!("d0-{i}")))).collect(), Some("cold budget"))]
#[case::burst_on_a_warm_one((0..9).map(|i| (21 * SECOND + i, Observation::JobReceived(1, format!("d0-{i}")))).collect(), None)]
fn each_defect_is_found(#[case] defect: Vec<(Micros, Observation)>, #[case] rule: Option<&str>) {
    let mut history = sound();
    history.extend(defect);
    let broken = Ledger(history).violations(Tolerances::default());
    assert_eq!(broken.first().map(|b| b.rule), rule, "{broken:?}");
    assert!(broken.len() <= 1, "{broken:?}");
}

#[rstest]
fn the_scenarios_of_the_rig_make_sense_at_any_size() {
    for scenario in all() {
        let big = scenario.clone().scaled_to(300);
        assert_eq!(big.processes, 300, "{}", big.name);
        assert!(big.worker_count >= scenario.worker_count);
        for event in &big.events {
            let most = if event.targets.is_of_dispatchers() { big.processes } else { big.worker_count };
            assert!(event.targets.members(most).end <= most);
        }
    }
}

#[rstest]
#[case("name", "unknown field")]
#[case(
    "[[cut]]\nfrom_s = 0.0\nuntil_s = 1.0\nfrom = \"dispatcher\"\nto = \"list\"\nharm = \"silent\"",
    "is no group"
)]
#[case("rate = -1.0", "rate")]
#[case(
    "[[cut]]\nfrom_s = 0.0\nuntil_s = 1.0\nfrom = \"list\"\nto = \"dispatchers\"\nharm = \"late\"",
    "go with harm"
)]
#[case("[clients]\nburst = 1.0\nburst_at_s = 4.0", "within the run")]
fn what_is_wrong_with_a_scenario_is_named(#[case] line: &str, #[case] word: &str) {
    let head = "name = \"x\"\nabout = \"y\"\nprocesses = 2\nworkers_n = 1\nseconds = 3.0\n";
    let text = match line {
        "name" => format!("{head}rate = 1.0\nnam = 3"),
        line if line.starts_with("rate") => format!("{head}{line}"),
        line => format!("{head}rate = 1.0\n{line}"),
    };
    let why = Scenario::parse(&text).expect_err("wrong");
    assert!(why.contains(word), "{why}");
}

/// A cut of one way lets the other pass, and both pass when it is over.
#[rstest]
#[case(true, [Some(Fault::Silent), None])]
#[case(false, [Some(Fault::Silent), Some(Fault::Silent)])]
fn a_cut_has_ways_and_an_end(#[case] one_way: bool, #[case] wanted: [Option<Fault>; 2]) {
    let group = |text: &str| text.to_owned().try_into().expect("a group");
    let (from, to) = (group("dispatchers[0..2]"), group("workers"));
    let (late_ms, jitter_ms) = (100.0, 50.0);
    let cut =
        LinkFault { from_s: 1.0, until_s: 2.0, from, to, one_way, fault: Fault::Silent, late_ms, jitter_ms };
    let late = LinkFault { from_s: 1.5, until_s: 3.0, fault: Fault::Late, ..cut.clone() };
    let links = Links(vec![late, cut]);
    let (d, w) = (Participant::Dispatcher(1), Participant::Worker(3));
    let harms = |now| [links.fault(d, w, now, 0.5).0, links.fault(w, d, now, 0.5).0];
    assert_eq!(harms(SECOND * 3 / 2), wanted);
    assert_eq!((harms(SECOND / 2), harms(2 * SECOND)), ([None; 2], [None; 2]));
    assert_eq!(links.fault(Participant::Dispatcher(2), w, SECOND * 3 / 2, 0.5), (None, 0));
    assert_eq!(
        links.fault(d, w, 2 * SECOND, 0.5),
        (None, SECOND / 8),
        "late after the cut, by 100 ms and half of 50"
    );
}

/// Found as jobs of one run at another's worker: runs in one process had one net, and drew the same port at times.
#[rstest]
fn runs_beside_one_another_have_nets_of_their_own() {
    let (a, b) = (claim_net().expect("a net"), claim_net().expect("another"));
    assert_ne!(a.0, b.0);
}
