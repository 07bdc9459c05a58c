//! Decision logic of a dispatcher that pushes jobs to workers, based on time-indexed bid prices.
//!
//! The interface is in [`api`]; [`Dispatcher`] handles its events. What the dispatcher knows is in `state`,
//! what it decides is in `decisions`, with one concern per file. `decisions` uses `dispatcher` and `state`;
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
