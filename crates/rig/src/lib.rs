//! Test rig that runs real dispatchers as processes, each at its own address in 127/8, against a simulated discovery
//! service, workers and clients (the stand-ins), and injects faults between them. The stand-ins record their
//! observations in a ledger; the rules are checked against the ledger alone, never against a dispatcher's own metrics.
//!
//! Every link except those between two dispatchers has a stand-in at one end, which applies the link's faults itself, so
//! no relay is needed: see [`links`]. The rig uses loopback only, and no process outlives its [`run::Run`].

pub mod clairvoyant;
pub mod clients;
pub mod connection_pool;
pub mod dispatcher_process;
pub mod files;
pub mod greedy_clients;
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
mod reachability;
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
