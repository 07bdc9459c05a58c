//! The operator interface of the dispatcher. It has no I/O, clock or random number generator: times are arguments.
//!
//! - [`command`] parses the commands of the admin address, one per line.
//! - [`metrics`] holds the counters that `METRICS` shows.
//! - [`suspension_file`] encodes and decodes the file that preserves suspended workers across an upgrade.

pub mod command;
mod line_reader;
pub mod metrics;
pub mod suspension_file;
