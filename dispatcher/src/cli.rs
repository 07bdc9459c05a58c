//! Command-line interface.

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

/// Defines a subcommand that takes the configuration options.
macro_rules! command_with_config {
    ($(#[$meta:meta])* $name:ident) => {
        #[derive(FromArgs)]
        $(#[$meta])*
        struct $name {
            /// node configuration file (default: $NODE_CONFIG)
            #[argh(option)]
            config: Option<PathBuf>,
            /// enables the Gearman front end, with a settings file such as deploy/gearman.toml
            #[argh(option)]
            gearman: Option<PathBuf>,
            /// enables the IPFIX flow export, with a settings file such as deploy/ipfix.toml
            #[argh(option)]
            ipfix: Option<PathBuf>,
            /// operator file, with a section for each component, such as deploy/operator.toml
            #[argh(option)]
            operator: Option<PathBuf>,
            /// log level: error, warn, info, debug or trace; overrides the operator file
            #[argh(option)]
            log_level: Option<LogLevel>,
            /// log format: text or json; overrides the operator file
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
    /// Check the configuration and report errors, without starting the dispatcher.
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
/// Fails if the configuration is invalid or the dispatcher cannot start.
pub fn run(args: Args) -> Result<(), StartError> {
    match args.command {
        Command::Serve(command) => {
            // Installed first, because a signal without a handler would terminate the process.
            let signals = signals::install_signal_handlers().map_err(StartError::Signals)?;
            serve::run(command.load()?, signals)
        }
        Command::CheckConfig(command) => {
            report_valid_config(&command.load()?);
            Ok(())
        }
        Command::Version(_) => {
            println!("roselock {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Prints the warnings of a valid configuration, then that it is valid.
fn report_valid_config(config: &Config) {
    for warning in &config.warnings {
        eprintln!("roselock: warning: {}", ErrorChain(warning));
    }
    println!("{}: configuration is valid", config.name);
}
