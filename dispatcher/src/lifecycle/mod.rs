//! Configuration, startup, reload and shutdown of the process.

pub mod allocator;
pub mod config;
pub mod error_chain;
pub mod file_names;
pub mod id_claim_store;
pub mod inherit;
pub mod listen;
pub mod load_error;
pub mod log;
pub mod log_settings;
pub mod panic_log;
pub mod process_number;
pub mod relay;
pub mod reload;
pub mod resource_sharing;
pub mod serve;
pub mod settings_error;
pub mod shared_table;
pub mod shared_words;
pub mod signals;
pub mod start_error;
pub mod startup;
pub mod startup_settings;
pub mod suspension_store;
