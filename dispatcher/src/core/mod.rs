//! The state that the process holds in memory (streams, upstream requests, upstream hosts and their connection pools),
//! and the thread that owns it together with the decisions. No wire protocol is known here: fronts, upstream connections
//! and discovery reach this module through [`Inbox`] and stand behind the traits of [`downstream`] and [`upstream`].

pub mod clock;
pub mod downstream;
pub mod event_loop;
pub mod inbox;
pub mod messages;
pub mod pool;
pub mod shutdown_deadlines;
pub mod suspensions;
pub mod upstream;

pub use downstream::{
    Answer, Downstream, Flow, FlowSink, JobSource, NewStream, OutputKind, Payload, StreamOutcome,
};
pub use inbox::Inbox;
pub use messages::{CallbackEvent, ConnectionState, Input, ListedHost, UpstreamEvent};
pub use upstream::{CallbackRelay, Dialer, RequestKind, UpstreamConnection, UpstreamRequest};

/// Number of a stream: one request of a client, until its final answer. The decisions know the job by the same number.
pub type StreamId = u32;

/// Number of an upstream request: one attempt of a stream at an upstream host, a health check, a withdrawal, or a
/// connection that is opened ahead of its use.
pub type UpstreamId = u64;

/// Index of a fleet: the upstream hosts that share one instance of the decisions.
pub type FleetId = usize;
