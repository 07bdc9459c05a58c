//! `roselock-rig run`: runs scenarios and checks the rules.

use super::{CliError, Verdict};
use argh::FromArgs;
use roselock_rig::dispatcher_process::DISPATCHER_LIMITS;
use roselock_rig::ledger::Tolerances;
use roselock_rig::process::kill_all_on_signals;
use roselock_rig::report::Report;
use roselock_rig::run::{RunOptions, default_program, run_scenario};
use roselock_rig::scenario::{self, Scenario};
use roselock_rig::{files, run_chart};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};

/// Limit of the broken rules, and of the failures, that are printed for each run.
const MAX_SHOWN_FAILURES: usize = 5;
/// Appended to the scenario's name in reports of the `--against` build.
const AGAINST_SUFFIX: &str = " (against)";

/// Run scenarios; the exit status is 1 if a rule is broken or an expectation is not met.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Arguments {
    /// name of a built-in scenario, path of a scenario file, or `all`
    #[argh(positional)]
    scenario: String,
    /// number of dispatchers; the number of workers is scaled in proportion
    #[argh(option)]
    processes: Option<usize>,
    /// service time of a call to the discovery service, in milliseconds
    #[argh(option)]
    call_ms: Option<f64>,
    /// operator file for the program under test, not for the `--against` build
    #[argh(option)]
    operator: Option<PathBuf>,
    /// seed of all random choices (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of consecutive seeds to run, from --seed on (default: 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// program under test (default: `roselock` in the folder of this executable)
    #[argh(option)]
    program: Option<PathBuf>,
    /// another build of the program, run with the same seeds for comparison
    #[argh(option)]
    against: Option<PathBuf>,
    /// folder for a chart of each run, as SVG
    #[argh(option)]
    pages: Option<PathBuf>,
    /// output file for the reports, as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// A build of the dispatcher.
struct Build {
    program: PathBuf,
    /// Whether its broken rules fail the command. The `--against` build is only compared.
    is_under_test: bool,
}

/// Runs the scenarios with all seeds and prints the figures of each run.
///
/// # Errors
///
/// A file cannot be read or written, a scenario is invalid, or a run is aborted.
pub fn run(arguments: &Arguments) -> Result<Verdict, CliError> {
    kill_all_on_signals().map_err(CliError::Signals)?;
    let builds = builds(arguments)?;
    let mut reports = Vec::new();
    let mut verdict = Verdict::Passed;
    println!("{}", Report::TABLE_HEADER);
    for scenario in scenarios(&arguments.scenario)? {
        for seed in arguments.seed..arguments.seed + arguments.seeds {
            for build in &builds {
                let report = run_one(arguments, &scenario, seed, build)?;
                if build.is_under_test && !report.passed() {
                    verdict = Verdict::Failed;
                }
                reports.push(report);
            }
        }
    }
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&reports).map_err(CliError::SerializeFigures)?;
        files::write(path, &text)?;
    }
    Ok(verdict)
}

fn builds(arguments: &Arguments) -> Result<Vec<Build>, CliError> {
    let current_exe = std::env::current_exe().map_err(CliError::CurrentExe)?;
    let program = arguments.program.clone().unwrap_or_else(|| default_program(&current_exe));
    let mut builds = vec![Build { program, is_under_test: true }];
    if let Some(program) = arguments.against.clone() {
        builds.push(Build { program, is_under_test: false });
    }
    Ok(builds)
}

/// The built-in scenario of this name, all built-in scenarios for `all`, or the scenario of a file.
fn scenarios(name: &str) -> Result<Vec<Scenario>, CliError> {
    let all = scenario::all();
    if name == "all" {
        return Ok(all);
    }
    if let Some(found) = all.into_iter().find(|scenario| scenario.name == name) {
        return Ok(vec![found]);
    }
    let text = std::fs::read_to_string(name)
        .map_err(|source| CliError::UnknownScenario { name: name.to_owned(), source })?;
    let scenario =
        Scenario::parse(&text).map_err(|source| CliError::Scenario { name: name.to_owned(), source })?;
    Ok(vec![scenario])
}

/// The scenario with the overrides of the command line applied.
fn apply_arguments(arguments: &Arguments, scenario: &Scenario, build: &Build) -> Result<Scenario, CliError> {
    let processes = arguments.processes.unwrap_or(scenario.processes);
    let mut scenario = scenario.clone().scaled_to(processes);
    if let Some(call_ms) = arguments.call_ms {
        scenario.list.call_ms = call_ms;
    }
    if !build.is_under_test {
        scenario.name += AGAINST_SUFFIX;
    } else if let Some(path) = &arguments.operator {
        scenario.operator_settings = Some(files::read(path)?);
    }
    Ok(scenario)
}

fn run_one(arguments: &Arguments, scenario: &Scenario, seed: u64, build: &Build) -> Result<Report, CliError> {
    let scenario = apply_arguments(arguments, scenario, build)?;
    let options = RunOptions {
        limits: DISPATCHER_LIMITS,
        tolerances: Tolerances::default(),
        program: build.program.clone(),
        seed,
        show_progress: std::io::stderr().is_terminal(),
        environment: Vec::new(),
    };
    let report = run_scenario(scenario.clone(), options).map_err(|source| CliError::Run {
        name: scenario.name.clone(),
        seed,
        source,
    })?;
    println!("{}", report.row());
    if let Some(folder) = &arguments.pages {
        write_chart(folder, &scenario, &report)?;
    }
    show_failures(&report);
    Ok(report)
}

fn write_chart(folder: &Path, scenario: &Scenario, report: &Report) -> Result<(), CliError> {
    let name = scenario.name.replace(AGAINST_SUFFIX, "-against");
    let path = folder.join(format!("{name}-{}.svg", report.seed));
    let chart = run_chart::svg(scenario, report)?;
    files::create_directory(folder)?;
    files::write(&path, &chart)?;
    Ok(())
}

fn show_failures(report: &Report) {
    let name = &report.scenario;
    for violation in report.violations.iter().take(MAX_SHOWN_FAILURES) {
        let at_s = violation.at_s;
        eprintln!("{name}: rule broken: {} at {at_s:.2} s: {}", violation.rule, violation.description);
    }
    for failure in report.failures.iter().take(MAX_SHOWN_FAILURES) {
        eprintln!("{name}: {failure}");
    }
}
