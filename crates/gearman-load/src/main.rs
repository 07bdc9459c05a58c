//! Measures the Gearman front on loopback and prints tables in Markdown.

mod depth;
mod peers;
mod rate;
mod relay;
mod server;
mod step;

use argh::FromArgs;
use std::path::PathBuf;

/// Measures the Gearman front on loopback, beside a bare relay of the same packets in the same run.
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
    /// the program to measure (default: target/release/roselock)
    #[argh(option, default = "PathBuf::from(\"target/release/roselock\")")]
    roselock: PathBuf,
    /// its configuration (default: example/config.json)
    #[argh(option, default = "PathBuf::from(\"example/config.json\")")]
    config: PathBuf,
    /// seconds for each cell of the rates (default: 2)
    #[argh(option, default = "2.0")]
    seconds: f64,
    /// only these, by commas: rate, burst, depth, flood, nagle, step
    #[argh(option, default = "String::from(\"rate,burst,depth,flood,nagle,step\")")]
    only: String,
}

/// Relay packets between clients and workers without any decision, until killed.
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
struct Relay {}

fn main() {
    let args: Args = argh::from_env();
    match args.command {
        Command::Relay(_) => relay::run(),
        Command::Run(run) => {
            may::config().set_workers(2).set_stack_size(16 * 1024);
            let with = server::Program { roselock: run.roselock, config: run.config };
            println!("{}\n", server::machine());
            for part in run.only.split(',') {
                match part.trim() {
                    "rate" => rate::rate(&with, run.seconds),
                    "burst" => rate::burst(&with),
                    "flood" => rate::flood(&with),
                    "nagle" => rate::nagle(&with),
                    "depth" => depth::depth(&with),
                    "step" => step::step(),
                    other => {
                        eprintln!("--only {other:?}: one of rate, burst, depth, flood, nagle, step");
                        std::process::exit(2);
                    }
                }
            }
        }
    }
}
