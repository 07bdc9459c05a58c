//! The messages that socket code posts to the owner thread.

use super::{FleetId, NewStream, OutputKind, StreamId, UpstreamConnection, UpstreamId};
use roselock::{Endpoint, ListMode, LoadReport, Micros, Outcome, Settings, WatchEnd, WorkerId};
use roselock_dial_limiter::DialLimits;
use std::net::SocketAddr;
use std::sync::Arc;

/// What happened to an upstream request.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// The host has accepted it and reports its end later.
    Accepted,
    /// The host has accepted it and runs it.
    Started,
    /// This share of it is done, from 0 to 1.
    Progress(f64),
    /// The host sent output that precedes the result.
    Output {
        /// The kind of output.
        kind: OutputKind,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// It ended.
    Ended {
        /// How.
        outcome: Outcome,
        /// The host's load report.
        report: LoadReport,
        /// The result.
        body: Vec<u8>,
    },
    /// The answer to a health check.
    HealthChecked {
        /// The host is healthy.
        ok: bool,
        /// Its load report.
        report: LoadReport,
    },
    /// The host has answered a withdrawal.
    Withdrawn,
    /// The connection ended before a health check or a withdrawal was answered.
    ConnectionLost,
    /// The host has rejected a new connection: it closed the connection at once, without sending a byte.
    ConnectionRejected {
        /// Some of the request had been written by then.
        request_written: bool,
    },
    /// Nothing that concerns the decisions.
    Ignored,
}

/// The state of the connection on which an [`UpstreamEvent`] occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Still in use by the upstream request.
    Busy,
    /// Ready for the next one.
    Free,
    /// Closed.
    Closed,
}

/// What a callback of a host reports of a stream.
#[derive(Debug)]
pub enum CallbackEvent {
    /// It has started.
    Started,
    /// This share of it is done, from 0 to 1.
    Progress(f64),
    /// It has ended with this outcome and result.
    Ended(Outcome, Vec<u8>),
}

/// An upstream host as listed.
pub struct ListedHost {
    /// Its name on the wire.
    pub uid: String,
    /// The address to dial; a host that connected to us has none.
    pub address: Option<SocketAddr>,
    /// Its entry for the decisions.
    pub endpoint: Endpoint,
    /// Its connection, where it connected to us.
    pub connection: Option<Arc<dyn UpstreamConnection>>,
}

/// A message to the owner thread.
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
        /// The state of its connection after that.
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
        /// Its body as received, where it may be forwarded to the other process of an upgrade.
        body: Option<Vec<u8>>,
    },
    /// The endpoint list, or changes of it.
    Hosts {
        /// The fleet.
        fleet: FleetId,
        /// How to read the list.
        mode: ListMode,
        /// The hosts.
        hosts: Vec<ListedHost>,
    },
    /// The capacity of a host that connected to us, less what it does for others.
    Capacity {
        /// The fleet.
        fleet: FleetId,
        /// The worker.
        worker: WorkerId,
        /// Its free slots.
        free_slots: f64,
    },
    /// A new fleet, with settings and a seed.
    FleetAdded {
        /// Its number: the next one that is free.
        fleet: FleetId,
        /// The settings of its decisions, which whoever posts this has checked.
        settings: Box<Settings>,
        /// The seed of its random numbers.
        seed: u64,
    },
    /// A [`JobSource`](super::JobSource) may have a job.
    JobsAvailable,
    /// The watch on the endpoint list, or an attempt to open one, ended.
    WatchEnded {
        /// The fleet.
        fleet: FleetId,
        /// How it ended.
        end: WatchEnd,
    },
    /// The discovery service was moved.
    DiscoveryMoved {
        /// The fleet.
        fleet: FleetId,
        /// When.
        at: Micros,
    },
    /// New settings of the decisions, with the same names as before.
    SettingsChanged {
        /// The fleet.
        fleet: FleetId,
        /// The settings.
        settings: Box<Settings>,
    },
    /// New limits of connections to the workers of a fleet that has such limits.
    DialLimitsChanged {
        /// The fleet.
        fleet: FleetId,
        /// The limits.
        limits: DialLimits,
    },
    /// Shut down gracefully: finish what is in flight, then stop.
    ShutdownRequested,
}
