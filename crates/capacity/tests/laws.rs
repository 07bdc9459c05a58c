//! How counted figures grow: small sizes, the same for the same seed, no seconds.

use roselock_capacity::experiment::find;
use roselock_capacity::report::{Report, Series};
use roselock_capacity::run::{Plan, run};
use rstest::rstest;

fn play(experiment: &str, sizes: &[u32], seed: u64) -> Report {
    let experiment = find(experiment).expect("an experiment");
    let plan = Plan { sizes: sizes.to_vec(), plays: 1, seed, most_seconds: 60 };
    run(experiment, &plan).expect("a run within its bounds")
}

fn figure<'a>(report: &'a Report, name: &str) -> &'a Series {
    report.figure(name).unwrap_or_else(|| panic!("no figure {name:?} in {:?}", report.series))
}

fn values(series: &Series) -> Vec<f64> {
    series.points.iter().map(|point| point.median()).collect()
}

/// Guards against an idle cost that grows with the workers.
#[rstest]
fn an_idle_dispatcher_does_nothing_however_many_workers_there_are() {
    let report = play("workers", &[50, 100, 200, 400], 1);
    assert_eq!(values(figure(&report, "actions in an idle minute")), [0.0; 4]);
}

/// Guards against a change that makes the module copy what is known of each worker.
#[rstest]
fn a_change_of_one_line_allocates_no_more_than_the_order_of_the_workers() {
    let report = play("workers", &[50, 100, 200, 400], 1);
    let allocations = values(figure(&report, "allocations of a change"));
    // Eight times the workers are three doublings of a few lists.
    assert!(allocations[3] - allocations[0] <= 12.0, "{allocations:?}");
}

/// Guards against memory beyond what a worker's state takes, and against a state that has grown.
#[rstest]
fn a_worker_takes_three_kilobytes_at_most() {
    let report = play("workers", &[64, 128, 256, 512], 1);
    let held = values(figure(&report, "memory held"));
    for (bytes, workers) in held.iter().zip([64.0, 128.0, 256.0, 512.0]) {
        let each = bytes / workers;
        assert!((500.0..3_000.0).contains(&each), "{each} bytes a worker at {workers}");
    }
}

/// Guards against timers for each running task: one price tick serves them all.
#[rstest]
fn timers_a_second_do_not_grow_with_the_tasks_that_run() {
    let report = play("running", &[4, 8, 16, 32], 1);
    assert_eq!(values(figure(&report, "tasks out"))[0], 4.0);
    let timers = values(figure(&report, "timers"));
    assert!(timers.iter().all(|t| (10.0..25.0).contains(t)), "{timers:?}");
}

/// Guards against a list whose bytes grow faster than its lines, and a change that carries the list.
#[rstest]
fn the_list_is_linear_and_a_change_does_not_depend_on_it() {
    let report = play("list-bytes", &[500, 1_000, 2_000, 4_000], 1);
    let whole = figure(&report, "whole list").law.expect("a law");
    assert!(whole.bends_at.is_none() && (120.0..200.0).contains(&whole.slope), "{whole:?}");
    let members = figure(&report, "whole list between members").law.expect("a law");
    assert!(members.bends_at.is_none() && members.slope < 0.6 * whole.slope, "{members:?}");
    let change = values(figure(&report, "change of one line"));
    assert!(change.iter().all(|bytes| *bytes < 250.0), "{change:?}");
}

/// Guards against calls that fail where the service has room, and bytes that nobody asked for.
#[rstest]
fn a_cold_start_asks_for_one_list_each() {
    let report = play("cold-start", &[50, 100, 200, 300], 1);
    assert_eq!(values(figure(&report, "failed calls")), [0.0; 4]);
    let bytes = figure(&report, "bytes of all answers").law.expect("a law");
    assert!(bytes.bends_at.is_none() && (450_000.0..550_000.0).contains(&bytes.slope), "{bytes:?}");
}

/// Guards against a whole list for those that resume by version.
#[rstest]
fn a_broken_watch_costs_what_has_changed() {
    let report = play("watches-break", &[50, 100, 200, 300], 1);
    let bytes = figure(&report, "bytes of all answers").law.expect("a law");
    assert!(bytes.slope < 10_000.0, "{bytes:?}");
}

/// Guards against traffic of a member that grows with the number of members.
#[rstest]
fn packets_of_a_member_do_not_grow_with_the_members() {
    let report = play("members", &[8, 16, 24, 32], 1);
    let packets = values(figure(&report, "packets of a member"));
    assert!(packets[3] < 1.2 * packets[0] && packets[0] > 1.0, "{packets:?}");
    let exchange = figure(&report, "exchange of all members").law.expect("a law");
    assert!((60.0..200.0).contains(&exchange.slope), "{exchange:?}");
}

/// Guards against a change between members that carries the list, and a fetch beyond the list.
#[rstest]
fn a_change_between_members_does_not_depend_on_the_workers() {
    let report = play("members-list", &[50, 100, 200, 400], 1);
    let change = values(figure(&report, "bytes of a change, a member"));
    // Six packets of some 200 bytes from each that has it new.
    assert!(change.iter().all(|bytes| (500.0..1_500.0).contains(bytes)), "{change:?}");
    let spread = change.iter().map(|bytes| (bytes - change[0]).abs()).fold(0.0, f64::max);
    assert!(spread < 50.0, "{change:?}");
    let fetch = figure(&report, "bytes sent to a member that joins").law.expect("a law");
    assert!((60.0..120.0).contains(&fetch.slope), "{fetch:?}");
}

/// Guards against settings that grow faster than the teams.
#[rstest]
fn settings_are_linear_in_the_teams() {
    let report = play("teams", &[8, 16, 32, 64], 1);
    let written = figure(&report, "settings as JSON").law.expect("a law");
    assert!(written.bends_at.is_none() && (25.0..60.0).contains(&written.slope), "{written:?}");
}

/// Guards against a bend that the report hides: at 1,000 dispatchers calls are turned away, at 200 none.
#[rstest]
fn a_cold_start_that_bends_says_where() {
    let report = play("cold-start", &[50, 100, 200, 1_000], 1);
    let failed = figure(&report, "failed calls");
    assert!(values(failed)[..3] == [0.0; 3] && values(failed)[3] > 100.0, "{failed:?}");
    assert_eq!(failed.law.expect("a law").bends_at, Some(1_000.0));
}

/// Guards against a cut that is taken for a loss before its time: until then the regions together give out one budget.
#[rstest]
fn regions_give_out_one_budget_while_the_cut_is_reckoned_with() {
    let report = play("cut", &[60, 299, 301, 3_600], 1);
    assert_eq!(values(figure(&report, "budget given out, of one")), [1.0, 1.0, 3.0, 3.0]);
}

/// Guards against a change of many lines that costs more than its lines.
#[rstest]
fn a_change_of_many_lines_is_linear_in_them() {
    let report = play("batch", &[100, 200, 400, 800], 1);
    let bytes = figure(&report, "change as JSON").law.expect("a law");
    assert!(bytes.bends_at.is_none() && (120.0..200.0).contains(&bytes.slope), "{bytes:?}");
}

/// Guards against figures that depend on anything but the seed.
#[rstest]
#[case("cold-start", &[10, 20, 30, 700])]
#[case("members", &[4, 6, 8, 10])]
fn a_seed_has_one_history(#[case] experiment: &str, #[case] sizes: &[u32]) {
    let counted = |seed| {
        let report = play(experiment, sizes, seed);
        let all = report.series.into_iter().filter(|s| s.kind == roselock_capacity::figure::Kind::Counted);
        all.collect::<Vec<Series>>()
    };
    assert_eq!(counted(7), counted(7));
}

/// Guards against settings that are no settings: what is counted is what a dispatcher reads.
#[rstest]
fn the_settings_that_are_counted_can_be_read() {
    let text = roselock_capacity::listing::json_settings(220);
    let options: roselock::settings::Options = serde_json::from_str(&text).expect("JSON of settings");
    let site = options.site().expect("a site");
    assert_eq!((site.settings.tenants.len(), site.zones.names().len()), (220, 11));
    site.settings.check().expect("settings that make sense");
}
