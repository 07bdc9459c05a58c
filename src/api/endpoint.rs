//! The endpoint list and load reports.

use super::ids::{CellId, KindId, Micros, WorkerId, ZoneId};

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Completes the requests that it has; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: EndpointState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its relative weight, without a unit.
    pub units: f64,
    /// When its process last started; `None`: long ago.
    pub started_at: Option<Micros>,
}

/// How the entries of an endpoint list are meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Only the entries that changed.
    Changes,
    /// The complete list: absent workers are gone.
    Complete,
    /// A complete list that was cached before the start: it did not come from discovery.
    Cached,
}

impl ListMode {
    /// Whether absent workers are gone.
    #[must_use]
    pub fn is_complete(self) -> bool {
        matches!(self, ListMode::Complete | ListMode::Cached)
    }
}

/// A worker's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
    /// The figures were measured some time before the report arrived.
    pub delayed: bool,
    /// Share of its cores in use, 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time without queueing, in microseconds.
    pub service_time: Option<Micros>,
}
