//! The proving rig: real dispatchers as processes, each with an address of its own in 127/8, and around them a list
//! service, workers and clients as stand-ins, with faults between them. What the stand-ins saw goes into a ledger, and
//! the rules are judged from that alone, never from a dispatcher's own words.
//!
//! Every pair of parties but two dispatchers talks through a stand-in, so the rig owns each of these links without a
//! relay between: [`links`] says what passes. Loopback only; nothing is left running when a [`run::Run`] ends.

pub mod clients;
pub mod crowd;
pub mod fate;
pub mod http;
pub mod ideal;
pub mod job_id;
pub mod kind;
pub mod ledger;
pub mod links;
pub mod list;
pub mod list_service;
pub mod net;
pub mod node;
pub mod outage;
pub mod page;
pub mod process;
pub mod report;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod soak;
pub mod time;
pub mod traffic;
pub mod worker;
pub mod worker_service;
pub mod world;

pub use time::{Clock, Micros, SECOND};
