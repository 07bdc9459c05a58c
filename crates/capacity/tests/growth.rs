//! The growth of counted figures at small sizes; they are deterministic for a seed.

use roselock_capacity::experiment::find;
use roselock_capacity::report::{Report, Series};
use roselock_capacity::run::{RunParameters, run};
use rstest::rstest;

fn run_once(experiment: &str, sizes: &[u32], seed: u64) -> Report {
    let experiment = find(experiment).expect("an experiment");
    let parameters = RunParameters { sizes: sizes.to_vec(), repetitions: 1, seed, time_limit_s: 60 };
    run(experiment, &parameters).expect("a run within its limits")
}

fn figure<'a>(report: &'a Report, name: &str) -> &'a Series {
    report.figure(name).unwrap_or_else(|| panic!("no figure {name:?} in {:?}", report.series))
}

fn values(series: &Series) -> Vec<f64> {
    series.points.iter().map(|point| point.median()).collect()
}

/// An idle dispatcher performs no actions, whatever the number of workers.
#[rstest]
fn an_idle_dispatcher_takes_no_action_at_any_number_of_workers() {
    let report = run_once("workers", &[50, 100, 200, 400], 1);
    assert_eq!(values(figure(&report, "actions in an idle minute")), [0.0; 4]);
}

/// A change of one worker does not copy the state of all workers.
#[rstest]
fn a_change_of_one_worker_does_not_copy_all_workers() {
    let report = run_once("workers", &[50, 100, 200, 400], 1);
    let allocations = values(figure(&report, "allocations of a change"));
    // Eight times the workers cause three doublings of a few vectors.
    assert!(allocations[3] - allocations[0] <= 12.0, "{allocations:?}");
}

/// The memory of a worker's state is bounded.
#[rstest]
fn the_state_of_a_worker_takes_at_most_three_kilobytes() {
    let report = run_once("workers", &[64, 128, 256, 512], 1);
    let retained = values(figure(&report, "memory held"));
    for (bytes, workers) in retained.iter().zip([64.0, 128.0, 256.0, 512.0]) {
        let each = bytes / workers;
        assert!((500.0..3_000.0).contains(&each), "{each} bytes a worker at {workers}");
    }
}

/// One timer serves all running tasks.
#[rstest]
fn timers_do_not_grow_with_the_running_tasks() {
    let report = run_once("running", &[4, 8, 16, 32], 1);
    assert_eq!(values(figure(&report, "tasks out"))[0], 4.0);
    let timers = values(figure(&report, "timers"));
    assert!(timers.iter().all(|t| (10.0..25.0).contains(t)), "{timers:?}");
}

/// The bytes of the list are linear in the workers, and those of a change don't depend on them.
#[rstest]
fn list_bytes_are_linear_and_change_bytes_constant() {
    let report = run_once("list-bytes", &[500, 1_000, 2_000, 4_000], 1);
    let complete = figure(&report, "whole list").linear_fit.expect("a fit");
    assert!(complete.nonlinear_from.is_none() && (120.0..200.0).contains(&complete.slope), "{complete:?}");
    let members = figure(&report, "whole list between members").linear_fit.expect("a fit");
    assert!(members.nonlinear_from.is_none() && members.slope < 0.6 * complete.slope, "{members:?}");
    let change = values(figure(&report, "change of one line"));
    assert!(change.iter().all(|bytes| *bytes < 250.0), "{change:?}");
}

/// In a cold start each dispatcher receives one list, and no call fails while the service has capacity.
#[rstest]
fn a_cold_start_fetches_one_list_per_dispatcher() {
    let report = run_once("cold-start", &[50, 100, 200, 300], 1);
    assert_eq!(values(figure(&report, "failed calls")), [0.0; 4]);
    let bytes = figure(&report, "bytes of all answers").linear_fit.expect("a fit");
    assert!(bytes.nonlinear_from.is_none() && (450_000.0..550_000.0).contains(&bytes.slope), "{bytes:?}");
}

/// A dispatcher that resumes a watch receives only the changes.
#[rstest]
fn a_resumed_watch_transfers_only_the_changes() {
    let report = run_once("watches-break", &[50, 100, 200, 300], 1);
    let bytes = figure(&report, "bytes of all answers").linear_fit.expect("a fit");
    assert!(bytes.slope < 10_000.0, "{bytes:?}");
}

/// The packets of a member don't grow with the number of members.
#[rstest]
fn packets_of_a_member_do_not_grow_with_the_members() {
    let report = run_once("members", &[8, 16, 24, 32], 1);
    let packets = values(figure(&report, "packets of a member"));
    assert!(packets[3] < 1.2 * packets[0] && packets[0] > 1.0, "{packets:?}");
    let exchange = figure(&report, "exchange of all members").linear_fit.expect("a fit");
    assert!((60.0..200.0).contains(&exchange.slope), "{exchange:?}");
}

/// The bytes of a change between members don't depend on the workers, and a joining member fetches one list.
#[rstest]
fn a_change_between_members_does_not_depend_on_the_workers() {
    let report = run_once("members-list", &[50, 100, 200, 400], 1);
    let change = values(figure(&report, "bytes of a change, a member"));
    // Six packets of some 200 bytes from each member that receives it.
    assert!(change.iter().all(|bytes| (500.0..1_500.0).contains(bytes)), "{change:?}");
    let spread = change.iter().map(|bytes| (bytes - change[0]).abs()).fold(0.0, f64::max);
    assert!(spread < 50.0, "{change:?}");
    let fetch = figure(&report, "bytes sent to a member that joins").linear_fit.expect("a fit");
    assert!((60.0..120.0).contains(&fetch.slope), "{fetch:?}");
}

/// The bytes of the settings are linear in the teams.
#[rstest]
fn settings_are_linear_in_the_teams() {
    let report = run_once("teams", &[8, 16, 32, 64], 1);
    let written = figure(&report, "settings as JSON").linear_fit.expect("a fit");
    assert!(written.nonlinear_from.is_none() && (25.0..60.0).contains(&written.slope), "{written:?}");
}

/// The report shows where growth stops being linear: at 1,000 dispatchers calls are rejected, at 200 none.
#[rstest]
fn the_report_shows_where_growth_is_no_longer_linear() {
    let report = run_once("cold-start", &[50, 100, 200, 1_000], 1);
    let failed = figure(&report, "failed calls");
    assert!(values(failed)[..3] == [0.0; 3] && values(failed)[3] > 100.0, "{failed:?}");
    assert_eq!(failed.linear_fit.expect("a fit").nonlinear_from, Some(1_000.0));
}

/// Until the longest expected partition the partitioned regions together use one slow-start budget.
#[rstest]
fn partitioned_regions_use_one_budget_until_the_longest_partition() {
    let report = run_once("cut", &[60, 299, 301, 3_600], 1);
    assert_eq!(values(figure(&report, "budget given out, of one")), [1.0, 1.0, 3.0, 3.0]);
}

/// The bytes of a change of many workers are linear in them.
#[rstest]
fn change_bytes_are_linear_in_the_changed_workers() {
    let report = run_once("batch", &[100, 200, 400, 800], 1);
    let bytes = figure(&report, "change as JSON").linear_fit.expect("a fit");
    assert!(bytes.nonlinear_from.is_none() && (120.0..200.0).contains(&bytes.slope), "{bytes:?}");
}

#[rstest]
#[case("cold-start", &[10, 20, 30, 700])]
#[case("members", &[4, 6, 8, 10])]
fn counted_figures_are_the_same_for_the_same_seed(#[case] experiment: &str, #[case] sizes: &[u32]) {
    let counted = |seed| {
        let report = run_once(experiment, sizes, seed);
        let all =
            report.series.into_iter().filter(|s| s.kind == roselock_capacity::figure::FigureKind::Counted);
        all.collect::<Vec<Series>>()
    };
    assert_eq!(counted(7), counted(7));
}

/// The settings whose bytes are counted are valid.
#[rstest]
fn the_counted_settings_are_valid() {
    let text = roselock_capacity::payloads::settings_json(220);
    let options: roselock::settings::Options = serde_json::from_str(&text).expect("JSON of settings");
    let site = options.site().expect("a site");
    assert_eq!((site.settings.tenants.len(), site.zones.names().len()), (220, 11));
    site.settings.check().expect("valid settings");
}
