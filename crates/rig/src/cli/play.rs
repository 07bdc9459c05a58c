//! `roselock-rig run`: plays scenarios and checks the rules.

use super::{CliError, Verdict};
use argh::FromArgs;
use roselock_rig::process::kill_all_on_signals;
use roselock_rig::report::Report;
use roselock_rig::run::{RunOptions, default_program, play};
use roselock_rig::scenario::{self, Scenario};
use roselock_rig::{files, run_chart};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};

/// Most broken rules and most failures of a run that are shown.
const SHOWN_FAILURES: usize = 5;
/// What the other build's runs have behind the scenario's name.
const AGAINST: &str = " (against)";

/// Play a scenario; exit status 1 when a rule is broken or a wish not met.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Arguments {
    /// its name, a file of one's own, or `all`
    #[argh(positional)]
    scenario: String,
    /// dispatchers; workers follow in proportion
    #[argh(option)]
    processes: Option<usize>,
    /// what a call takes the list service, in milliseconds
    #[argh(option)]
    call_ms: Option<f64>,
    /// an operators' file for the program, not for the other build
    #[argh(option)]
    operator: Option<PathBuf>,
    /// for everything that is drawn (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds from that one on (default: 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// the program (default: `roselock` beside this one)
    #[argh(option)]
    program: Option<PathBuf>,
    /// another build of it, played on the same seeds, side by side
    #[argh(option)]
    against: Option<PathBuf>,
    /// a folder for the page of each run, as SVG
    #[argh(option)]
    pages: Option<PathBuf>,
    /// where the figures go, as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// A build of the program.
struct Build {
    program: PathBuf,
    /// Another build is there to be compared, not to be judged.
    is_judged: bool,
}

/// Plays the scenarios on all seeds, and shows the figures of each run.
///
/// # Errors
///
/// A file cannot be read or written, a scenario is rejected, or a run cannot be played to its end.
pub fn run(arguments: &Arguments) -> Result<Verdict, CliError> {
    kill_all_on_signals().map_err(CliError::Signals)?;
    let builds = builds(arguments)?;
    let mut reports = Vec::new();
    let mut verdict = Verdict::Passed;
    println!("{}", Report::HEAD);
    for scenario in scenarios(&arguments.scenario)? {
        for seed in arguments.seed..arguments.seed + arguments.seeds {
            for build in &builds {
                let report = play_one(arguments, &scenario, seed, build)?;
                if build.is_judged && !report.passed() {
                    verdict = Verdict::Failed;
                }
                reports.push(report);
            }
        }
    }
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&reports).map_err(CliError::Json)?;
        files::write(path, &text)?;
    }
    Ok(verdict)
}

fn builds(arguments: &Arguments) -> Result<Vec<Build>, CliError> {
    let current_exe = std::env::current_exe().map_err(CliError::CurrentExe)?;
    let program = arguments.program.clone().unwrap_or_else(|| default_program(&current_exe));
    let mut builds = vec![Build { program, is_judged: true }];
    if let Some(program) = arguments.against.clone() {
        builds.push(Build { program, is_judged: false });
    }
    Ok(builds)
}

/// The scenario of a name, all of them, or the one of a file.
fn scenarios(name: &str) -> Result<Vec<Scenario>, CliError> {
    let all = scenario::all();
    if name == "all" {
        return Ok(all);
    }
    if let Some(found) = all.into_iter().find(|scenario| scenario.name == name) {
        return Ok(vec![found]);
    }
    let text = std::fs::read_to_string(name)
        .map_err(|source| CliError::NoScenario { name: name.to_owned(), source })?;
    let scenario =
        Scenario::parse(&text).map_err(|source| CliError::Scenario { name: name.to_owned(), source })?;
    Ok(vec![scenario])
}

/// The scenario as the arguments change it.
fn adapted(arguments: &Arguments, scenario: &Scenario, build: &Build) -> Result<Scenario, CliError> {
    let processes = arguments.processes.unwrap_or(scenario.processes);
    let mut scenario = scenario.clone().scaled_to(processes);
    if let Some(call_ms) = arguments.call_ms {
        scenario.list.call_ms = call_ms;
    }
    if !build.is_judged {
        scenario.name += AGAINST;
    } else if let Some(path) = &arguments.operator {
        scenario.operator_settings = Some(files::read(path)?);
    }
    Ok(scenario)
}

fn play_one(
    arguments: &Arguments,
    scenario: &Scenario,
    seed: u64,
    build: &Build,
) -> Result<Report, CliError> {
    let scenario = adapted(arguments, scenario, build)?;
    let options = RunOptions {
        program: build.program.clone(),
        seed,
        progress: std::io::stderr().is_terminal(),
        environment: Vec::new(),
    };
    let report = play(scenario.clone(), options).map_err(|source| CliError::Run {
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
    let name = scenario.name.replace(AGAINST, "-against");
    let path = folder.join(format!("{name}-{}.svg", report.seed));
    let chart = run_chart::svg(scenario, report)?;
    files::create_folder(folder)?;
    files::write(&path, &chart)?;
    Ok(())
}

fn show_failures(report: &Report) {
    let name = &report.scenario;
    for violation in report.violations.iter().take(SHOWN_FAILURES) {
        let at_s = violation.at_s;
        eprintln!("{name}: rule broken: {} at {at_s:.2} s: {}", violation.rule, violation.description);
    }
    for failure in report.failures.iter().take(SHOWN_FAILURES) {
        eprintln!("{name}: {failure}");
    }
}
