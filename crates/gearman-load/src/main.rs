//! Load generator for the Gearman front end on loopback. Prints Markdown tables.

mod clients;
mod depth;
mod pause;
mod rate;
mod relay;
mod server;
mod step;
mod workers;

use argh::FromArgs;
use server::Program;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;

/// Measure the Gearman front end on loopback and compare it with a bare relay of the same packets.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Relay(Relay),
}

/// Run measurements and print their tables.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// path of the program to measure (default: target/release/roselock)
    #[argh(option, default = "PathBuf::from(\"target/release/roselock\")")]
    roselock: PathBuf,
    /// path of its configuration (default: example/config.json)
    #[argh(option, default = "PathBuf::from(\"example/config.json\")")]
    config: PathBuf,
    /// duration of each throughput measurement in seconds (default: 2)
    #[argh(option, default = "2.0")]
    seconds: f64,
    /// comma-separated measurements to run: rate, burst, depth, flood, nagle, step
    #[argh(option, default = "String::from(\"rate,burst,depth,flood,nagle,step\")")]
    only: String,
}

/// Relay packets between clients and workers without scheduling, until killed.
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
struct Relay {}

/// A measurement that `--only` can name.
#[derive(Clone, Copy)]
enum Measurement {
    Rate,
    Burst,
    Depth,
    Flood,
    Nagle,
    Step,
}

/// `--only` contains an unknown measurement.
#[derive(Debug, thiserror::Error)]
#[error("--only {0:?}: unknown measurement; expected rate, burst, depth, flood, nagle or step")]
struct UnknownMeasurement(String);

impl FromStr for Measurement {
    type Err = UnknownMeasurement;

    fn from_str(name: &str) -> Result<Measurement, UnknownMeasurement> {
        match name {
            "rate" => Ok(Measurement::Rate),
            "burst" => Ok(Measurement::Burst),
            "depth" => Ok(Measurement::Depth),
            "flood" => Ok(Measurement::Flood),
            "nagle" => Ok(Measurement::Nagle),
            "step" => Ok(Measurement::Step),
            other => Err(UnknownMeasurement(other.to_owned())),
        }
    }
}

impl Measurement {
    /// Runs the measurement and prints its table.
    fn run(self, program: &Program, seconds: f64) {
        match self {
            Measurement::Rate => rate::rate(program, seconds),
            Measurement::Burst => rate::burst(program),
            Measurement::Depth => depth::depth(program),
            Measurement::Flood => rate::flood(program),
            Measurement::Nagle => rate::nagle(program),
            Measurement::Step => step::step(),
        }
    }
}

/// The number of threads that run coroutines.
const COROUTINE_THREADS: usize = 2;
/// The stack size of a coroutine, in machine words.
const COROUTINE_STACK_WORDS: usize = 16 * 1024;
/// The exit status of invalid arguments.
const INVALID_ARGUMENTS: u8 = 2;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match args.command {
        Command::Relay(_) => relay::run(),
        Command::Run(options) => match run(options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(INVALID_ARGUMENTS)
            }
        },
    }
}

/// Runs the measurements in order. An unknown name is an error only when it is reached.
fn run(options: Run) -> Result<(), UnknownMeasurement> {
    may::config().set_workers(COROUTINE_THREADS).set_stack_size(COROUTINE_STACK_WORDS);
    let program = Program { roselock: options.roselock, config: options.config };
    println!("{}\n", server::machine_description());
    for name in options.only.split(',') {
        let measurement: Measurement = name.trim().parse()?;
        measurement.run(&program, options.seconds);
    }
    Ok(())
}
