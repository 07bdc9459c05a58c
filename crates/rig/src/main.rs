//! `roselock-rig`: runs scenarios with many dispatchers and checks the rules.

mod cli;

use argh::FromArgs;
use cli::{CliError, Verdict, compare, run};
use roselock_rig::process::kill_all_on_signals;
use roselock_rig::run::default_program;
use roselock_rig::scale::{self, plan, table};
use std::error::Error;
use std::process::ExitCode;

/// Exit status for errors and invalid arguments; 1 is the status for a broken rule.
const ERROR_STATUS: u8 = 2;

/// Runs scenarios with many dispatchers as processes on loopback, injects faults and checks the rules.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(ListArgs),
    Run(run::Arguments),
    Compare(compare::Arguments),
    Scale(plan::Arguments),
}

/// List the built-in scenarios.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

fn main() -> ExitCode {
    let args = match parse_arguments() {
        Ok(args) => args,
        Err(status) => return status,
    };
    let verdict = match args.command {
        Command::List(_) => Ok(list_scenarios()),
        Command::Run(arguments) => run::run(&arguments),
        Command::Compare(arguments) => compare::run(&arguments),
        Command::Scale(arguments) => run_scale(arguments),
    };
    match verdict {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("roselock-rig: {}", with_sources(&error));
            ExitCode::from(ERROR_STATUS)
        }
    }
}

/// Formats an error and its sources on one line.
fn with_sources(error: &dyn Error) -> String {
    let mut line = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        line += &format!(": {error}");
        source = error.source();
    }
    line
}

/// Parses the command line. `Err` holds the exit status after help was printed or the arguments were rejected.
fn parse_arguments() -> Result<Args, ExitCode> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (command, rest) = words.split_first().unwrap_or((&"roselock-rig", &[]));
    Args::from_args(&[command], rest).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", early.output);
            ExitCode::from(ERROR_STATUS)
        }
    })
}

fn list_scenarios() -> Verdict {
    for scenario in roselock_rig::scenario::all() {
        println!("{:<24} {}", scenario.name, scenario.about);
    }
    Verdict::Passed
}

fn run_scale(arguments: plan::Arguments) -> Result<Verdict, CliError> {
    kill_all_on_signals().map_err(CliError::Signals)?;
    let current_exe = std::env::current_exe().map_err(CliError::CurrentExe)?;
    let plan = plan::Plan::new(arguments, default_program(&current_exe))?;
    let report = scale::measure(&plan, |row| eprintln!("{}", table::row_summary(row)))?;
    print!("{}", table::render(&report));
    Ok(Verdict::Passed)
}
