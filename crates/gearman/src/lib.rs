//! Sans-I/O implementation of the Gearman protocol: received bytes and times are passed in; bytes to send and events are
//! returned.
//!
//! - [`packet`](mod@packet): all packet types of the public specification ("Gearman Protocol", sections Client/Worker
//!   Requests, Client Requests and Responses, Worker Requests and Responses), their arguments and their encoding.
//! - [`decode`]: decodes the bytes of a connection into packets and lines of the text protocol, in bounded memory.
//! - [`submit`]: the ten packet types that submit a job, as one typed struct.
//! - [`server`]: a server's state of a worker's connection.
//! - [`client`], [`worker`]: the state machines of clients and workers, for simulated peers, load tools and tests.
//!
//! This crate opens no sockets, reads no clock and does not decide which worker gets a job.

pub mod client;
pub mod decode;
pub mod packet;
mod peer_stream;
pub mod server;
pub mod submit;
pub mod worker;

pub use decode::{DecodeError, Decoder, Frame, Limits};
pub use packet::{Kind, Magic, Malformed, Packet, encode, packet};
pub use submit::{Priority, Submission, When};
