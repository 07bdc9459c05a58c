//! The arguments of a measurement, and whether they make sense on this machine.

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

/// Most dispatchers.
pub const MAX_DISPATCHERS: usize = 300;
/// Most sizes.
pub const MAX_SIZES: usize = 16;
/// Most workers of a size: each has an address of one net of 127/8.
pub const MAX_WORKERS: usize = 60_000;
/// Most repetitions of a size.
const MAX_REPETITIONS: usize = 9;
/// Requests at a dispatcher, and changes of the list, in a second.
const RATES: RangeInclusive<f64> = 0.1..=1000.0;
/// Length of a phase in seconds.
const PHASES: RangeInclusive<f64> = 0.1..=120.0;
/// Most changes of a phase: the list service buffers what a dispatcher has not read yet.
const MAX_CHANGES: f64 = 10_000.0;
/// Memory of a dispatcher without workers, about, in KiB.
const MIN_DISPATCHER_KIB: u64 = 6 * 1024;

/// Measure how the cost of real dispatchers grows with the number of workers in the list.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
pub struct Arguments {
    /// numbers of workers, one trial each (default: 60,700,1450,2900,5000)
    #[argh(option, default = "Sizes(vec![60, 700, 1450, 2900, 5000])")]
    workers: Sizes,
    /// dispatchers, each a process (default: 4, at most 300)
    #[argh(option, default = "4")]
    dispatchers: usize,
    /// requests a second at each dispatcher (default: 50)
    #[argh(option, default = "50.0")]
    requests_per_s: f64,
    /// changes of the list a second (default: 10)
    #[argh(option, default = "10.0")]
    changes_per_s: f64,
    /// length of each of the three phases that are measured, at rest (rounded up to 2 s), with changes and with requests (default: 4)
    #[argh(option, default = "4.0")]
    seconds: f64,
    /// for everything that is drawn (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how often each size is measured; medians are shown (default: 1, at most 9)
    #[argh(option, default = "1")]
    plays: usize,
    /// move the list service at the end of each trial, and tell all dispatchers
    #[argh(switch, long = "move")]
    moves: bool,
    /// kill all dispatchers and start them together at the end of each trial
    #[argh(switch)]
    restart: bool,
    /// the program (default: `roselock` beside this one)
    #[argh(option)]
    program: Option<PathBuf>,
    /// where the figures go, as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// where the chart goes, as SVG
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Numbers of workers, with commas between them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sizes(pub Vec<usize>);

/// Why a text is no list of sizes.
#[derive(Debug, Error)]
pub enum SizesError {
    /// A word is no number.
    #[error("{0:?} is no number of workers")]
    NoNumber(String),
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
    let number = word.trim().parse().map_err(|_| SizesError::NoNumber(word.to_owned()))?;
    if !(1..=MAX_WORKERS).contains(&number) {
        return Err(SizesError::OutOfBounds(number));
    }
    Ok(number)
}

/// Why a plan is rejected.
#[derive(Debug, Error)]
pub enum PlanError {
    /// A whole number is out of bounds.
    #[error("{option} must be between 1 and {max}")]
    Count {
        /// The option.
        option: &'static str,
        /// The largest value.
        max: usize,
    },
    /// A number is out of bounds, or none.
    #[error("{option} must be between {} and {}", bounds.start(), bounds.end())]
    Number {
        /// The option.
        option: &'static str,
        /// The values that are allowed.
        bounds: RangeInclusive<f64>,
    },
    /// A phase has too many changes.
    #[error("--changes-per-s over --seconds: at most {MAX_CHANGES} changes in all")]
    Changes,
    /// The memory of the machine is not known.
    #[error("the memory of this machine is not known")]
    MachineMemory(#[source] io::Error),
    /// The dispatchers need too much memory.
    #[error("{dispatchers} dispatchers do not fit into half of the memory ({half_mib} MiB)")]
    Memory {
        /// Their number.
        dispatchers: usize,
        /// Half of the machine's memory.
        half_mib: u64,
    },
    /// The program is no file.
    #[error("{} is no program; build it, or name one with --program", path.display())]
    NoProgram {
        /// Its path.
        path: PathBuf,
    },
    /// A file of results cannot be written.
    #[error(transparent)]
    File(#[from] FileError),
}

/// What is to be measured.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Numbers of workers.
    pub sizes: Vec<usize>,
    /// Dispatchers.
    pub dispatchers: usize,
    /// Requests a second at each dispatcher.
    pub requests_per_s: f64,
    /// Changes of the list a second.
    pub changes_per_s: f64,
    /// Length of each phase, in microseconds.
    pub phase: Micros,
    /// For everything that is drawn.
    pub seed: u64,
    /// How often each size is measured.
    #[serde(rename = "plays")]
    pub repetitions: usize,
    /// Whether the list service moves at the end of each trial.
    #[serde(rename = "moves")]
    pub move_list_service: bool,
    /// Whether all dispatchers are killed and started together at the end of each trial.
    pub restart: bool,
    /// The program.
    #[serde(skip)]
    pub program: PathBuf,
    /// Where the figures go, as JSON.
    #[serde(skip)]
    pub json: Option<PathBuf>,
    /// Where the chart goes, as SVG.
    #[serde(skip)]
    pub svg: Option<PathBuf>,
}

impl Plan {
    /// Checks the arguments; `default_program` is the program if they name none.
    ///
    /// # Errors
    ///
    /// A value is out of bounds, the memory does not suffice, or a file cannot be used.
    pub fn new(arguments: Arguments, default_program: PathBuf) -> Result<Plan, PlanError> {
        check_count("--dispatchers", arguments.dispatchers, MAX_DISPATCHERS)?;
        check_count("--plays", arguments.plays, MAX_REPETITIONS)?;
        check_number("--requests-per-s", arguments.requests_per_s, RATES)?;
        check_number("--changes-per-s", arguments.changes_per_s, RATES)?;
        check_number("--seconds", arguments.seconds, PHASES)?;
        if arguments.changes_per_s * arguments.seconds > MAX_CHANGES {
            return Err(PlanError::Changes);
        }
        check_memory(arguments.dispatchers)?;
        let program = arguments.program.unwrap_or(default_program);
        if !program.is_file() {
            return Err(PlanError::NoProgram { path: program });
        }
        // A file that cannot be written is found before the trials, not after them.
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
            move_list_service: arguments.moves,
            restart: arguments.restart,
            program,
            json: arguments.json,
            svg: arguments.svg,
        })
    }
}

fn check_count(option: &'static str, value: usize, max: usize) -> Result<(), PlanError> {
    if !(1..=max).contains(&value) {
        return Err(PlanError::Count { option, max });
    }
    Ok(())
}

fn check_number(option: &'static str, value: f64, bounds: RangeInclusive<f64>) -> Result<(), PlanError> {
    if !bounds.contains(&value) {
        return Err(PlanError::Number { option, bounds });
    }
    Ok(())
}

fn check_memory(dispatchers: usize) -> Result<(), PlanError> {
    let machine_kib = usage::machine_kib().map_err(PlanError::MachineMemory)?;
    if dispatchers as u64 * MIN_DISPATCHER_KIB > machine_kib / 2 {
        return Err(PlanError::Memory { dispatchers, half_mib: machine_kib / 2048 });
    }
    Ok(())
}
