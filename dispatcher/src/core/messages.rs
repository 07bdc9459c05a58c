//! The messages that socket code posts to the event loop.

use super::{FleetId, MemoryReservation, NewStream, OutputKind, StreamId, UpstreamConnection, UpstreamId};
use roselock::{Endpoint, ListMode, LoadReport, Micros, Outcome, Settings, WatchEnd, WorkerId};
use roselock_dial_limiter::DialLimits;
use std::net::SocketAddr;
use std::sync::Arc;

/// What happened to an upstream request.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// The host has accepted it and will report its end later.
    Accepted,
    /// The host has accepted it and is running it.
    Started,
    /// The share of the work that is done, from 0 to 1.
    Progress(f64),
    /// The host sent output that precedes the result.
    Output {
        /// What the output is.
        kind: OutputKind,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// It has ended.
    Ended {
        /// How it ended.
        outcome: Outcome,
        /// The host's load report.
        report: LoadReport,
        /// The result.
        body: Vec<u8>,
    },
    /// The answer to a health check.
    HealthChecked {
        /// Whether the host is healthy.
        ok: bool,
        /// Its load report.
        report: LoadReport,
    },
    /// The host has acknowledged a withdrawal.
    Withdrawn,
    /// The connection ended before a health check or a withdrawal was answered.
    ConnectionLost,
    /// The host rejected a new connection: it closed the connection immediately, without sending a byte.
    ConnectionRejected {
        /// Whether any part of the request had been written by then.
        request_written: bool,
    },
    /// An event that is irrelevant to the decision logic.
    Ignored,
}

/// The state of the connection on which an [`UpstreamEvent`] occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Still in use by the upstream request.
    Busy,
    /// Ready for the next upstream request.
    Free,
    /// Closed.
    Closed,
}

/// What a host reports about a stream in a callback.
#[derive(Debug)]
pub enum CallbackEvent {
    /// The stream is running.
    Started,
    /// The share of the work that is done, from 0 to 1.
    Progress(f64),
    /// The attempt has ended with this outcome and result.
    Ended(Outcome, Vec<u8>),
}

/// An upstream host in the endpoint list.
pub struct ListedHost {
    /// Its name on the wire.
    pub uid: String,
    /// The address to dial; `None` for a host on an inbound connection.
    pub address: Option<SocketAddr>,
    /// Its entry for the decision logic.
    pub endpoint: Endpoint,
    /// Its inbound connection, if the host opened one.
    pub connection: Option<Arc<dyn UpstreamConnection>>,
}

/// A message to the event loop.
pub enum Input {
    /// A stream arrived.
    StreamArrived(Box<NewStream>),
    /// The client of a stream disconnected.
    ClientDisconnected(StreamId),
    /// An event of an upstream request.
    Upstream {
        /// The upstream request.
        id: UpstreamId,
        /// What happened.
        event: UpstreamEvent,
        /// The state of its connection after the event.
        connection: ConnectionState,
    },
    /// A callback of an upstream host.
    Callback {
        /// The client's id of the job.
        id: String,
        /// The name of the host that sent it.
        from: String,
        /// What happened.
        event: CallbackEvent,
        /// The host's load report.
        report: LoadReport,
        /// The body as received, if it may be forwarded to the other process of an upgrade.
        body: Option<Vec<u8>>,
        /// The memory that is reserved for the body while the message is queued.
        memory: Option<MemoryReservation>,
    },
    /// The endpoint list, or changes to it.
    Hosts {
        /// The fleet.
        fleet: FleetId,
        /// Whether the list is complete, cached, or only holds changes.
        mode: ListMode,
        /// The hosts.
        hosts: Vec<ListedHost>,
        /// When it was received.
        received_at: Micros,
    },
    /// The capacity of a host on an inbound connection, minus the jobs that it runs for other fleets.
    Capacity {
        /// The fleet.
        fleet: FleetId,
        /// The worker.
        worker: WorkerId,
        /// Its free slots.
        free_slots: f64,
    },
    /// A new fleet.
    FleetAdded {
        /// Its number, which is the next free one.
        fleet: FleetId,
        /// The settings of its decision logic; the sender has validated them.
        settings: Box<Settings>,
        /// The seed of its random number generator.
        seed: u64,
    },
    /// A [`JobSource`](super::JobSource) may have a job.
    JobsAvailable,
    /// The watch on the endpoint list ended, or opening one failed.
    WatchEnded {
        /// The fleet.
        fleet: FleetId,
        /// How it ended.
        end: WatchEnd,
    },
    /// The discovery service was moved to another address.
    DiscoveryMoved {
        /// The fleet.
        fleet: FleetId,
        /// When it was moved.
        at: Micros,
    },
    /// New settings of the decision logic, with the same names as before.
    SettingsChanged {
        /// The fleet.
        fleet: FleetId,
        /// The settings.
        settings: Box<Settings>,
    },
    /// New limits on connections to the workers of a fleet that has such limits.
    DialLimitsChanged {
        /// The fleet.
        fleet: FleetId,
        /// The limits.
        limits: DialLimits,
    },
    /// Shut down gracefully: finish the streams in flight, then stop.
    ShutdownRequested,
}
