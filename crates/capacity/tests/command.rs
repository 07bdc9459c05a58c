//! The command line: rejected arguments, output and files.

use roselock_capacity::error::CapacityError;
use roselock_capacity::experiment::find;
use roselock_capacity::run::{RunParameters, run};
use rstest::rstest;
use std::process::{Command, Output};

fn command(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_roselock-capacity"));
    command.args(arguments).output().expect("the command runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
#[case(&[], "experiment")]
#[case(&["nothing"], "unknown experiment \"nothing\"")]
#[case(&["list-bytes", "--sizes", "10,20,30"], "at least 4")]
#[case(&["list-bytes", "--sizes", "10,10,20,30"], "at least 4")]
#[case(&["list-bytes", "--sizes", "10,20,30,many"], "\"many\" is not a whole number")]
#[case(&["list-bytes", "--sizes", "10,20,30,-40"], "\"-40\" is not a whole number")]
#[case(&["list-bytes", "--sizes", "0,20,30,40"], "--sizes: 0 is not between 1 and 20000")]
#[case(&["list-bytes", "--sizes", "10,20,30,20001"], "--sizes: 20001 is not between")]
#[case(&["list-bytes", "--plays", "0"], "--plays: 0 is not between")]
#[case(&["list-bytes", "--plays", "21"], "--plays: 21 is not between")]
#[case(&["list-bytes", "--seed", "x"], "seed")]
#[case(&["list-bytes", "--most-seconds", "0"], "--most-seconds: 0 is not between")]
#[case(&["list-bytes", "--unknown"], "--unknown")]
#[case(&["list-bytes", "--json", "/proc/none"], "/proc/none")]
fn invalid_arguments_are_rejected_with_status_2(#[case] arguments: &[&str], #[case] why: &str) {
    let done = command(arguments);
    assert_eq!(done.status.code(), Some(2), "{}", text(&done.stdout));
    assert!(text(&done.stderr).contains(why), "{}", text(&done.stderr));
}

#[rstest]
fn a_run_can_be_repeated_with_the_seed_that_it_prints() {
    let arguments = ["cold-start", "--sizes", "10,20,30,700", "--plays", "1", "--seed", "42"];
    let (first, second) = (command(&arguments), command(&arguments));
    assert!(first.status.success(), "{}", text(&first.stderr));
    assert!(text(&first.stdout).contains("seeds 42 to 42"), "{}", text(&first.stdout));
    assert_eq!(first.stdout, second.stdout);
}

#[rstest]
fn figures_and_charts_are_written() {
    let directory = std::env::temp_dir().join(format!("roselock-capacity-{}", std::process::id()));
    let path = directory.to_str().expect("a path in UTF-8");
    let done = command(&["list-bytes", "--plays", "1", "--json", path, "--charts", path]);
    let read = |name: &str| std::fs::read_to_string(directory.join(name));
    let (json, chart) = (read("list-bytes.json"), read("list-bytes-whole-list.svg"));
    std::fs::remove_dir_all(&directory).expect("the directory exists");
    assert!(done.status.success(), "{}", text(&done.stderr));
    let figures: serde_json::Value = serde_json::from_str(&json.expect("figures")).expect("JSON");
    assert_eq!(figures["series"][0]["points"][4]["size"], 2_900);
    assert!(figures["series"][0]["law"]["slope"].as_f64().is_some_and(|slope| slope > 100.0), "{figures}");
    assert!(chart.expect("a chart").contains("<svg"));
}

#[rstest]
fn experiment_names_are_unique() {
    let done = command(&["list"]);
    let names: Vec<String> =
        text(&done.stdout).lines().filter_map(|l| l.split(' ').next().map(str::to_owned)).collect();
    let unique: std::collections::BTreeSet<&String> = names.iter().collect();
    assert!(names.len() > 8 && unique.len() == names.len(), "{names:?}");
    assert!(names.iter().all(|name| find(name).is_some()));
}

/// A run stops at its time limit and does not simulate the remaining sizes.
#[rstest]
fn a_run_stops_at_its_time_limit() {
    let slow = roselock_capacity::experiment::Experiment {
        name: "slow",
        description: "sleeps",
        size_label: "sizes",
        sizes: &[1, 2, 3, 4],
        max_size: 4,
        simulate: |size, _| {
            let wait = if size == 2 { 1_100 } else { 0 };
            std::thread::sleep(std::time::Duration::from_millis(wait));
            Ok(Vec::new())
        },
    };
    let parameters = RunParameters { sizes: Vec::new(), repetitions: 1, seed: 1, time_limit_s: 1 };
    let result = run(&slow, &parameters);
    assert!(matches!(result, Err(CapacityError::TimeLimitExceeded { seconds: 1, size: 3 })), "{result:?}");
}
