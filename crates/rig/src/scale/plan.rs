//! Arguments of a measurement, and their validation against the limits of the machine.

use crate::files::{self, FileError};
use crate::scale::usage;
use crate::time::{Micros, SECOND};
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::io;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use thiserror::Error;

/// Limit of the number of dispatchers.
pub const MAX_DISPATCHERS: usize = 300;
/// Limit of the number of sizes.
pub const MAX_SIZES: usize = 16;
/// Limit of the workers of a size: each has its own address, all in one net of 127/8.
pub const MAX_WORKERS: usize = 60_000;
/// Limit of the repetitions of a size.
const MAX_REPETITIONS: usize = 9;
/// Allowed rates of requests at a dispatcher and of changes of the list, per second.
const RATES_PER_SECOND: RangeInclusive<f64> = 0.1..=1000.0;
/// Allowed length of a phase, in seconds.
const PHASE_SECONDS: RangeInclusive<f64> = 0.1..=120.0;
/// Limit of the changes in a phase, as the discovery service buffers the changes that a dispatcher has not read yet.
const MAX_CHANGES_PER_PHASE: f64 = 10_000.0;
/// Approximate memory of a dispatcher without workers, in KiB.
const MIN_DISPATCHER_KIB: u64 = 6 * 1024;

/// Measure how the cost of real dispatchers grows with the number of workers in the list.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
pub struct Arguments {
    /// comma-separated numbers of workers, with one trial for each (default: 60,700,1450,2900,5000)
    #[argh(option, default = "Sizes(vec![60, 700, 1450, 2900, 5000])")]
    workers: Sizes,
    /// number of dispatcher processes (default: 4, at most 300)
    #[argh(option, default = "4")]
    dispatchers: usize,
    /// requests per second at each dispatcher (default: 50)
    #[argh(option, default = "50.0")]
    requests_per_s: f64,
    /// changes of the list per second (default: 10)
    #[argh(option, default = "10.0")]
    changes_per_s: f64,
    /// length in seconds of each of the three measured phases: idle (rounded up to a multiple of 2 s), with changes of the list, with requests (default: 4)
    #[argh(option, default = "4.0")]
    seconds: f64,
    /// seed of all random choices (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// repetitions of each size, of which medians are shown (default: 1, at most 9)
    #[argh(option, default = "1")]
    plays: usize,
    /// move the discovery service at the end of each trial and reload all dispatchers
    #[argh(switch, long = "move")]
    move_list_service: bool,
    /// kill all dispatchers at the end of each trial and restart them together
    #[argh(switch)]
    restart: bool,
    /// program under test (default: `roselock` in the folder of this executable)
    #[argh(option)]
    program: Option<PathBuf>,
    /// output file for the report, as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// output file for the chart, as SVG
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Comma-separated numbers of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sizes(pub Vec<usize>);

/// Why a text is not a valid list of sizes.
#[derive(Debug, Error)]
pub enum SizesError {
    /// An element is not a number.
    #[error("{0:?} is not a number of workers")]
    NotANumber(String),
    /// A number is out of bounds.
    #[error("{0} workers: must be between 1 and {MAX_WORKERS}")]
    OutOfBounds(usize),
    /// There are too many sizes.
    #[error("{0} sizes: at most {MAX_SIZES}")]
    TooMany(usize),
}

impl FromStr for Sizes {
    type Err = SizesError;

    fn from_str(text: &str) -> Result<Sizes, SizesError> {
        let sizes = text.split(',').map(parse_size).collect::<Result<Vec<usize>, SizesError>>()?;
        if sizes.len() > MAX_SIZES {
            return Err(SizesError::TooMany(sizes.len()));
        }
        Ok(Sizes(sizes))
    }
}

fn parse_size(word: &str) -> Result<usize, SizesError> {
    let number = word.trim().parse().map_err(|_| SizesError::NotANumber(word.to_owned()))?;
    if !(1..=MAX_WORKERS).contains(&number) {
        return Err(SizesError::OutOfBounds(number));
    }
    Ok(number)
}

/// Why a plan is invalid.
#[derive(Debug, Error)]
pub enum PlanError {
    /// An integer option is out of bounds.
    #[error("{option} must be between 1 and {max}")]
    CountOutOfBounds {
        /// The option.
        option: &'static str,
        /// The largest allowed value.
        max: usize,
    },
    /// A floating-point option is out of bounds or NaN.
    #[error("{option} must be between {} and {}", bounds.start(), bounds.end())]
    NumberOutOfBounds {
        /// The option.
        option: &'static str,
        /// The allowed values.
        bounds: RangeInclusive<f64>,
    },
    /// A phase would have too many changes.
    #[error("--changes-per-s times --seconds: at most {MAX_CHANGES_PER_PHASE} changes in a phase")]
    TooManyChanges,
    /// The memory size of the machine cannot be read.
    #[error("cannot read the memory size of this machine")]
    UnknownMemory(#[source] io::Error),
    /// The dispatchers would need more than half of the machine's memory.
    #[error("{dispatchers} dispatchers do not fit into half of the machine's memory ({half_mib} MiB)")]
    InsufficientMemory {
        /// Number of dispatchers.
        dispatchers: usize,
        /// Half of the machine's memory, in MiB.
        half_mib: u64,
    },
    /// The program is not a file.
    #[error("program {} is not a file; build it or set --program", path.display())]
    ProgramNotFound {
        /// Path of the program.
        path: PathBuf,
    },
    /// An output file cannot be written.
    #[error(transparent)]
    File(#[from] FileError),
}

/// Parameters of a measurement.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Numbers of workers, with one trial for each.
    pub sizes: Vec<usize>,
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Requests per second at each dispatcher.
    pub requests_per_s: f64,
    /// Changes of the list per second.
    pub changes_per_s: f64,
    /// Length of each phase, in microseconds.
    pub phase: Micros,
    /// Seed of all random choices.
    pub seed: u64,
    /// Repetitions of each size.
    #[serde(rename = "plays")]
    pub repetitions: usize,
    /// Whether the discovery service moves at the end of each trial.
    #[serde(rename = "moves")]
    pub move_list_service: bool,
    /// Whether all dispatchers are killed and restarted together at the end of each trial.
    pub restart: bool,
    /// The program under test.
    #[serde(skip)]
    pub program: PathBuf,
    /// Output file for the report, as JSON.
    #[serde(skip)]
    pub json: Option<PathBuf>,
    /// Output file for the chart, as SVG.
    #[serde(skip)]
    pub svg: Option<PathBuf>,
}

impl Plan {
    /// Validates the arguments; `default_program` is used if they name no program.
    ///
    /// # Errors
    ///
    /// A value is out of bounds, the memory is insufficient, the program is not a file, or an output file cannot be written.
    pub fn new(arguments: Arguments, default_program: PathBuf) -> Result<Plan, PlanError> {
        check_count("--dispatchers", arguments.dispatchers, MAX_DISPATCHERS)?;
        check_count("--plays", arguments.plays, MAX_REPETITIONS)?;
        check_number("--requests-per-s", arguments.requests_per_s, RATES_PER_SECOND)?;
        check_number("--changes-per-s", arguments.changes_per_s, RATES_PER_SECOND)?;
        check_number("--seconds", arguments.seconds, PHASE_SECONDS)?;
        if arguments.changes_per_s * arguments.seconds > MAX_CHANGES_PER_PHASE {
            return Err(PlanError::TooManyChanges);
        }
        check_memory(arguments.dispatchers)?;
        let program = arguments.program.unwrap_or(default_program);
        if !program.is_file() {
            return Err(PlanError::ProgramNotFound { path: program });
        }
        // Detects an unwritable output file before the trials instead of after them.
        for path in arguments.json.iter().chain(&arguments.svg) {
            files::check_writable(path)?;
        }
        Ok(Plan {
            sizes: arguments.workers.0,
            dispatchers: arguments.dispatchers,
            requests_per_s: arguments.requests_per_s,
            changes_per_s: arguments.changes_per_s,
            phase: (arguments.seconds * SECOND as f64) as Micros,
            seed: arguments.seed,
            repetitions: arguments.plays,
            move_list_service: arguments.move_list_service,
            restart: arguments.restart,
            program,
            json: arguments.json,
            svg: arguments.svg,
        })
    }
}

fn check_count(option: &'static str, value: usize, max: usize) -> Result<(), PlanError> {
    if !(1..=max).contains(&value) {
        return Err(PlanError::CountOutOfBounds { option, max });
    }
    Ok(())
}

fn check_number(option: &'static str, value: f64, bounds: RangeInclusive<f64>) -> Result<(), PlanError> {
    if !bounds.contains(&value) {
        return Err(PlanError::NumberOutOfBounds { option, bounds });
    }
    Ok(())
}

fn check_memory(dispatchers: usize) -> Result<(), PlanError> {
    let machine_kib = usage::total_memory_kib().map_err(PlanError::UnknownMemory)?;
    if dispatchers as u64 * MIN_DISPATCHER_KIB > machine_kib / 2 {
        return Err(PlanError::InsufficientMemory { dispatchers, half_mib: machine_kib / 2048 });
    }
    Ok(())
}
