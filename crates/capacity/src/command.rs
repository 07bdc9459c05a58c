//! The command `roselock-capacity`: its arguments and its output.

use crate::chart;
use crate::error::CapacityError;
use crate::experiment::{self, Experiment};
use crate::report::Report;
use crate::run::{Plan, run};
use argh::FromArgs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit status of a run with invalid arguments, and of one that failed.
const FAILED: u8 = 2;
/// The name of the command.
const NAME: &str = "roselock-capacity";

/// Measures how the cost of a dispatcher grows with its surroundings, in simulated time.
#[derive(FromArgs)]
struct Arguments {
    /// the experiment, `all`, or `list` to name them
    #[argh(positional)]
    experiment: String,
    /// sizes, by commas, four at least (default: those of the experiment)
    #[argh(option, default = "String::new()")]
    sizes: String,
    /// plays of each size (default: 3)
    #[argh(option, default = "3")]
    plays: u32,
    /// the seed of the first play (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// ends a run of one experiment after so many seconds (default: 60)
    #[argh(option, default = "60")]
    most_seconds: u64,
    /// a folder for the figures as JSON, a file for each experiment
    #[argh(option)]
    json: Option<PathBuf>,
    /// a folder for the charts as SVG, a file for each figure
    #[argh(option)]
    charts: Option<PathBuf>,
}

/// Runs the command; invalid arguments end with status 2.
pub fn main(arguments: &[String]) -> ExitCode {
    let given: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let parsed = match Arguments::from_args(&[NAME], &given) {
        Ok(parsed) => parsed,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{NAME}: {}", exit.output.trim_end());
            return ExitCode::from(FAILED);
        }
    };
    match perform(&parsed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{NAME}: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn perform(arguments: &Arguments) -> Result<(), CapacityError> {
    if arguments.experiment == "list" {
        list();
        return Ok(());
    }
    let plan = Plan {
        sizes: sizes(&arguments.sizes)?,
        plays: arguments.plays,
        seed: arguments.seed,
        most_seconds: arguments.most_seconds,
    };
    for experiment in chosen(&arguments.experiment)? {
        let report = run(experiment, &plan)?;
        println!("{}", report.table());
        write_files(&report, arguments)?;
    }
    Ok(())
}

fn list() {
    for experiment in experiment::ALL {
        println!("{:<14} by {:<36} {}", experiment.name, experiment.size_is, experiment.about);
    }
}

fn chosen(name: &str) -> Result<Vec<&'static Experiment>, CapacityError> {
    if name == "all" {
        return Ok(experiment::ALL.iter().collect());
    }
    let found = experiment::find(name).ok_or_else(|| CapacityError::UnknownExperiment(name.to_owned()))?;
    Ok(vec![found])
}

/// The sizes in a list separated by commas.
fn sizes(text: &str) -> Result<Vec<u32>, CapacityError> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    let size = |part: &str| {
        let invalid = |_| CapacityError::NotANumber { argument: "--sizes", text: part.to_owned() };
        part.trim().parse::<u32>().map_err(invalid)
    };
    text.split(',').map(size).collect()
}

fn write_files(report: &Report, arguments: &Arguments) -> Result<(), CapacityError> {
    if let Some(folder) = &arguments.json {
        write(folder, &format!("{}.json", report.experiment), &report.json()?)?;
    }
    if let Some(folder) = &arguments.charts {
        for series in &report.series {
            let name = format!("{}-{}.svg", report.experiment, series.name.replace(' ', "-"));
            write(folder, &name, &chart::svg(report, series)?)?;
        }
    }
    Ok(())
}

fn write(folder: &Path, name: &str, text: &str) -> Result<(), CapacityError> {
    let path = folder.join(name);
    let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&path, text));
    written.map_err(|source| CapacityError::Write { path, source })
}
