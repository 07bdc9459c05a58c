//! Decisions of a dispatcher that pushes jobs to workers, by time-indexed bid prices.
//!
//! The interface is in [`api`]; [`Dispatcher`] takes its events. What it knows is in `state`, one part a
//! file; what it decides is in `decisions`, one decision a file. `decisions` uses `dispatcher` and `state`,
//! `dispatcher` uses `state`.

pub mod api;
mod decisions;
mod dispatcher;
pub mod settings;
mod state;
#[cfg(test)]
mod test_support;

pub use api::*;
pub use dispatcher::Dispatcher;

/// Compiles the example in the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
