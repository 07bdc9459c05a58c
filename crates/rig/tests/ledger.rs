//! The ledger finds each defect that is put into a history, and none in a sound one.

use roselock_rig::ledger::{End, Ledger, Seen, Slack};
use roselock_rig::links::{Cut, Harm, Links, Party};
use roselock_rig::run::claim_net;
use roselock_rig::scenario::{Scenario, all};
use roselock_rig::{Micros, SECOND};
use rstest::rstest;

const MS: Micros = SECOND / 1000;

/// A payment and a look that go well beside a drain and a cold start.
fn sound() -> Vec<(Micros, Seen)> {
    let (pay, look) = ("d0-1".to_owned(), "d1-2".to_owned());
    vec![
        (0, Seen::Booted(1, 2.0, 10.0, 20 * SECOND)),
        (10 * MS, Seen::Asked(pay.clone(), false, 10 * SECOND)),
        (11 * MS, Seen::Sent(0, pay.clone())),
        (11 * MS, Seen::SentBy(0, 0)),
        (12 * MS, Seen::Began(0, pay.clone())),
        (100 * MS, Seen::Told(0, 0)),
        (200 * MS, Seen::Asked(look.clone(), true, 5 * SECOND)),
        (210 * MS, Seen::Sent(1, look.clone())),
        (210 * MS, Seen::SentBy(1, 1)),
        (220 * MS, Seen::Began(1, look.clone())),
        (600 * MS, Seen::SentBy(0, 0)),
        (900 * MS, Seen::Ended(pay, End::Served)),
        (901 * MS, Seen::Ended(look, End::Refused)),
    ]
}

#[rstest]
#[case::sound(vec![], None)]
#[case::answered_twice(vec![(950 * MS, Seen::Ended("d0-1".into(), End::Served))], Some("one answer"))]
#[case::lost(vec![(SECOND, Seen::Asked("d0-3".into(), true, 2 * SECOND)), (SECOND, Seen::Ended("d0-3".into(), End::Lost))],
    Some("one answer"))]
#[case::late(vec![(SECOND, Seen::Asked("d0-3".into(), true, 2 * SECOND)), (3 * SECOND, Seen::Ended("d0-3".into(), End::Served))],
    Some("one answer"))]
#[case::never(vec![(SECOND, Seen::Asked("d0-3".into(), true, 2 * SECOND)), (4 * SECOND, Seen::Closed(0))], Some("one answer"))]
#[case::paid_twice(vec![(SECOND, Seen::Began(1, "d0-1".into()))], Some("no second payment"))]
#[case::paid_twice_and_written_down_late(vec![(SECOND, Seen::Began(0, "d0-9".into())), (SECOND + 1, Seen::Began(1, "d0-9".into())),
    (2 * SECOND, Seen::Asked("d0-9".into(), false, 9 * SECOND)), (2 * SECOND, Seen::Ended("d0-9".into(), End::Served))],
    Some("no second payment"))]
#[case::nobody_asked(vec![(SECOND, Seen::Began(1, "d0-8".into()))], Some("asked for"))]
#[case::back_from_a_drain(vec![(SECOND, Seen::Booted(0, 9.0, 9.0, SECOND)), (SECOND, Seen::SentBy(0, 0))], None)]
#[case::looked_twice(vec![(SECOND, Seen::Began(0, "d1-2".into()))], None)]
#[case::after_the_drain(vec![(SECOND, Seen::SentBy(0, 0))], Some("drain"))]
#[case::by_one_not_told(vec![(SECOND, Seen::SentBy(1, 0))], None)]
#[case::by_a_new_process(vec![(SECOND, Seen::Started(0)), (2 * SECOND, Seen::SentBy(0, 0))], None)]
#[case::by_a_new_process_that_was_told(vec![(SECOND, Seen::Started(0)), (SECOND, Seen::Told(0, 0)), (2 * SECOND, Seen::SentBy(0, 0))],
    Some("drain"))]
#[case::told_while_stopped(vec![(SECOND, Seen::Resumed(0)), (SECOND + 300 * MS, Seen::SentBy(0, 0))], None)]
#[case::stopped_and_late(vec![(SECOND, Seen::Resumed(0)), (SECOND + 700 * MS, Seen::SentBy(0, 0))], Some("drain"))]
#[case::burst((0..4).map(|i| (SECOND + i, Seen::Sent(1, format!("d0-{i}")))).collect(), Some("cold budget"))]
#[case::burst_on_a_warm_one((0..9).map(|i| (21 * SECOND + i, Seen::Sent(1, format!("d0-{i}")))).collect(), None)]
fn each_defect_is_found(#[case] defect: Vec<(Micros, Seen)>, #[case] rule: Option<&str>) {
    let mut history = sound();
    history.extend(defect);
    let broken = Ledger(history).judge(Slack::default());
    assert_eq!(broken.first().map(|b| b.rule), rule, "{broken:?}");
    assert!(broken.len() <= 1, "{broken:?}");
}

#[rstest]
fn the_scenarios_of_the_rig_make_sense_at_any_size() {
    for scenario in all() {
        let big = scenario.clone().sized(300);
        assert_eq!(big.processes, 300, "{}", big.name);
        assert!(big.workers_n >= scenario.workers_n);
        for event in &big.events {
            let most = if event.who.of_dispatchers() { big.processes } else { big.workers_n };
            assert!(event.who.among(most).end <= most);
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
#[case(true, [Some(Harm::Silent), None])]
#[case(false, [Some(Harm::Silent), Some(Harm::Silent)])]
fn a_cut_has_ways_and_an_end(#[case] one_way: bool, #[case] wanted: [Option<Harm>; 2]) {
    let group = |text: &str| text.to_owned().try_into().expect("a group");
    let (from, to) = (group("dispatchers[0..2]"), group("workers"));
    let (late_ms, jitter_ms) = (100.0, 50.0);
    let cut = Cut { from_s: 1.0, until_s: 2.0, from, to, one_way, harm: Harm::Silent, late_ms, jitter_ms };
    let late = Cut { from_s: 1.5, until_s: 3.0, harm: Harm::Late, ..cut.clone() };
    let links = Links(vec![late, cut]);
    let (d, w) = (Party::Dispatcher(1), Party::Worker(3));
    let harms = |now| [links.harm(d, w, now, 0.5).0, links.harm(w, d, now, 0.5).0];
    assert_eq!(harms(SECOND * 3 / 2), wanted);
    assert_eq!((harms(SECOND / 2), harms(2 * SECOND)), ([None; 2], [None; 2]));
    assert_eq!(links.harm(Party::Dispatcher(2), w, SECOND * 3 / 2, 0.5), (None, 0));
    assert_eq!(
        links.harm(d, w, 2 * SECOND, 0.5),
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
