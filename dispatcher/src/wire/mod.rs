//! Network protocols and sockets: the HTTP and Gearman front ends, upstream connections, discovery, the
//! admin address and IPFIX export.

pub mod admin;
pub mod arrivals;
pub mod callbacks;
pub mod connection_limiter;
pub mod discovery;
pub mod front;
pub mod gearman;
pub mod http;
pub mod ipfix;
pub mod list;
pub mod list_history;
mod list_parser;
pub mod socket;
pub mod upstream;
