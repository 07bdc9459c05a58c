//! The command line of `roselock-capacity`: arguments and output.

use crate::chart;
use crate::error::CapacityError;
use crate::experiment::{self, Experiment};
use crate::report::Report;
use crate::run::{RunParameters, run};
use argh::FromArgs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit status for invalid arguments and for a failed run.
const EXIT_FAILURE: u8 = 2;
const COMMAND_NAME: &str = "roselock-capacity";

/// Measures in simulated time how the cost of a dispatcher scales with its installation.
#[derive(FromArgs)]
struct Arguments {
    /// the name of an experiment, `all`, or `list` to print the experiments
    #[argh(positional)]
    experiment: String,
    /// sizes, separated by commas, at least four (default: those of the experiment)
    #[argh(option, default = "String::new()")]
    sizes: String,
    /// repetitions of each size, each with its own seed (default: 3)
    #[argh(option, default = "3")]
    plays: u32,
    /// the seed of the first repetition; each further one adds 1 (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// the time limit of one experiment, in seconds (default: 60)
    #[argh(option, default = "60")]
    most_seconds: u64,
    /// the directory for the figures as JSON, one file per experiment
    #[argh(option)]
    json: Option<PathBuf>,
    /// the directory for the charts as SVG, one file per figure
    #[argh(option)]
    charts: Option<PathBuf>,
}

/// Runs the command; the exit status is 2 if the arguments are invalid or a run fails.
pub fn main(arguments: &[String]) -> ExitCode {
    let raw_arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let parsed = match Arguments::from_args(&[COMMAND_NAME], &raw_arguments) {
        Ok(parsed) => parsed,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{COMMAND_NAME}: {}", exit.output.trim_end());
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    match run_command(&parsed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{COMMAND_NAME}: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run_command(arguments: &Arguments) -> Result<(), CapacityError> {
    if arguments.experiment == "list" {
        print_experiments();
        return Ok(());
    }
    let parameters = RunParameters {
        sizes: parse_sizes(&arguments.sizes)?,
        repetitions: arguments.plays,
        seed: arguments.seed,
        time_limit_s: arguments.most_seconds,
    };
    for experiment in select_experiments(&arguments.experiment)? {
        let report = run(experiment, &parameters)?;
        println!("{}", report.table());
        write_files(&report, arguments)?;
    }
    Ok(())
}

fn print_experiments() {
    for experiment in experiment::ALL {
        println!("{:<14} by {:<36} {}", experiment.name, experiment.size_label, experiment.description);
    }
}

fn select_experiments(name: &str) -> Result<Vec<&'static Experiment>, CapacityError> {
    if name == "all" {
        return Ok(experiment::ALL.iter().collect());
    }
    let experiment =
        experiment::find(name).ok_or_else(|| CapacityError::UnknownExperiment(name.to_owned()))?;
    Ok(vec![experiment])
}

/// Parses sizes separated by commas.
fn parse_sizes(text: &str) -> Result<Vec<u32>, CapacityError> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    let size = |part: &str| {
        let invalid = |_| CapacityError::InvalidNumber { argument: "--sizes", text: part.to_owned() };
        part.trim().parse::<u32>().map_err(invalid)
    };
    text.split(',').map(size).collect()
}

fn write_files(report: &Report, arguments: &Arguments) -> Result<(), CapacityError> {
    if let Some(directory) = &arguments.json {
        write_file(directory, &format!("{}.json", report.experiment), &report.json()?)?;
    }
    if let Some(directory) = &arguments.charts {
        for series in &report.series {
            let name = format!("{}-{}.svg", report.experiment, series.name.replace(' ', "-"));
            write_file(directory, &name, &chart::svg(report, series)?)?;
        }
    }
    Ok(())
}

fn write_file(directory: &Path, name: &str, text: &str) -> Result<(), CapacityError> {
    let path = directory.join(name);
    let result = std::fs::create_dir_all(directory).and_then(|()| std::fs::write(&path, text));
    result.map_err(|source| CapacityError::Write { path, source })
}
