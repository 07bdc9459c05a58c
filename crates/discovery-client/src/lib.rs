//! The client side of discovery, without I/O, clock or randomness: times and drawn numbers are arguments.
//!
//! - [`poll_schedule`] says when a dispatcher calls the list service. Hundreds of dispatchers may start in the same second and
//!   don't coordinate.
//! - [`lease`] says for how long an endpoint list may be acted on.
//! - [`startup_stage`] says how far a start has come, for operators.
//!
//! The dispatcher on real sockets and the simulations use the same code.

pub mod lease;
pub mod poll_schedule;
pub mod startup_stage;
