//! The Gearman protocol, sans I/O: bytes and time come in, bytes and events go out.
//!
//! - [`packet`](mod@packet): every packet type of the public specification ("Gearman Protocol", sections Client/Worker Requests,
//!   Client Requests and Responses, Worker Requests and Responses), its arguments, and how they are written.
//! - [`decode`]: the bytes of a connection become packets and administrators' lines, in bounded memory.
//! - [`submit`]: the ten ways to submit a job as one typed record.
//! - [`server`]: what a server knows of a connection that is a worker's.
//! - [`client`], [`worker`]: the two kinds of peers, for simulated peers, load tools and tests.
//!
//! Nothing here opens a socket, reads a clock or decides which worker gets a job.

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
