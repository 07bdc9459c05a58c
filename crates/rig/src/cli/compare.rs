//! `roselock-rig compare`: two files of figures side by side.

use super::{CliError, Verdict};
use argh::FromArgs;
use roselock_rig::files;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// What two reports of one run have in common.
const IDENTITY: [&str; 3] = ["scenario", "seed", "size"];
/// The figures that are shown.
const SHOWN: [&str; 8] =
    ["calls", "failed_calls", "longest_queue", "listed_s", "handshakes", "open", "cold", "in_time_all"];

/// Show two files of figures side by side.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Arguments {
    /// the former
    #[argh(positional)]
    a: PathBuf,
    /// the latter
    #[argh(positional)]
    b: PathBuf,
}

/// Shows the figures of the runs that both files have.
///
/// # Errors
///
/// A file cannot be read, or is not the JSON that is expected.
pub fn run(arguments: &Arguments) -> Result<Verdict, CliError> {
    let former = read(&arguments.a)?;
    let latter = read(&arguments.b)?;
    println!("| scenario | seed | figure | former | latter |\n| --- | --- | --- | --- | --- |");
    for former in &former {
        let Some(latter) = latter.iter().find(|latter| is_same_run(former, latter)) else { continue };
        let scenario = &former["scenario"];
        let seed = &former["seed"];
        for key in SHOWN {
            println!("| {scenario} | {seed} | {key} | {} | {} |", former[key], latter[key]);
        }
    }
    Ok(Verdict::Passed)
}

fn is_same_run(former: &Value, latter: &Value) -> bool {
    IDENTITY.iter().all(|key| former[key] == latter[key])
}

fn read(path: &Path) -> Result<Vec<Value>, CliError> {
    let text = files::read(path)?;
    serde_json::from_str(&text)
        .map_err(|source| CliError::Figures { file: path.display().to_string(), source })
}
