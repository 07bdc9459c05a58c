//! Measures how the cost of a dispatcher grows with its installation, on the crates without I/O.
//!
//! An [experiment](experiment::Experiment) plays one size in simulated time, from a seed, and returns figures.
//! [`run::run`] plays several sizes several times, and fits each figure to `slope x size + constant`. Figures are either
//! *counted* (bytes, allocations, actions: the same for the same seed) or *timed* (processor time, which varies).

pub mod chart;
pub mod command;
pub mod discovery_service;
pub mod error;
pub mod experiment;
pub mod figure;
pub mod fit;
pub mod listing;
pub mod meter;
pub mod report;
pub mod run;
pub mod simulated_dispatcher;
pub mod simulated_members;
pub mod site;

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// One second in [`Micros`].
pub const SECOND: Micros = 1_000_000;
