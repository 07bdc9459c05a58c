//! The in-memory state of the process (streams, upstream requests, upstream hosts and their connection pools) and the
//! event loop that owns it together with the decision logic ([`roselock::Dispatcher`]). This module is independent of
//! the wire protocols: the front ends, the upstream connections and discovery post messages to [`Inbox`], and are
//! called through the traits in [`downstream`] and [`upstream`].

pub mod clock;
pub mod downstream;
pub mod event_loop;
pub mod id_claims;
pub mod inbox;
pub mod memory_budget;
pub mod memory_monitor;
pub mod messages;
pub mod pool;
pub mod resource_limit;
pub mod shutdown_deadlines;
pub mod suspensions;
pub mod upstream;

pub use downstream::{
    Answer, Downstream, Flow, FlowSink, JobSource, NewStream, OutputKind, Payload, StreamOutcome,
};
pub use inbox::Inbox;
pub use memory_budget::{MemoryBudget, MemoryReservation};
pub use messages::{CallbackEvent, ConnectionState, Input, ListedHost, UpstreamEvent};
pub use resource_limit::{Resource, ResourceLimit};
pub use upstream::{
    CallbackRelay, CallbackRelevance, Dialer, RequestKind, UpstreamConnection, UpstreamRequest,
};

/// Number of a stream: one request of a client, until its final answer. The decision logic uses the same number as the
/// id of the job.
pub type StreamId = u32;

/// Number of an upstream request: one attempt of a stream at an upstream host, a health check, a withdrawal, or a
/// connection that is opened in advance.
pub type UpstreamId = u64;

/// Index of a fleet: the upstream hosts that share one instance of the decision logic.
pub type FleetId = usize;
