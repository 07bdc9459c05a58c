//! The client side of discovery. It has no I/O, clock or random number generator: times and random numbers are arguments, so
//! the dispatcher and the simulations use the same code.
//!
//! - [`poll_schedule`] determines when a dispatcher calls the discovery service. Hundreds of dispatchers may start in the
//!   same second and don't coordinate.
//! - [`lease`] determines how long an endpoint list may be acted on.
//! - [`startup_stage`] tracks the startup, for operators.

pub mod lease;
pub mod poll_schedule;
pub mod startup_stage;
