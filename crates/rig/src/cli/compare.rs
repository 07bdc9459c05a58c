//! `roselock-rig compare`: the reports of two JSON files side by side.

use super::{CliError, Verdict};
use argh::FromArgs;
use roselock_rig::files;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// JSON fields that identify a run: reports that agree in all of them are compared.
const RUN_KEYS: [&str; 3] = ["scenario", "seed", "size"];
/// JSON fields that are compared.
const COMPARED_FIGURES: [&str; 8] =
    ["calls", "failed_calls", "longest_queue", "listed_s", "handshakes", "open", "cold", "in_time_all"];

/// Compare the reports of two JSON files side by side.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Arguments {
    /// the first file, written by `run --json`
    #[argh(positional)]
    a: PathBuf,
    /// the second file
    #[argh(positional)]
    b: PathBuf,
}

/// Prints the figures of the runs that are in both files.
///
/// # Errors
///
/// A file cannot be read, or is not valid JSON of the expected form.
pub fn run(arguments: &Arguments) -> Result<Verdict, CliError> {
    let former = read(&arguments.a)?;
    let latter = read(&arguments.b)?;
    println!("| scenario | seed | figure | former | latter |\n| --- | --- | --- | --- | --- |");
    for former in &former {
        let Some(latter) = latter.iter().find(|latter| is_same_run(former, latter)) else { continue };
        let scenario = &former["scenario"];
        let seed = &former["seed"];
        for key in COMPARED_FIGURES {
            println!("| {scenario} | {seed} | {key} | {} | {} |", former[key], latter[key]);
        }
    }
    Ok(Verdict::Passed)
}

fn is_same_run(former: &Value, latter: &Value) -> bool {
    RUN_KEYS.iter().all(|key| former[key] == latter[key])
}

fn read(path: &Path) -> Result<Vec<Value>, CliError> {
    let text = files::read(path)?;
    serde_json::from_str(&text)
        .map_err(|source| CliError::InvalidFigures { file: path.display().to_string(), source })
}
