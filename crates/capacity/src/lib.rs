//! Capacity experiments: how the cost of a dispatcher scales with its installation, measured on the crates without I/O.
//!
//! An [experiment](experiment::Experiment) simulates one size from a seed and returns figures. [`run::run`] repeats it for
//! several sizes, and fits each figure to `slope x size + constant`. Figures are either *counted* (bytes, allocations,
//! actions: deterministic for a seed) or *timed* (processor time, which varies).

pub mod chart;
pub mod command;
pub mod discovery_service;
pub mod error;
pub mod experiment;
pub mod figure;
pub mod fit;
pub mod meter;
pub mod payloads;
pub mod report;
pub mod run;
pub mod simulated_dispatcher;
pub mod simulated_members;
pub mod site;

/// A simulated time or a duration, in microseconds.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
