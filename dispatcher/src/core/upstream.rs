//! The hosts' side: upstream requests, and the traits of the connections that carry them.

use super::{Payload, UpstreamId};
use roselock::Micros;
use std::net::SocketAddr;
use std::sync::Arc;

/// What an upstream request asks for.
#[derive(Clone)]
pub enum RequestKind {
    /// To run a stream.
    Run(Arc<Payload>),
    /// To stop running one.
    Withdraw(Arc<Payload>),
    /// The host's health and load report.
    HealthCheck,
    /// Nothing: a connection is opened ahead of its use, and pooled if the host accepts it.
    Preconnect,
}

/// An upstream request on its way to a connection.
#[derive(Clone)]
pub struct UpstreamRequest {
    /// Its number.
    pub id: UpstreamId,
    /// What it asks for.
    pub kind: RequestKind,
    /// When opening a new connection for it times out.
    pub connect_by: Micros,
    /// From this time on it must not be written any more: the hosts no longer recognize it as a repeated request.
    pub begin_by: Micros,
    /// When the request itself times out.
    pub deadline: Micros,
    /// The class of the stream that it runs, if it runs one. It counts as sent once it is written completely.
    pub class: Option<usize>,
}

/// A connection to an upstream host. Its methods only post; they never wait.
pub trait UpstreamConnection: Send + Sync {
    /// Starts an upstream request on it. False if it has closed: nothing was done then.
    fn start(&self, request: UpstreamRequest) -> bool;
    /// Ends this upstream request at once.
    fn abort(&self, id: UpstreamId);
    /// Whether it is open, as far as can be seen without writing to it.
    fn is_open(&self) -> bool {
        true
    }
    /// Cancels the request on it if nothing of that has been sent, as the connection is not up yet. False if something
    /// may have been sent.
    fn cancel_unsent(&self) -> bool {
        false
    }
    /// Whether the host opened it (a Gearman worker). Such a connection carries one upstream request at a time and is
    /// never pooled.
    fn is_inbound(&self) -> bool {
        false
    }
}

/// Opens connections to the upstream hosts of a fleet. Its methods only post; they never wait.
pub trait Dialer: Send {
    /// Opens a connection, with its first upstream request.
    fn dial(&self, endpoint: SocketAddr, request: UpstreamRequest) -> Arc<dyn UpstreamConnection>;
    /// Whether a further connection may be opened for such a request. Some are reserved for withdrawals, since a host
    /// otherwise goes on with work that nobody waits for.
    fn has_capacity(&self, kind: &RequestKind) -> bool;
    /// Opens a watch on the endpoint list, or polls it.
    fn watch_endpoints(&self);
}

/// Forwards callbacks of streams that this process does not have to the other process of an upgrade. Never waits.
pub trait CallbackRelay: Send {
    /// Forwards one, with its body as received.
    fn forward(&self, body: Vec<u8>);
}
