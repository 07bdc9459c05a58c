//! Start and stop.

pub mod config;
pub mod inherit;
pub mod listen;
pub mod log;
pub mod relay;
pub mod serve;
pub mod settings_error;
pub mod startup_settings;
pub mod suspension_store;
