//! What on-call staff use, without I/O, clock or randomness: the calls of the admin address and their answers
//! ([`command`]), the figures that `METRICS` shows ([`metrics`]), and the file of workers out by hand that outlives an
//! upgrade ([`suspension_file`]). Times are arguments.

pub mod command;
pub mod metrics;
pub mod suspension_file;
