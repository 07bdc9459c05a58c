//! How a dispatcher starts where hundreds start in the same second, without I/O, clock or randomness: times and
//! drawn numbers are arguments. Nothing here decides on work; the decision module asks [`pace`] when to call the
//! list service, on real sockets and in the simulator alike; [`dial_limiter`] says when a worker may be dialled; [`lease`]
//! how long a list may be acted on; [`stage`] says how far a start has come.

pub mod lease;
pub mod poll_schedule;
pub mod startup_stage;
