//! The command line.

use crate::lifecycle::config::{self, Config, ConfigSources};
use crate::lifecycle::error_chain::ErrorChain;
use crate::lifecycle::load_error::LoadError;
use crate::lifecycle::log_settings::{LogFormat, LogLevel};
use crate::lifecycle::start_error::StartError;
use crate::lifecycle::{serve, signals};
use argh::FromArgs;
use std::path::PathBuf;

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
    CheckConfig(CheckConfig),
    Version(Version),
}

/// A subcommand with the options that name the files of the configuration.
macro_rules! command_with_config {
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
            log_level: Option<LogLevel>,
            /// the form of the log: text or json; goes before the operators' file
            #[argh(option, long = "log-form")]
            log_format: Option<LogFormat>,
        }
        impl $name {
            fn load(self) -> Result<Config, LoadError> {
                config::load(ConfigSources {
                    config: self.config,
                    gearman: self.gearman,
                    ipfix: self.ipfix,
                    operator: self.operator,
                    log_level: self.log_level,
                    log_format: self.log_format,
                })
            }
        }
    };
}

command_with_config! {
    /// Run the dispatcher until SIGTERM.
    #[argh(subcommand, name = "serve")]
    Serve
}

command_with_config! {
    /// Read the configuration, say what is wrong with it, and start nothing.
    #[argh(subcommand, name = "check-config")]
    CheckConfig
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Runs a parsed command line.
///
/// # Errors
/// The configuration is rejected, or the process cannot start.
pub fn run(args: Args) -> Result<(), StartError> {
    match args.command {
        Command::Serve(command) => {
            // Before anything else: a signal without a handler would end the process.
            let signals = signals::install_signal_handlers().map_err(StartError::Signals)?;
            serve::run(command.load()?, signals)
        }
        Command::CheckConfig(command) => {
            report_accepted(&command.load()?);
            Ok(())
        }
        Command::Version(_) => {
            println!("roselock {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Prints the verdict on an accepted configuration.
fn report_accepted(config: &Config) {
    for warning in &config.warnings {
        eprintln!("roselock: warning: {}", ErrorChain(warning));
    }
    println!("{}: the configuration is fine", config.name);
}
