//! The test rig: real dispatchers as processes, each at an address of its own in 127/8, and around them a list service,
//! workers and clients as stand-ins, with faults between them. What the stand-ins observe goes into a ledger, and the rules
//! are checked against that alone, never against a dispatcher's own figures.
//!
//! All participants but two dispatchers communicate through a stand-in, so the rig controls each of these links without a
//! relay between: [`links`] says what passes. Loopback only; no process is left when a [`run::Run`] ends.

pub mod clairvoyant;
pub mod clients;
pub mod connection_pool;
pub mod dispatcher_process;
pub mod files;
pub mod http;
pub mod idle_clients;
pub mod job_id;
pub mod ledger;
pub mod links;
pub mod list;
pub mod list_service;
pub mod net;
pub mod outage;
pub mod process;
pub mod process_history;
pub mod report;
pub mod run;
pub mod run_chart;
pub mod scale;
pub mod scenario;
pub mod soak;
pub mod test_environment;
pub mod time;
pub mod traffic;
pub mod worker;
pub mod worker_profile;
pub mod worker_service;

pub use time::{Clock, Micros, SECOND};
