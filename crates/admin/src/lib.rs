//! The parts of the dispatcher that operators deal with, without I/O, clock or randomness: times are arguments.
//!
//! - [`command`] parses the commands of the admin address, one a line.
//! - [`metrics`] counts what `METRICS` shows.
//! - [`suspension_file`] is the format of the file that keeps suspended workers across an upgrade.

pub mod command;
mod line_reader;
pub mod metrics;
pub mod suspension_file;
