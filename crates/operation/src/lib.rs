//! What on-call staff use, without I/O, clock or randomness: the calls of the admin address and their answers
//! ([`call`]), the figures that `METRICS` shows ([`figures`]), and the file of workers out by hand that outlives an
//! upgrade ([`saved`]). Times are arguments.

pub mod call;
pub mod figures;
pub mod saved;
