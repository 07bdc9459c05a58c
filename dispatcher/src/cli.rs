//! The command line.

use crate::lifecycle::{config, log, serve};
use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

/// Dispatches jobs from clients to workers.
#[derive(FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

macro_rules! with_files {
    ($(#[$meta:meta])* $name:ident) => {
        #[derive(FromArgs)]
        $(#[$meta])*
        struct $name {
            /// configuration (default: $NODE_CONFIG)
            #[argh(option)]
            config: Option<PathBuf>,
            /// turns the Gearman front on, with a file such as deploy/gearman.toml
            #[argh(option)]
            gearman: Option<PathBuf>,
            /// turns the export of flows on, with a file such as deploy/ipfix.toml
            #[argh(option)]
            ipfix: Option<PathBuf>,
            /// the operators' file, with a section for each part, such as deploy/operator.toml
            #[argh(option)]
            operator: Option<PathBuf>,
            /// how much is logged: error, warn, info, debug or trace; goes before the operators' file
            #[argh(option)]
            log_level: Option<log::Level>,
            /// the form of the log: text or json; goes before the operators' file
            #[argh(option)]
            log_form: Option<log::Form>,
        }
        impl $name {
            fn load(self) -> Result<config::Config, String> {
                config::load(config::Files {
                    config: self.config,
                    gearman: self.gearman,
                    ipfix: self.ipfix,
                    operator: self.operator,
                    log_level: self.log_level,
                    log_form: self.log_form,
                })
            }
        }
    };
}

with_files! {
    /// Run the dispatcher until SIGTERM.
    #[argh(subcommand, name = "serve")]
    Serve
}

with_files! {
    /// Read the configuration, say what is wrong with it, and start nothing.
    #[argh(subcommand, name = "check-config")]
    Check
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Runs a parsed command line.
pub fn run(args: Args) -> ExitCode {
    let done = match args.command {
        // Before anything else: a signal that nobody catches would end the process.
        Command::Serve(s) => serve::catch().and_then(|signals| serve::run(s.load()?, signals)),
        Command::Check(c) => c.load().map(|c| {
            c.warnings.iter().for_each(|warning| eprintln!("roselock: warning: {warning}"));
            println!("{}: the configuration is fine", c.name);
        }),
        Command::Version(_) => {
            println!("roselock {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("roselock: {message}");
            ExitCode::FAILURE
        }
    }
}
