//! Start and stop.

pub mod config;
pub mod handover;
pub mod inherit;
pub mod listen;
pub mod log;
pub mod problem;
pub mod relay;
pub mod serve;
pub mod start;
