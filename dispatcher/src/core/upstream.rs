//! The upstream side: requests to hosts, and the traits of the connections that carry them.

use super::{Payload, UpstreamId};
use roselock::Micros;
use std::net::SocketAddr;
use std::sync::Arc;

/// What an upstream request asks for.
#[derive(Clone)]
pub enum RequestKind {
    /// To run a stream.
    Run(Arc<Payload>),
    /// To stop running a stream.
    Withdraw(Arc<Payload>),
    /// To report the host's health and load.
    HealthCheck,
    /// Nothing: a connection is opened in advance, and pooled if the host accepts it.
    Preconnect,
}

/// An upstream request that is passed to a connection.
#[derive(Clone)]
pub struct UpstreamRequest {
    /// Its number.
    pub id: UpstreamId,
    /// What it asks for.
    pub kind: RequestKind,
    /// When the event loop decided on it.
    pub decided_at: Micros,
    /// When opening a new connection for it times out.
    pub connect_by: Micros,
    /// From this time on it must not be written: the hosts would no longer recognize it as a repeated request.
    pub begin_by: Micros,
    /// When the request itself times out.
    pub deadline: Micros,
    /// The class of the stream that it runs, if it is an attempt. It is counted as sent once it has been written
    /// completely.
    pub class: Option<usize>,
}

/// A connection to an upstream host. Its methods only enqueue; they never block.
pub trait UpstreamConnection: Send + Sync {
    /// Starts an upstream request on the connection. Returns false, without effect, if the connection is closed.
    fn start(&self, request: UpstreamRequest) -> bool;
    /// Aborts this upstream request.
    fn abort(&self, id: UpstreamId);
    /// Whether the connection is open, as far as can be detected without writing to it.
    fn is_open(&self) -> bool {
        true
    }
    /// Cancels the request on the connection if it has not been sent completely. Returns false if it has been, or if the
    /// connection reports later whether the request was cancelled.
    fn cancel_unsent(&self, id: UpstreamId) -> bool;
    /// Whether the host opened the connection, as Gearman workers do. Such a connection carries one upstream request at
    /// a time and is never pooled.
    fn is_inbound(&self) -> bool {
        false
    }
}

/// Opens connections to the upstream hosts of a fleet. Its methods only enqueue; they never block.
pub trait Dialer: Send {
    /// Opens a connection and starts its first upstream request.
    fn dial(&self, endpoint: SocketAddr, request: UpstreamRequest) -> Arc<dyn UpstreamConnection>;
    /// Whether another connection may be opened for such a request. Some connections are reserved for withdrawals,
    /// since a host otherwise continues work whose result is not needed any more.
    fn has_capacity(&self, kind: &RequestKind) -> bool;
    /// How many more connections than the limit are open. The limit falls when another process of an upgrade starts.
    fn excess_connections(&self) -> usize;
    /// Polls the endpoint list, or opens a watch on it.
    fn watch_endpoints(&self);
}

/// What is known about a callback whose stream is unknown to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallbackRelevance {
    /// Another process has an open request with its id.
    Expected,
    /// No other process is known to have one: the callback is late, made up, or for an id that a front end assigned.
    Unexpected,
}

/// Forwards callbacks for streams that are unknown to this process to the other process of an upgrade. It never blocks.
pub trait CallbackRelay: Send {
    /// Forwards a callback, given its body as received.
    fn forward(&self, body: Vec<u8>, relevance: CallbackRelevance);
}
