//! The dispatcher executable: network protocols, event loop and process lifecycle.

mod cli;
mod core;
mod lifecycle;
mod wire;

use lifecycle::error_chain::ErrorChain;
use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("roselock: {}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}
